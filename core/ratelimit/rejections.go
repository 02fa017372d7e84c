package ratelimit

import "time"

const (
	// rejectionSpan is the time in which rejections count together: the second that servers name, and
	// the time until all instances know of one.
	rejectionSpan = 1100 * time.Millisecond
	// maxRejections bounds the rejections that are kept of a server.
	maxRejections = 64
)

// Rejections are the latest rejections of calls by one brittle server, by all instances that tell of
// them. The zero value has none.
type Rejections struct {
	// times are in order.
	times []time.Time
}

// Record records a rejection.
func (r *Rejections) Record(now time.Time) {
	if len(r.times) == maxRejections {
		r.times = r.times[:copy(r.times, r.times[1:])]
	}
	r.times = append(r.times, now)
}

// Pause returns how long no call may be sent to the server, because another rejection could end it.
func (r *Rejections) Pause(now time.Time, bears Limit) time.Duration {
	most := min(maxRejections, max(1, int(bears.PerSecond)))
	if !bears.Limited || len(r.times) < most {
		return 0
	}
	return max(0, r.times[len(r.times)-most].Add(rejectionSpan).Sub(now))
}

// Count returns the number of rejections that count together with one now.
func (r *Rejections) Count(now time.Time) (n int) {
	for _, at := range r.times {
		if now.Sub(at) < rejectionSpan {
			n++
		}
	}
	return n
}
