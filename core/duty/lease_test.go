package duty

import (
	"testing"
	"time"
)

var begin = time.Unix(1_800_000_000, 0)

func claimant(name string) *Claimant {
	return NewClaimant(name, TimingFor(exclusive), begin, func() float64 { return 0 })
}

// claim makes a claimant claim at the given time and passes it the result.
func claim(c *Claimant, s *State, now time.Time) bool {
	c.Observe(now, s.Lease)
	x, ok := c.Claim(now)
	if !ok || !s.Lease.Apply(x) {
		return false
	}
	c.Granted(now, now, s.Lease)
	return true
}

func TestLeaseIsTakenOverOnlyWhenUnchanged(t *testing.T) {
	var s State
	a, b := claimant("a"), claimant("b")
	if !claim(a, &s, begin) || !a.Holds(begin) {
		t.Fatal("the first claim was not granted")
	}
	for now := begin; now.Sub(begin) < 10*time.Second; now = now.Add(100 * time.Millisecond) {
		claim(a, &s, now)
		if claim(b, &s, now) {
			t.Fatalf("taken over from a holder that renews, after %v", now.Sub(begin))
		}
	}
	lastRenewal := begin.Add(10 * time.Second)
	if claim(b, &s, lastRenewal.Add(exclusive)) {
		t.Fatal("taken over too early")
	}
	if !claim(b, &s, lastRenewal.Add(2*exclusive)) {
		t.Fatal("a lease that was unchanged for its whole length was not taken over")
	}
	if a.Holds(lastRenewal.Add(2 * exclusive)) {
		t.Fatal("two holders")
	}
}

// The clock runs on while a holder is suspended, so that it finds its lease expired when
// it resumes.
func TestPausedHolderDoesNotAct(t *testing.T) {
	var s State
	a := claimant("a")
	claim(a, &s, begin)
	if wake := begin.Add(exclusive); a.Holds(wake) {
		t.Fatal("the lease is still valid after a pause of its length")
	}
}

func TestReleasedLeaseIsImmediatelyAvailableToOthers(t *testing.T) {
	var s State
	a, b := claimant("a"), claimant("b")
	claim(a, &s, begin)
	now := begin.Add(7 * time.Second)
	claim(a, &s, now)
	x, ok := a.Release(now)
	if !ok || !s.Lease.Apply(x) || a.Holds(now) {
		t.Fatal("the lease was not released")
	}
	if !claim(b, &s, now) {
		t.Fatal("a released lease was not granted immediately")
	}
	x, _ = b.Release(now.Add(time.Second))
	s.Lease.Apply(x)
	if claim(a, &s, now.Add(2*time.Second)) {
		t.Fatal("a former holder took the lease back within its cooldown")
	}
	if !claim(a, &s, now.Add(3*exclusive)) {
		t.Fatal("a former holder never takes the lease back")
	}
}

// The tokens of one holder differ, and they start above those of a group that has lost
// its state.
func TestFencingTokensIncrease(t *testing.T) {
	s := State{Lease: Lease{Holder: "a", Term: 3}}
	first, ok := s.NextFence("a", 3, 1000)
	second, _ := s.NextFence("a", 3, 400) // the leader's time of day has jumped back
	if !ok || second <= first || first < 1000 {
		t.Fatalf("fencing tokens %d and %d", first, second)
	}
	for _, x := range []struct {
		holder string
		term   uint64
	}{{"a", 2}, {"b", 3}, {"", 3}} {
		if _, ok := s.NextFence(x.holder, x.term, 2000); ok {
			t.Errorf("a fencing token was issued to %q in term %d", x.holder, x.term)
		}
	}
}
