package state

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

func storeDecision(m *Machine, nowMillis int64, name string, s quarantine.Status, version uint64) {
	r := quarantine.Request{URI: name}
	m.Apply((&Command{Type: CommandDecision, NowMillis: nowMillis, Decision: &quarantine.Decision{Digest: r.Digest(), Status: s, Version: version}}).Encode())
}

func TestHighestDecisionVersionWins(t *testing.T) {
	m := New()
	storeDecision(m, 1000, "q", quarantine.Held, 2)
	storeDecision(m, 2000, "q", quarantine.Held, 2)
	storeDecision(m, 3000, "q", quarantine.Suspected, 1)
	if list := m.Decisions(); len(list) != 1 || list[0].DecidedMillis != 1000 || m.DecisionsRevision() != 1 {
		t.Errorf("decisions are %+v at revision %d; want the one of 1000 at revision 1", list, m.DecisionsRevision())
	}
	storeDecision(m, 4000, "q", quarantine.Cleared, 3)
	storeDecision(m, 5000, "q", quarantine.Held, 2)
	if list := m.Decisions(); len(list) != 1 || list[0].Decision.Status != quarantine.Cleared {
		t.Errorf("decisions are %+v, want one with status Cleared", list)
	}
}

// Decisions survive a snapshot with their age and are dropped when expired.
func TestDecisionsSurviveSnapshotAndExpire(t *testing.T) {
	m := New()
	storeDecision(m, 1000, "q", quarantine.Held, 1)
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	got := restored.Decisions()[0].DecisionAt(1000 + quarantine.InitialHold.Milliseconds()/2)
	if got.Age != quarantine.InitialHold/2 || got.Status != quarantine.Held {
		t.Errorf("restored decision is %+v, want Held with age %v", got, quarantine.InitialHold/2)
	}
	storeDecision(restored, time.Hour.Milliseconds(), "other", quarantine.Held, 1)
	if n := len(restored.Decisions()); n != 1 {
		t.Errorf("%d decisions are stored, want 1 because the other has expired", n)
	}
	for i := range 2 * maxDecisions {
		storeDecision(restored, time.Hour.Milliseconds(), fmt.Sprint(i), quarantine.Held, 1)
	}
	if n := len(restored.Decisions()); n != maxDecisions {
		t.Errorf("%d decisions are stored, want %d", n, maxDecisions)
	}
}
