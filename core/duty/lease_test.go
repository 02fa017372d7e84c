package duty

import (
	"testing"
	"time"
)

var begin = time.Unix(1_800_000_000, 0)

func contender(name string) *Contender {
	return NewContender(name, RulesFor(exclusive), begin, func() float64 { return 0 })
}

// claim lets a contender claim at a time and tells it the result.
func claim(c *Contender, s *State, now time.Time) bool {
	c.Observe(now, s.Lease)
	x, ok := c.Claim(now)
	if !ok || !s.Lease.Take(x) {
		return false
	}
	c.Granted(now, now, s.Lease)
	return true
}

func TestALeaseIsTakenOverOnlyWhenStill(t *testing.T) {
	var s State
	a, b := contender("a"), contender("b")
	if !claim(a, &s, begin) || !a.Holds(begin) {
		t.Fatal("the first claim was not granted")
	}
	for now := begin; now.Sub(begin) < 10*time.Second; now = now.Add(100 * time.Millisecond) {
		claim(a, &s, now)
		if claim(b, &s, now) {
			t.Fatalf("taken over from a holder that renews, after %v", now.Sub(begin))
		}
	}
	still := begin.Add(10 * time.Second)
	if claim(b, &s, still.Add(exclusive)) {
		t.Fatal("taken over too early")
	}
	if !claim(b, &s, still.Add(2*exclusive)) {
		t.Fatal("a lease that was still for its whole length was not taken over")
	}
	if a.Holds(still.Add(2 * exclusive)) {
		t.Fatal("two holders")
	}
}

// TestAPausedHolderDoesNotAct: a holder that was suspended looks at the clock that went
// on, and finds its lease over.
func TestAPausedHolderDoesNotAct(t *testing.T) {
	var s State
	a := contender("a")
	claim(a, &s, begin)
	if wake := begin.Add(exclusive); a.Holds(wake) {
		t.Fatal("the lease outlived a pause of its length")
	}
}

func TestAReleasedLeaseMovesAtOnceButNotBack(t *testing.T) {
	var s State
	a, b := contender("a"), contender("b")
	claim(a, &s, begin)
	now := begin.Add(7 * time.Second)
	claim(a, &s, now)
	x, ok := a.Release(now)
	if !ok || !s.Lease.Take(x) || a.Holds(now) {
		t.Fatal("not released")
	}
	if !claim(b, &s, now) {
		t.Fatal("a released lease was not taken at once")
	}
	x, _ = b.Release(now.Add(time.Second))
	s.Lease.Take(x)
	if claim(a, &s, now.Add(2*time.Second)) {
		t.Fatal("a former holder took the lease back within its rest")
	}
	if !claim(a, &s, now.Add(3*exclusive)) {
		t.Fatal("a former holder never takes the lease back")
	}
}

// TestFencesTellTheEffectsOfOneHolderApart, and begin above those of a lost group.
func TestFencesTellTheEffectsOfOneHolderApart(t *testing.T) {
	s := State{Lease: Lease{Holder: "a", Term: 3}}
	first, ok := s.NextFence("a", 3, 1000)
	second, _ := s.NextFence("a", 3, 400) // the leader's time of day has jumped back
	if !ok || second <= first || first < 1000 {
		t.Fatalf("fences %d and %d", first, second)
	}
	for _, x := range []struct {
		holder string
		term   uint64
	}{{"a", 2}, {"b", 3}, {"", 3}} {
		if _, ok := s.NextFence(x.holder, x.term, 2000); ok {
			t.Errorf("a fence for %q in term %d", x.holder, x.term)
		}
	}
}
