package balance

import (
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// A slot was used again as soon as its call was over for the instance, while the server went on with the
// run.
func TestAbandonedRunsKeepTheirRoom(t *testing.T) {
	b := New("a", 1)
	b.SetFleet([]fleet.Server{{ID: "s", Name: "s", Pool: "p", Slots: 1}})
	b.SetSlotOwners(t0.Add(-time.Minute), []string{"a"})
	b.RecordBrittle(t0, "s", perSecond(2))
	abandon := func(at time.Duration) {
		b.Abandon(t0.Add(at), b.Start(t0.Add(at), "s", plain), t0.Add(10*time.Second))
	}
	expect := func(at time.Duration, want bool) {
		t.Helper()
		if _, ok := b.Choose(t0.Add(at), "p", plain, nil, fixedRandom); ok != want {
			t.Errorf("%v: the server is chosen: %v, want %v", at, ok, want)
		}
	}
	abandon(0)
	expect(dropTime/2, false)
	expect(dropTime, true) // most servers drop such runs
	b.RecordFull(t0.Add(dropTime), "s", 1)
	expect(dropTime+fullTime, false)
	expect(dropTime+holdTime, true)
	abandon(2 * time.Second)
	expect(2*time.Second+dropTime, false) // this one doesn't
	expect(2*time.Second+holdTime, true)
	b.RecordFull(t0.Add(3*time.Second), "s", 1)
	expect(3*time.Second+holdTime/2, false)
	abandon(9800 * time.Millisecond)
	expect(10*time.Second, true) // the time limit is over
}
