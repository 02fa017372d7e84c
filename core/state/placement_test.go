package state

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/duty"
)

func lease(m *Machine, owner string, expected duty.Lease) Result {
	return m.Apply((&Command{Type: CommandOrderLease, Lease: &LeaseCommand{Owner: owner, Expected: expected}}).Encode())
}

// The lease can be acquired only by an instance that has seen its latest renewal, and
// orders under an old term are rejected.
func TestOrderLeaseMovesOnlyWhenStill(t *testing.T) {
	m := New()
	a := *lease(m, "a", duty.Lease{}).Lease
	if a.Term != 1 || a.Holder != "a" {
		t.Fatalf("first: %+v", a)
	}
	renewed := *lease(m, "a", a).Lease
	if r := lease(m, "b", a); r.Code != CodeStale || r.Lease.Holder != "a" {
		t.Fatalf("acquiring a lease that was renewed: %+v", r)
	}
	if r := lease(m, "", duty.Lease{}); r.Code != CodeOK || *r.Lease != renewed {
		t.Fatalf("read: %+v", r)
	}
	b := lease(m, "b", renewed)
	if b.Code != CodeOK || b.Lease.Term != 2 {
		t.Fatalf("acquiring a lease that was not renewed: %+v", b)
	}
	if r := lease(m, "a", renewed); r.Code != CodeStale {
		t.Fatalf("renewal by the former owner: %+v", r)
	}
	old := m.Apply((&Command{Type: CommandEngineOrder, Engine: &EngineOrder{Fence: 1, Server: "e"}}).Encode())
	if old.Code != CodeStale {
		t.Fatalf("order with an old fencing token: %+v", old)
	}
}

func TestWeightStoreRate(t *testing.T) {
	m := fresh()
	b := testBundle(1, "")
	b.WeightStore.LoadsPerMinute = 30
	applyOrder(m, publishOrder(b, 0))
	lease(m, "a", duty.Lease{})
	accepted := 0
	start := int64(1_000_000)
	for n := range 600 {
		now := start + int64(n)*100
		r := m.Apply((&Command{Type: CommandEngineOrder, NowMillis: now, Engine: &EngineOrder{Fence: 1, Server: fmt.Sprint(n)}}).Encode())
		if r.Code == CodeOK {
			accepted++
		}
	}
	span := 600 * 100 * time.Millisecond
	if accepted < 28 || accepted > 36 {
		t.Fatalf("%d loads in %v, want 30 and a short burst", accepted, span)
	}
}
