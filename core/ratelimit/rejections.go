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
	// surprise is the time of the latest one that was not expected.
	surprise time.Time
}

// Record records a rejection. expected is set if a probe has found no further room.
func (r *Rejections) Record(now time.Time, expected bool) {
	if !expected {
		r.surprise = now
	}
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

// Doubtful reports whether the server has rejected a call although it seemed to have room, and so many
// in all that two instances that send one at the same time could end it.
func (r *Rejections) Doubtful(now time.Time, bears Limit) bool {
	return !r.surprise.IsZero() && now.Sub(r.surprise) < rejectionSpan && float64(2*r.Count(now)) >= bears.PerSecond
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
