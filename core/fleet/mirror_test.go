package fleet

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// After any sequence of listings, withdrawals, restarts and changes of the leader, the
// incrementally updated list equals one built from scratch. A server missing from it gets
// no calls at this entry; one that has left loses those it is given.
func TestMergedListEqualsRebuiltList(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		m := NewMirror()
		now := time.Unix(1_800_000_000, 0)
		for range 200 {
			now = now.Add(time.Duration(rnd.Intn(1500)) * time.Millisecond)
			m.Apply(now, randomListing(rnd, m.Position()))
			before := append([]Server{}, m.servers...)
			returned := m.servers
			got := m.Servers(now)
			if !reflect.DeepEqual(before, append([]Server{}, returned...)) {
				t.Fatal("a returned list was modified")
			}
			if want := m.rebuildList(); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d: got %v, want %v", seed, got, want)
			}
		}
	}
}

// randomListing returns a listing that follows a position: mostly a difference, sometimes a
// full listing or one of another leader.
func randomListing(rnd *rand.Rand, at Position) Listing {
	l := Listing{Term: at.Term, Version: at.Version + 1, Since: at.Version, Delta: true}
	switch rnd.Intn(12) {
	case 0:
		l.Delta = false
	case 1:
		l.Delta = false
		l.Term++
	case 2:
		l.Term++
		l.TermsBack = 1
	}
	id := func() string {
		return StartID(Start{fmt.Sprint("s", rnd.Intn(8)), int64(rnd.Intn(3))})
	}
	for range rnd.Intn(3) {
		name, born := fmt.Sprint("s", rnd.Intn(8)), int64(rnd.Intn(3))
		l.Servers = append(l.Servers, Server{ID: StartID(Start{name, born}), Name: name, StartedAt: born, Phase: Phase(rnd.Intn(3)), Overdue: rnd.Intn(2) == 0})
	}
	for range rnd.Intn(2) {
		l.Removed = append(l.Removed, id())
		l.Unlisted = append(l.Unlisted, id())
		l.Withdrawals = append(l.Withdrawals, Withdrawal{id(), Draining})
	}
	return l
}

// BenchmarkServersOfALargeFleet measures listing the fleet at an entry after a change of
// one server, and after none.
func BenchmarkServersOfALargeFleet(b *testing.B) {
	m := NewMirror()
	l := Listing{Term: 1, Version: 1}
	for i := range 3000 {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("i-%010d", i), Pool: "p", Address: "10.1.2.3:8000", Zone: "z"})
	}
	now := time.Unix(1_800_000_000, 0)
	m.Apply(now, l)
	m.Servers(now)
	b.Run("one", func(b *testing.B) {
		for n := range b.N {
			at := m.Position()
			m.Apply(now, Listing{Term: 1, Version: at.Version + 1, Since: at.Version, Delta: true, Servers: []Server{{ID: fmt.Sprintf("i-%010d", n%3000), Slots: n}}})
			m.Servers(now)
		}
	})
	b.Run("none", func(b *testing.B) {
		for range b.N {
			m.Servers(now)
		}
	})
}

// BenchmarkAnnouncementOfAKnownServer measures an announcement of an already listed server
// at the leader, among 3,000.
func BenchmarkAnnouncementOfAKnownServer(b *testing.B) {
	r := NewRegistry()
	for i := range 3000 {
		r.Announce(t0, Server{ID: fmt.Sprintf("i-%010d", i), Address: fmt.Sprint("a", i)})
	}
	for n := range b.N {
		r.Announce(t0, Server{ID: fmt.Sprintf("i-%010d", n%3000), Address: fmt.Sprint("a", n%3000), Sequence: uint64(n)})
	}
}
