package balance

import "time"

// longStreams is what the streams of a pool's long prompts are like. Their length
// in time is not learned from those that have ended: when a burst fills the engines
// with reading, a stream takes several times as long as the ones before it, and
// that shows in the events of those that run.
type longStreams struct {
	// gap is the usual time between two events now.
	gap time.Duration
	// events is the usual number of events.
	events float64
}

const (
	// eventWeight is the weight of one event in the usual gap: some hundred come in
	// a second.
	eventWeight = 1.0 / 32
	// streamWeight is the weight of one stream in the usual number of events.
	streamWeight = 1.0 / 16
)

// Progress notes the time between two events of a long prompt's stream.
func (b *Balancer) Progress(t *Ticket, gap time.Duration) {
	s := b.servers[t.server]
	if s == nil || !t.long() {
		return
	}
	// On an engine of the usual pace.
	gap = portion(1/s.slowness, gap)
	x := &b.pool(s.Pool).streams
	x.gap = smooth(x.gap, gap, eventWeight)
}

// noteEnd takes the number of events of a stream that has ended.
func (x *longStreams) noteEnd(events int) {
	x.events = smooth(x.events, float64(events), streamWeight)
}

// length estimates the time from a stream's first event to its end.
func (x *longStreams) length() time.Duration { return portion(x.events, x.gap) }
