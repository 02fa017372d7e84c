package retry

import "time"

// windowBuckets is the number of buckets of a Window.
const windowBuckets = 20

// Window limits the retries at a pool, in any period of length Span and over all
// instances, to a ratio of the calls in that period plus a slack. Each instance uses an
// equal part of the slack and earns the ratio from its own calls. This protects failing
// or refusing servers, to which every instance would otherwise send every call twice.
// Not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of retries earned by one call.
	Ratio float64
	// Slack is the number of additional retries for all instances together.
	Slack float64

	calls, retries [windowBuckets]float64
	epoch          int64
}

// safetyFactor leaves a margin for calls near the edges of a bucket and for instances
// that are not known yet.
const safetyFactor = 0.8

func (w *Window) advance(now time.Time) {
	epoch := now.UnixNano() / (w.Span.Nanoseconds() / windowBuckets)
	if epoch-w.epoch >= windowBuckets || epoch < w.epoch {
		w.calls, w.retries = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.epoch = epoch
		return
	}
	for ; w.epoch < epoch; w.epoch++ {
		i := (w.epoch + 1) % windowBuckets
		w.calls[i], w.retries[i] = 0, 0
	}
}

// RecordCall records a call; its retries are recorded by Take.
func (w *Window) RecordCall(now time.Time) {
	w.advance(now)
	w.calls[w.epoch%windowBuckets]++
}

// Usage is one instance's use of a budget in the current window.
type Usage struct {
	// Calls and Retries were recorded in the window.
	Calls, Retries float64
	// Allowed is the number of retries that this instance may use in the window.
	Allowed float64
	// Instances is the number of instances that share the slack.
	Instances int
}

// Usage returns the use by this instance, one of the given number.
func (w *Window) Usage(now time.Time, instances int) Usage {
	w.advance(now)
	u := Usage{Instances: max(1, instances)}
	for i := range w.calls {
		u.Calls += w.calls[i]
		u.Retries += w.retries[i]
	}
	u.Allowed = safetyFactor * (w.Ratio*u.Calls + w.Slack/float64(u.Instances))
	return u
}

// Take spends a retry and reports whether this instance, one of the given number, had
// one left.
func (w *Window) Take(now time.Time, instances int) bool {
	if u := w.Usage(now, instances); u.Retries+1 > u.Allowed {
		return false
	}
	w.retries[w.epoch%windowBuckets]++
	return true
}
