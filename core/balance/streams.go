package balance

import "time"

// longStreams estimates the streams of a pool's long prompts. Their duration is not
// learned from streams that have ended: when a burst fills the engines with prefill
// work, a stream takes several times as long as earlier ones, which shows in the gaps
// of the running streams.
type longStreams struct {
	// gap is the current average time between two events.
	gap time.Duration
	// events is the average number of events per stream.
	events float64
}

const (
	// eventWeight is the weight of one gap in the average; some hundred gaps are
	// observed per second.
	eventWeight = 1.0 / 32
	// streamWeight is the weight of one stream in the average number of events.
	streamWeight = 1.0 / 16
)

// RecordGap records the time between two events of a long prompt's stream.
func (b *Balancer) RecordGap(t *Ticket, gap time.Duration) {
	s := b.servers[t.server]
	if s == nil || !t.long() {
		return
	}
	// Normalized to an engine of median pace.
	gap = scaleDuration(1/s.slowness, gap)
	x := &b.pool(s.Pool).streams
	x.gap = ewma(x.gap, gap, eventWeight)
}

// observeLength records the number of events of a stream that has ended.
func (x *longStreams) observeLength(events int) {
	x.events = ewma(x.events, float64(events), streamWeight)
}

// length estimates the time from a stream's first event to its end.
func (x *longStreams) length() time.Duration { return scaleDuration(x.events, x.gap) }
