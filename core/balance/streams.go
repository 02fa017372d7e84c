package balance

import "time"

// longStreams estimates the streams of a pool's long prompts. Their duration is not
// learned from streams that have ended: when a burst fills the engines with prefill
// work, a stream takes several times as long as earlier ones, which shows in the event
// intervals of the running streams.
type longStreams struct {
	// eventInterval is the current average event interval.
	eventInterval time.Duration
	// events is the average number of events per stream.
	events float64
}

const (
	// eventWeight is the weight of one event interval in the average; a few hundred
	// are observed per second.
	eventWeight = 1.0 / 32
	// streamWeight is the weight of one stream in the average number of events.
	streamWeight = 1.0 / 16
)

// RecordEventInterval records the time between two events of a long prompt's stream.
func (b *Balancer) RecordEventInterval(t *Ticket, interval time.Duration) {
	s := b.servers[t.server]
	if s == nil || !t.long() {
		return
	}
	// Normalized to an engine with the median event interval.
	interval = scaleDuration(1/s.slowness, interval)
	x := &b.pool(s.Pool).streams
	x.eventInterval = ewma(x.eventInterval, interval, eventWeight)
}

// observeEvents records the number of events of a stream that has ended.
func (x *longStreams) observeEvents(events int) {
	x.events = ewma(x.events, float64(events), streamWeight)
}

// duration estimates the time from a stream's first event to its end.
func (x *longStreams) duration() time.Duration { return scaleDuration(x.events, x.eventInterval) }
