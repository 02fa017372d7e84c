package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/replica"
)

// source answers with fixed leases after a delay.
type source struct {
	delay time.Duration
	lease replica.Lease
	err   error
	asked []uint64
}

func (s *source) Lease(_ context.Context, generation uint64) (replica.Lease, error) {
	s.asked = append(s.asked, generation)
	time.Sleep(s.delay)
	return s.lease, s.err
}

func full(group, generation uint64) replica.Lease {
	return replica.Lease{Group: group, Update: state.Update{Generation: generation, Full: true, Retired: map[string]uint64{}}}
}

func TestLeaseCountsFromSending(t *testing.T) {
	s := &source{delay: 300 * time.Millisecond, lease: full(1, 4)}
	h := New(s, func(bool) {})
	before := time.Now()
	h.renew(context.Background())
	until := *h.validUntil.Load()
	if until.After(before.Add(Length + 50*time.Millisecond)) {
		t.Fatalf("valid until %v after the request was sent", until.Sub(before))
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
	if last := s.asked[len(s.asked)-1]; last != wholeUpdate {
		t.Fatalf("after a refused update asked from %d, want all", last)
	}
}
