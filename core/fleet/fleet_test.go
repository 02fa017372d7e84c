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
		t.Errorf("an announcement from before the draining set the phase %v", got.Phase)
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
	r.Restore(t0, []Server{server("a", 1)})
	if len(r.Servers()) != 0 {
		t.Error("a late announcement brought a departed server back")
	}
}

// A delayed announcement of a crashed server may arrive after that of its successor at the
// same address.
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

func TestSilentServerBecomesOverdueThenTimesOut(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, server("a", 1))
	v := r.Version()
	r.MarkOverdue(t0.Add(OverdueAfter - time.Millisecond))
	if r.Version() != v || r.Servers()[0].Overdue {
		t.Error("overdue too early")
	}
	r.MarkOverdue(t0.Add(OverdueAfter))
	if r.Version() == v || !r.Servers()[0].Overdue {
		t.Error("not overdue")
	}
	if len(r.TimedOut(t0.Add(SilenceTimeout))) != 1 {
		t.Error("not timed out")
	}
	r.Announce(t0.Add(OverdueAfter), server("a", 2))
	if r.Servers()[0].Overdue {
		t.Error("still overdue after an announcement")
	}
}

func TestMirrorKeepsServersAcrossLeaderChange(t *testing.T) {
	m := NewMirror()
	m.Apply(t0, Listing{Term: 1, Servers: []Server{server("a", 1), server("b", 1), server("c", 1)}})
	m.Apply(t0, Listing{Term: 2, Servers: []Server{server("a", 1)}, Withdrawals: []Withdrawal{{"b", Departed}, {"c", Draining}}})
	got := m.Servers(t0)
	if len(got) != 2 || got[0].ID != "a" || got[1].ID != "c" || got[1].Phase != Draining {
		t.Errorf("got %+v, want a, and c draining", got)
	}
	if got := m.Servers(t0.Add(retentionTime)); len(got) != 1 {
		t.Errorf("unlisted servers are still listed: %+v", got)
	}
	m.Apply(t0, Listing{Term: 1, Servers: nil})
	if len(m.Servers(t0)) == 0 {
		t.Error("a listing of an older term was applied")
	}
}

// In whatever order announcements arrive, a withdrawn server never becomes ready again.
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

// fleetSize is ten servers on each of 376 machines.
const fleetSize = 3760

// registryOfLostFleet returns the registry of a leader whose large fleet is gone.
func registryOfLostFleet() *Registry {
	r := NewRegistry()
	var former []Server
	for i := range fleetSize {
		former = append(former, Server{ID: fmt.Sprint("former-", i), Address: fmt.Sprint("a", i)})
	}
	r.Restore(t0, former)
	return r
}

// All servers of a large fleet are lost, as many others have come, and the former become
// overdue at the same moment. Watchers must be sent the difference: full listings to
// hundreds of them delayed the leader's processing of heartbeats.
func TestOverdueFleetIsSentAsDifference(t *testing.T) {
	r := registryOfLostFleet()
	at := r.Version()
	for i := range fleetSize {
		r.Announce(t0.Add(OverdueAfter), Server{ID: fmt.Sprint("next-", i), Address: fmt.Sprint("b", i)})
	}
	r.MarkOverdue(t0.Add(OverdueAfter))
	if l := r.Listing(true, at); !l.Delta || len(l.Servers) != 2*fleetSize {
		t.Errorf("delta is %v with %d servers", l.Delta, len(l.Servers))
	}
}
