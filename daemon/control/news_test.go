package control

import (
	"testing"
	"time"
)

// While the fleet changes all the time, each instance that watches comes back as soon as
// it was told. A replica that hundreds of them watch must tell them less often; a change
// is known everywhere well within 2 s.
func TestNewsAreGatheredForAsLongAsThereAreWatchers(t *testing.T) {
	const answer = 100 * time.Microsecond
	for _, watching := range []int{1, 10, 42, 50, 376} {
		gather := gatherFor(watching, watchHold)
		share := float64(watching) * float64(answer) / float64(gather)
		t.Logf("%d: %v, %.3f of a core", watching, gather, share)
		if gather > mostGatherTime || watching <= 50 && share > 0.02 {
			t.Errorf("%d instances that watch take %.3f of a core, gathered for %v", watching, share, gather)
		}
	}
}

// An instance that watches gives an answer up some time after its hold.
func TestNewsAreNotGatheredPastTheHold(t *testing.T) {
	for _, left := range []time.Duration{watchHold, 100 * time.Millisecond, 0, -time.Millisecond} {
		if got := gatherFor(376, left); got > max(gatherTime, left) {
			t.Errorf("with %v left news are gathered for %v", left, got)
		}
	}
}
