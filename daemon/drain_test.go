package daemon

import (
	"testing"
	"time"
)

// Guards against an instance that accepts any call until shortly before it cuts all calls off, since
// its callers may use its address for long.
func TestDrainLeavesTimeForTheLastCalls(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, c := range []struct{ ttl, timeout, grace, earliest time.Duration }{
		{time.Second, 8 * time.Second, 3 * time.Second, 4 * time.Second},
		{2 * time.Second, 8 * time.Second, 3 * time.Second, 5 * time.Second},
		{time.Minute, 8 * time.Second, 3 * time.Second, 63 * time.Second},
		{100 * time.Millisecond, 8 * time.Second, 300 * time.Millisecond, 400 * time.Millisecond},
		{time.Second, 80 * time.Second, 3 * time.Second, 4 * time.Second},
	} {
		p := planDrain(began, c.ttl, c.timeout)
		if p.graceEnd.Sub(began) != c.grace || p.earliestEnd.Sub(began) != c.earliest || p.deadline.Sub(p.graceEnd) < c.timeout/2 || p.deadline.Sub(began) >= c.timeout {
			t.Errorf("time to live %v, timeout %v: all calls for %v, earliest end after %v, deadline after %v", c.ttl, c.timeout, p.graceEnd.Sub(began), p.earliestEnd.Sub(began), p.deadline.Sub(began))
		}
	}
}
