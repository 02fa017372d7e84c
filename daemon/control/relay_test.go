package control

import (
	"testing"
	"time"

	"cardamomwick.example/daemon/boottime"
)

// A replica without a leader takes heartbeats for a short time after its start, and after
// it was last in touch: never for as long as it takes a server to count as overdue.
func TestHeartbeatsAreTakenForAShortTimeWithoutALeader(t *testing.T) {
	now := boottime.Now()
	long := now.Add(-time.Minute)
	for name, c := range map[string]struct {
		r    relay
		want bool
	}{
		"just started":              {relay{began: now}, true},
		"out of touch for a moment": {relay{began: long, heard: now.Add(-heartbeatGrace / 2)}, true},
		"out of touch":              {relay{began: long, heard: now.Add(-heartbeatGrace)}, false},
		"never in touch":            {relay{began: long}, false},
	} {
		if got := c.r.lately(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
