package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

func server(id string, sequence uint64) Server {
	return Server{ID: id, Pool: "p", Address: "10.0.0.1:1", Slots: 6, Sequence: sequence}
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	r := NewRegistry()
	now := server("a", 5)
	now.Phase = Draining
	r.Announce(t0, now)
	r.Announce(t0, server("a", 4))
	if got := r.Servers()[0]; got.Phase != Draining {
		t.Errorf("an announcement from before the draining made it %v", got.Phase)
	}
	r.Announce(t0, server("a", 6))
	if got := r.Servers()[0]; got.Phase != Draining {
		t.Errorf("a draining server is %v again", got.Phase)
	}
}

func TestDepartedServerStaysAway(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, server("a", 1))
	r.Depart("a")
	r.Announce(t0.Add(time.Second), server("a", 2))
	r.Remember(t0, []Server{server("a", 1)})
	if len(r.Servers()) != 0 {
		t.Error("a late announcement brought a departed server back")
	}
}

// A delayed announcement of a crashed server may come after that of its
// successor at the same address.
func TestDelayedPredecessorDoesNotDisplaceItsSuccessor(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, server("new", 1))
	r.Announce(t0.Add(time.Second), server("old", 9))
	found := false
	for _, s := range r.Servers() {
		found = found || s.ID == "new"
	}
	if !found {
		t.Error("the successor is gone")
	}
}

func TestSilentServerIsOverdueThenListedAsSilent(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, server("a", 1))
	v := r.Version()
	r.Expire(t0.Add(OverdueAfter - time.Millisecond))
	if r.Version() != v || r.Servers()[0].Overdue {
		t.Error("overdue too early")
	}
	r.Expire(t0.Add(OverdueAfter))
	if r.Version() == v || !r.Servers()[0].Overdue {
		t.Error("not overdue")
	}
	if len(r.Silent(t0.Add(ForgetAfter))) != 1 {
		t.Error("not listed as silent")
	}
	r.Announce(t0.Add(OverdueAfter), server("a", 2))
	if r.Servers()[0].Overdue {
		t.Error("still overdue after an announcement")
	}
}

func TestMirrorKeepsServersOverAChangeOfTheLeader(t *testing.T) {
	m := NewMirror()
	m.Take(t0, Listing{Term: 1, Servers: []Server{server("a", 1), server("b", 1), server("c", 1)}})
	m.Take(t0, Listing{Term: 2, Servers: []Server{server("a", 1)}, Withdrawals: []Withdrawal{{"b", Departed}, {"c", Draining}}})
	got := m.Servers(t0)
	if len(got) != 2 || got[0].ID != "a" || got[1].ID != "c" || got[1].Phase != Draining {
		t.Errorf("got %+v, want a, and c draining", got)
	}
	if got := m.Servers(t0.Add(adoptTime)); len(got) != 1 {
		t.Errorf("unlisted servers are still believed: %+v", got)
	}
	m.Take(t0, Listing{Term: 1, Servers: nil})
	if len(m.Servers(t0)) == 0 {
		t.Error("a listing of an older term was taken")
	}
}

// Whatever order announcements come in, a server that was ever withdrawn is
// never ready again.
func TestWithdrawnIsNeverReady(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("never ready again", prop.ForAll(func(sequences []uint8, at uint8) bool {
		r := NewRegistry()
		withdrawn := false
		for i, q := range sequences {
			if i == int(at)%max(1, len(sequences)) {
				r.Announce(t0, server("a", uint64(q)))
				r.Withdraw("a", Draining)
				withdrawn = true
			}
			r.Announce(t0, server("a", uint64(q)))
		}
		list := r.Servers()
		return !withdrawn || list[0].Phase == Draining
	}, gen.SliceOf(gen.UInt8()), gen.UInt8()))
	p.TestingRun(t)
}

// fleetSize is ten servers a machine at 376 machines.
const fleetSize = 3760

// lostFleet is the registry of a leader that remembers a large fleet which is gone.
func lostFleet() *Registry {
	r := NewRegistry()
	var former []Server
	for i := range fleetSize {
		former = append(former, Server{ID: fmt.Sprint("former-", i), Address: fmt.Sprint("a", i)})
	}
	r.Remember(t0, former)
	return r
}

// All servers of a large fleet are lost, as many others have come, and the former become
// overdue at the same moment. Instances that watch get what has changed; whole listings, for
// hundreds of them, kept the leader from hearing of heartbeats.
func TestOverdueFleetIsToldInDifferences(t *testing.T) {
	r := lostFleet()
	at := r.Version()
	for i := range fleetSize {
		r.Announce(t0.Add(OverdueAfter), Server{ID: fmt.Sprint("next-", i), Address: fmt.Sprint("b", i)})
	}
	r.Expire(t0.Add(OverdueAfter))
	if l := r.Listing(true, at); !l.Difference || len(l.Servers) != 2*fleetSize {
		t.Errorf("difference %v with %d servers", l.Difference, len(l.Servers))
	}
}
