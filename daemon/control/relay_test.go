package control

import (
	"testing"
	"time"

	"cardamomwick.example/daemon/boottime"
)

// A replica without a leader accepts heartbeats for heartbeatGrace after its start and after
// the leader's last reply.
func TestHeartbeatGraceWithoutALeader(t *testing.T) {
	now := boottime.Now()
	long := now.Add(-time.Minute)
	for name, c := range map[string]struct {
		r    *relay
		want bool
	}{
		"just started":       {&relay{startedAt: now}, true},
		"lost within grace":  {&relay{startedAt: long, lastReply: now.Add(-heartbeatGrace / 2)}, true},
		"lost for the grace": {&relay{startedAt: long, lastReply: now.Add(-heartbeatGrace)}, false},
		"never had a leader": {&relay{startedAt: long}, false},
		// Guards against an overload that kept itself up: all followers of a slow leader refused
		// heartbeats, and each engine tried one after the other.
		"leader is slow, but answers probes":  {&relay{startedAt: long, lastReply: long, lastContact: now.Add(-heartbeatGrace / 2)}, true},
		"leader has answered no probe either": {&relay{startedAt: long, lastReply: long, lastContact: now.Add(-heartbeatGrace)}, false},
	} {
		if got := c.r.recentlyConnected(); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
