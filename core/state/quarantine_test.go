package state

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

func rule(m *Machine, nowMillis int64, name string, s quarantine.Status, version uint64) {
	r := quarantine.Request{URI: name}
	m.Apply((&Command{Type: CommandRule, NowMillis: nowMillis, Rule: &quarantine.Decision{Digest: r.Digest(), Status: s, Version: version}}).Encode())
}

func TestNewestRulingIsKept(t *testing.T) {
	m := New()
	rule(m, 1000, "q", quarantine.Held, 2)
	rule(m, 2000, "q", quarantine.Held, 2)
	rule(m, 3000, "q", quarantine.Suspected, 1)
	if list := m.Holds(); len(list) != 1 || list[0].DecidedMillis != 1000 || m.HoldsRevision() != 1 {
		t.Errorf("got %+v, revision %d", list, m.HoldsRevision())
	}
	rule(m, 4000, "q", quarantine.Cleared, 3)
	rule(m, 5000, "q", quarantine.Held, 2)
	if list := m.Holds(); len(list) != 1 || list[0].Ruling.Status != quarantine.Cleared {
		t.Errorf("got %+v", list)
	}
}

// Rulings outlive a snapshot, with their age, and are dropped when nothing follows from
// them any more.
func TestRulingsAreSavedAndEnd(t *testing.T) {
	m := New()
	rule(m, 1000, "q", quarantine.Held, 1)
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	got := restored.Holds()[0].Told(1000 + quarantine.InitialHold.Milliseconds()/2)
	if got.Age != quarantine.InitialHold/2 || got.Status != quarantine.Held {
		t.Errorf("got %+v", got)
	}
	rule(restored, time.Hour.Milliseconds(), "other", quarantine.Held, 1)
	if n := len(restored.Holds()); n != 1 {
		t.Errorf("%d rulings are kept", n)
	}
	for i := range 2 * keptHolds {
		rule(restored, time.Hour.Milliseconds(), fmt.Sprint(i), quarantine.Held, 1)
	}
	if n := len(restored.Holds()); n != keptHolds {
		t.Errorf("%d rulings are kept", n)
	}
}
