package retry

import "time"

// windowBuckets is the resolution of a Window.
const windowBuckets = 20

// Window bounds the repeated attempts at a pool in any span of time to a share
// of the calls in that span plus a slack, over all instances together: each
// instance takes an equal part of the slack and earns the ratio from its own
// calls. It answers failing or refusing servers, to which every instance would
// otherwise send everything twice. Not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of repeats that one call earns.
	Ratio float64
	// Slack is what all instances together may repeat besides.
	Slack float64

	calls, repeats [windowBuckets]float64
	epoch          int64
}

// usedShare leaves a margin for calls that end on either side of a bucket's
// edge, and for instances that are not known yet.
const usedShare = 0.8

func (w *Window) advance(now time.Time) {
	epoch := now.UnixNano() / (w.Span.Nanoseconds() / windowBuckets)
	if epoch-w.epoch >= windowBuckets || epoch < w.epoch {
		w.calls, w.repeats = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.epoch = epoch
		return
	}
	for ; w.epoch < epoch; w.epoch++ {
		i := (w.epoch + 1) % windowBuckets
		w.calls[i], w.repeats[i] = 0, 0
	}
}

// Call notes a first attempt.
func (w *Window) Call(now time.Time) {
	w.advance(now)
	w.calls[w.epoch%windowBuckets]++
}

// Take spends a repeat, if one is left to this instance among so many.
func (w *Window) Take(now time.Time, instances int) bool {
	w.advance(now)
	var calls, repeats float64
	for i := range w.calls {
		calls += w.calls[i]
		repeats += w.repeats[i]
	}
	allowed := usedShare * (w.Ratio*calls + w.Slack/float64(max(1, instances)))
	if repeats+1 > allowed {
		return false
	}
	w.repeats[w.epoch%windowBuckets]++
	return true
}
