package ratelimit

import (
	"testing"
	"time"
)

// Instances came back to a server 150 ms after each rejection, however few it bears a second.
func TestRejectionsWithinASecondAreBounded(t *testing.T) {
	const call = 7 * time.Millisecond // a call that the server rejects
	start := time.Unix(1e6, 0)
	for _, bears := range []float64{0, 1, 2, 5, 40} {
		l, _ := NewLimit(bears)
		var r Rejections
		var rejected []time.Time
		for at := time.Duration(0); at < 10*time.Second; at += call {
			if now := start.Add(at); r.Pause(now, l) == 0 {
				r.Record(now, false)
				rejected = append(rejected, now)
			}
		}
		most := max(1, int(bears)) // the first rejection can't be foreseen
		for i := most; i < len(rejected); i++ {
			if gap := rejected[i].Sub(rejected[i-most]); gap < time.Second {
				t.Fatalf("%g a second: %d rejections within %v", bears, most+1, gap)
			}
		}
		if len(rejected) < 8*most {
			t.Errorf("%g a second: only %d calls were sent in 10 s", bears, len(rejected))
		}
	}
}
