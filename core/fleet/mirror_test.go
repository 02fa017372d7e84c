package fleet

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// Whatever is listed, withdrawn, started again or taken over from another leader, the list
// that is kept up to date is the one that would be made anew. A server that is missing from
// it gets no calls at this entry, one that has left loses them.
func TestListKeptUpToDateIsTheListMadeAnew(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		m := NewMirror()
		now := time.Unix(1_800_000_000, 0)
		for range 200 {
			now = now.Add(time.Duration(rnd.Intn(1500)) * time.Millisecond)
			m.Take(now, randomListing(rnd, m.At()))
			before := append([]Server{}, m.servers...)
			handed := m.servers
			got := m.Servers(now)
			if !reflect.DeepEqual(before, append([]Server{}, handed...)) {
				t.Fatal("a list that was handed out has changed")
			}
			if want := m.sorted(); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d: got %v, want %v", seed, got, want)
			}
		}
	}
}

// randomListing follows a point: mostly a difference, at times a whole listing or another
// leader's.
func randomListing(rnd *rand.Rand, at Point) Listing {
	l := Listing{Term: at.Term, Version: at.Version + 1, Since: at.Version, Difference: true}
	switch rnd.Intn(12) {
	case 0:
		l.Difference = false
	case 1:
		l.Difference = false
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
		l.Servers = append(l.Servers, Server{ID: StartID(Start{name, born}), Name: name, Born: born, Phase: Phase(rnd.Intn(3)), Overdue: rnd.Intn(2) == 0})
	}
	for range rnd.Intn(2) {
		l.Removed = append(l.Removed, id())
		l.Unlisted = append(l.Unlisted, id())
		l.Withdrawals = append(l.Withdrawals, Withdrawal{id(), Draining})
	}
	return l
}

// BenchmarkServersOfALargeFleet is what an entry pays to list the fleet after a change of
// one server, and after none.
func BenchmarkServersOfALargeFleet(b *testing.B) {
	m := NewMirror()
	l := Listing{Term: 1, Version: 1}
	for i := range 3000 {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("i-%010d", i), Pool: "p", Address: "10.1.2.3:8000", Zone: "z"})
	}
	now := time.Unix(1_800_000_000, 0)
	m.Take(now, l)
	m.Servers(now)
	b.Run("one", func(b *testing.B) {
		for n := range b.N {
			at := m.At()
			m.Take(now, Listing{Term: 1, Version: at.Version + 1, Since: at.Version, Difference: true, Servers: []Server{{ID: fmt.Sprintf("i-%010d", n%3000), Slots: n}}})
			m.Servers(now)
		}
	})
	b.Run("none", func(b *testing.B) {
		for range b.N {
			m.Servers(now)
		}
	})
}

// BenchmarkAnnouncementOfAKnownServer is what a leader pays for each announcement of a
// server that it lists, among 3,000.
func BenchmarkAnnouncementOfAKnownServer(b *testing.B) {
	r := NewRegistry()
	for i := range 3000 {
		r.Announce(t0, Server{ID: fmt.Sprintf("i-%010d", i), Address: fmt.Sprint("a", i)})
	}
	for n := range b.N {
		r.Announce(t0, Server{ID: fmt.Sprintf("i-%010d", n%3000), Address: fmt.Sprint("a", n%3000), Sequence: uint64(n)})
	}
}
