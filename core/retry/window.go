package retry

import "time"

const (
	// windowBuckets is the number of buckets of a span.
	windowBuckets = 20
	// keptBuckets includes the bucket that the begin of the span lies in.
	keptBuckets = windowBuckets + 1
	// earningBuckets is the number of buckets after which a call earns no retry any more.
	earningBuckets = windowBuckets / 4
)

// Window limits the retries at a pool, in any period of length Span and over all
// instances, to a ratio of the calls in that period plus a slack. Each instance earns the
// ratio from its own calls and uses an equal part of the slack. This protects failing or
// refusing servers, to which every instance would otherwise send every call twice.
//
// What calls earn expires after a quarter of the span. Otherwise an instance could use at once what
// the calls of a whole span have earned, and end; in the same span those that take over its callers
// earn as much again.
//
// Times are monotonic, since the start of the process: a change of the time of day must not
// empty the window. An earlier process of the same instance may have used its part of the
// slack until its end, so that a new one has none for the first Span. Not safe for
// concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of retries earned by one call.
	Ratio float64
	// Slack is the number of additional retries for all instances together.
	Slack float64

	calls, retries [keptBuckets]float64
	// bucket is the number of the latest bucket since the start of the process.
	bucket int64
}

// safetyFactor leaves a margin for calls near the edges of the window.
const safetyFactor = 0.8

// advance empties the buckets that are older than the window.
func (w *Window) advance(now time.Duration) {
	bucket := int64(now / (w.Span / windowBuckets))
	if bucket-w.bucket >= keptBuckets {
		w.calls, w.retries = [keptBuckets]float64{}, [keptBuckets]float64{}
		w.bucket = bucket
		return
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % keptBuckets
		w.calls[i], w.retries[i] = 0, 0
	}
}

// RecordCall records a call; its retries are recorded by Take.
func (w *Window) RecordCall(now time.Duration) {
	w.advance(now)
	w.calls[w.bucket%keptBuckets]++
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
func (w *Window) Usage(now time.Duration, instances int) Usage {
	w.advance(now)
	u := Usage{Instances: max(1, instances)}
	u.Calls, u.Retries = w.latest(windowBuckets)
	u.Retries += w.retries[(w.bucket+1)%keptBuckets] // partly within the span
	slack := 0.0
	if now >= w.Span {
		slack = safetyFactor * w.Slack / float64(u.Instances)
	}
	calls, retries := w.latest(earningBuckets)
	earned := u.Retries - retries + safetyFactor*w.Ratio*calls
	u.Allowed = min(safetyFactor*w.Ratio*u.Calls, earned) + slack
	return u
}

// latest returns the calls and retries in a number of latest buckets.
func (w *Window) latest(buckets int64) (calls, retries float64) {
	for back := range buckets {
		i := (w.bucket - back + keptBuckets) % keptBuckets
		calls += w.calls[i]
		retries += w.retries[i]
	}
	return calls, retries
}

// Take spends a retry and reports whether this instance, one of the given number, had
// one left.
func (w *Window) Take(now time.Duration, instances int) bool {
	if u := w.Usage(now, instances); u.Retries+1 > u.Allowed {
		return false
	}
	w.retries[w.bucket%keptBuckets]++
	return true
}
