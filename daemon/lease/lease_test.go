package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/replica"
)

// source returns a fixed lease after a delay.
type source struct {
	delay     time.Duration
	lease     replica.Lease
	err       error
	requested []uint64
}

func (s *source) Lease(_ context.Context, generation uint64) (replica.Lease, error) {
	s.requested = append(s.requested, generation)
	time.Sleep(s.delay)
	return s.lease, s.err
}

func full(group, generation uint64) replica.Lease {
	return replica.Lease{Group: group, Valid: replica.LeaseLength, Update: state.Update{Generation: generation, Full: true, Retired: map[string]uint64{}}}
}

func TestLeaseCountsFromSending(t *testing.T) {
	s := &source{delay: 300 * time.Millisecond, lease: full(1, 4)}
	h := New(s, func(bool) {})
	before := boottime.Now()
	h.renew(context.Background())
	until := *h.validUntil.Load()
	if until.After(before.Add(replica.LeaseLength + 50*time.Millisecond)) {
		t.Fatalf("lease is valid for %v from the sending of the request, want at most %v", until.Sub(before), replica.LeaseLength)
	}
	if !h.Fresh() || h.Config().Generation != 4 {
		t.Fatal("no lease")
	}
	s.err = errors.New("cut off")
	h.renew(context.Background())
	late := before.Add(-time.Minute)
	h.validUntil.Store(&late)
	if h.Fresh() {
		t.Fatal("a lapsed lease counts as fresh")
	}
}

func TestGenerationNeverGoesBack(t *testing.T) {
	s := &source{lease: full(1, 9)}
	h := New(s, func(bool) {})
	h.renew(context.Background())
	for _, l := range []replica.Lease{full(1, 8), full(2, 12)} {
		s.lease = l
		until := *h.validUntil.Load()
		h.renew(context.Background())
		if h.Config().Generation != 9 || *h.validUntil.Load() != until {
			t.Fatalf("accepted group %d generation %d after group 1 generation 9", l.Group, l.Update.Generation)
		}
	}
	if last := s.requested[len(s.requested)-1]; last != fullUpdate {
		t.Fatalf("after a rejected update generation %d was requested, want the full configuration", last)
	}
}

// TestDelegatedLeaseNeverOutlastsItsSource checks that over a chain of instances with slow
// requests each lease ends no later than its parent's.
func TestDelegatedLeaseNeverOutlastsItsSource(t *testing.T) {
	top := New(&source{lease: full(1, 3)}, func(bool) {})
	top.renew(context.Background())
	last := top
	for range 3 {
		child := New(&delayedSource{last}, func(bool) {})
		child.renew(context.Background())
		if !child.Fresh() || child.Config().Generation != 3 {
			t.Fatal("no lease passed on")
		}
		if child.validUntil.Load().After(*last.validUntil.Load()) {
			t.Fatalf("the child's lease ends %v after its parent's", child.validUntil.Load().Sub(*last.validUntil.Load()))
		}
		last = child
	}
	past := boottime.Now().Add(-time.Millisecond)
	top.validUntil.Store(&past)
	if _, ok := top.Delegate(0); ok {
		t.Fatal("a lapsed lease was passed on")
	}
}

// delayedSource requests leases from another holder, with a delay both ways.
type delayedSource struct{ from *Holder }

func (p *delayedSource) Lease(_ context.Context, generation uint64) (replica.Lease, error) {
	time.Sleep(30 * time.Millisecond)
	l, ok := p.from.Delegate(generation)
	time.Sleep(30 * time.Millisecond)
	if !ok {
		return l, errors.New("no lease")
	}
	return l, nil
}

// A suspended machine's monotonic clock stops. After it resumes, its lease must have
// lapsed if it has by the clocks of the other machines.
func TestLeaseLapsesWhileTheMachineIsSuspended(t *testing.T) {
	h := New(&source{lease: full(1, 4)}, func(bool) {})
	suspended := time.Duration(0)
	h.now = func() time.Time { return boottime.Now().Add(suspended) }
	h.renew(context.Background())
	if !h.Fresh() {
		t.Fatal("no lease")
	}
	suspended = 5 * time.Second
	if h.Fresh() {
		t.Error("the lease is still fresh after five seconds of suspension")
	}
	if _, ok := h.Delegate(0); ok {
		t.Error("a lapsed lease was passed on")
	}
	if h.StaleFor() < 2*time.Second {
		t.Errorf("stale for %v, want at least 2s", h.StaleFor())
	}
}
