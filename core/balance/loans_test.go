package balance

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// lendingPair returns an owner of all slots of some brittle servers, with two instances in its
// division, and another instance.
func lendingPair(servers int) (owner, other *Balancer) {
	var list []fleet.Server
	for i := range servers {
		list = append(list, fleet.Server{ID: fmt.Sprint("s", i), Name: fmt.Sprint("s", i), Pool: "p", Slots: 2, Phase: fleet.Ready})
	}
	for i, name := range []string{"a", "b"} {
		b := New(name, uint32(i))
		b.SetFleet(list)
		b.SetSlotOwners(t0.Add(-time.Minute), []string{"a", "b"})
		b.RecordBrittle(t0, "s0", perSecond(2))
		if owner == nil {
			owner = b
		}
		other = b
	}
	return owner, other
}

// fill starts calls until there is no slot left, and returns their tickets.
func fill(b *Balancer, now time.Time) (tickets []Ticket) {
	for len(tickets) < 100 {
		s, ok := b.Choose(now, "p", plain, nil, fixedRandom)
		if !ok {
			break
		}
		tickets = append(tickets, b.Start(now, s.ID, plain))
	}
	return tickets
}

// Guards against slots that are used by their owner and by who has borrowed them, and against slots
// that nobody gets back.
func TestLentSlotsHaveOneUser(t *testing.T) {
	owner, other := lendingPair(1)
	used := fill(other, t0)
	if len(used) != 1 {
		t.Fatalf("%d calls are placed on one own slot", len(used))
	}
	owner.RequestSlots(t0, "b", "p", 3)
	loans := owner.LendSlots(t0, "p")
	if len(loans) != 1 || loans[0].Instance != "b" || loans[0].Server != "s0" {
		t.Fatalf("lent: %+v", loans)
	}
	if n := len(fill(owner, t0)); n != 0 {
		t.Errorf("the owner places %d calls on a slot that it has lent", n)
	}
	other.BorrowSlots(t0, SlotLoan{Instance: "a", Server: "s0", Slots: 1})
	borrowed := fill(other, t0)
	if len(borrowed) != 1 {
		t.Fatalf("%d calls are placed on one borrowed slot", len(borrowed))
	}
	late := t0.Add(loanTime)
	if got := other.ReturnSlots(late, "p", true); len(got) != 0 {
		t.Errorf("returned while its call runs: %+v", got)
	}
	other.End(borrowed[0])
	if n := len(fill(other, late)); n != 0 {
		t.Errorf("%d calls are placed on a borrowed slot whose time is over", n)
	}
	got := other.ReturnSlots(late, "p", true)
	if len(got) != 1 || got[0].Instance != "a" || got[0].Slots != 1 {
		t.Fatalf("returned: %+v", got)
	}
	got[0].Instance = "b"
	owner.TakeBack(late, got[0])
	if n := len(fill(owner, late)); n != 1 {
		t.Errorf("the owner places %d calls on the slot that came back", n)
	}
}

// A lost loan or return ends by itself.
func TestLoansWithoutReportsEnd(t *testing.T) {
	owner, _ := lendingPair(1)
	owner.RequestSlots(t0, "b", "p", 1)
	if got := owner.LendSlots(t0, "p"); len(got) != 1 {
		t.Fatalf("lent: %+v", got)
	}
	if n := len(fill(owner, t0.Add(loanLapse-1))); n != 0 {
		t.Errorf("the owner places %d calls before the loan is over", n)
	}
	if n := len(fill(owner, t0.Add(loanLapse))); n != 1 {
		t.Errorf("the owner places %d calls after the loan is over", n)
	}
}

// What a request for slots costs its sender and the owner that has none free, at 376 instances and 2,000
// servers.
func BenchmarkRequestSlots(b *testing.B) {
	x, _ := lendingPair(2000)
	var names []string
	for i := range 375 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	x.SetSlotOwners(t0.Add(-time.Minute), append(names, "a"))
	now := t0
	for b.Loop() {
		now = now.Add(requestInterval)
		x.SlotOwnersToAsk(now, "p", fixedRandom)
		x.RequestSlots(now, "b", "p", maxRequested)
		x.LendSlots(now, "p")
	}
}
