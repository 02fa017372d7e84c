package state

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

func rule(m *Machine, nowMillis int64, name string, s quarantine.Status, version uint64) {
	r := quarantine.Request{URI: name}
	m.Apply((&Command{Type: CommandRuling, NowMillis: nowMillis, Ruling: &quarantine.Decision{Digest: r.Digest(), Status: s, Version: version}}).Encode())
}

func TestHighestRulingVersionWins(t *testing.T) {
	m := New()
	rule(m, 1000, "q", quarantine.Held, 2)
	rule(m, 2000, "q", quarantine.Held, 2)
	rule(m, 3000, "q", quarantine.Suspected, 1)
	if list := m.Rulings(); len(list) != 1 || list[0].DecidedMillis != 1000 || m.RulingsRevision() != 1 {
		t.Errorf("rulings are %+v at revision %d; want the one of 1000 at revision 1", list, m.RulingsRevision())
	}
	rule(m, 4000, "q", quarantine.Cleared, 3)
	rule(m, 5000, "q", quarantine.Held, 2)
	if list := m.Rulings(); len(list) != 1 || list[0].Ruling.Status != quarantine.Cleared {
		t.Errorf("rulings are %+v, want one with status Cleared", list)
	}
}

// Rulings survive a snapshot with their age and are dropped when expired.
func TestRulingsSurviveSnapshotAndExpire(t *testing.T) {
	m := New()
	rule(m, 1000, "q", quarantine.Held, 1)
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	got := restored.Rulings()[0].RulingAt(1000 + quarantine.InitialHold.Milliseconds()/2)
	if got.Age != quarantine.InitialHold/2 || got.Status != quarantine.Held {
		t.Errorf("restored ruling is %+v, want Held with age %v", got, quarantine.InitialHold/2)
	}
	rule(restored, time.Hour.Milliseconds(), "other", quarantine.Held, 1)
	if n := len(restored.Rulings()); n != 1 {
		t.Errorf("%d rulings are stored, want 1 because the other has expired", n)
	}
	for i := range 2 * maxRulings {
		rule(restored, time.Hour.Milliseconds(), fmt.Sprint(i), quarantine.Held, 1)
	}
	if n := len(restored.Rulings()); n != maxRulings {
		t.Errorf("%d rulings are stored, want %d", n, maxRulings)
	}
}
