package state

import (
	"testing"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/duty"
	"cardamomwick.example/core/usage"
)

func apply(t *testing.T, m *Machine, c *Command) Result {
	t.Helper()
	return m.Apply(c.Encode())
}

// claimUsageDuty makes name the holder of the duty "usage" and returns the new term.
func claimUsageDuty(t *testing.T, m *Machine, name string) uint64 {
	t.Helper()
	seen := m.Duties().Duties["usage"].Lease
	r := apply(t, m, &Command{Type: CommandDuty, Duty: &DutyCommand{Duty: "usage", Claim: duty.Claim{Holder: name, Expected: seen}}})
	if r.Code != CodeOK {
		t.Fatalf("claim of %s: %+v", name, r)
	}
	return r.Lease.Term
}

func report(number uint64, w usage.Window, runs uint32) *Command {
	return &Command{Type: CommandUsage, Reports: []usage.Report{{Reporter: "a", Number: number, Rows: []usage.Row{{Window: w, Customer: "x", Runs: runs}}}}}
}

// A replica restored from a snapshot continues like one that was never restarted, also
// when the snapshot has no open usage windows.
func TestDutiesSurviveSnapshot(t *testing.T) {
	m := New()
	term := claimUsageDuty(t, m, "a")
	apply(t, m, report(1, 7, 3))
	first := apply(t, m, &Command{Type: CommandEffect, NowMillis: 1000, Effect: &EffectCommand{Duty: "usage", Holder: "a", Term: term, Close: 7}})
	if first.Code != CodeOK || first.Window.Counts["x"] != 3 {
		t.Fatalf("close: %+v", first)
	}
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Machine{m, restored} {
		apply(t, x, report(1, 7, 3)) // duplicate report
		apply(t, x, report(2, 8, 4))
		r := apply(t, x, &Command{Type: CommandEffect, Effect: &EffectCommand{Duty: "usage", Holder: "a", Term: term, Close: 8}})
		if r.Window == nil || r.Window.Counts["x"] != 4 || r.Fence != first.Fence+1 {
			t.Errorf("after the snapshot: %+v, want 4 runs and fence %d", r, first.Fence+1)
		}
	}
	if string(m.Snapshot()) != string(restored.Snapshot()) {
		t.Error("the restored replica's state differs from the original's")
	}
}

// An effect, which is an external action of a duty's holder, is rejected if it was
// sent under a previous term, and changes nothing.
func TestEffectOfFormerHolderIsRejected(t *testing.T) {
	m := New()
	former := claimUsageDuty(t, m, "a")
	claimUsageDuty(t, m, "b")
	order := &capacity.Order{ServerGroup: capacity.ServerGroup{Pool: "p", Zone: "z"}, Count: 4}
	r := apply(t, m, &Command{Type: CommandEffect, Effect: &EffectCommand{Duty: "usage", Holder: "a", Term: former, Close: 7, Order: order}})
	d := m.Duties()
	if r.Code != CodeStale || r.Fence != 0 || d.Usage.Through != 0 || len(d.Orders) != 0 {
		t.Errorf("effect of the former holder: result %+v, duties %+v; want CodeStale and no change", r, d)
	}
}
