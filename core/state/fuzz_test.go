package state

import (
	"testing"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
)

// Any log entry can be applied without a panic, and the resulting state can be saved and
// restored.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{
		{Type: CommandDeclare, Declare: &DeclareCommand{Version: 3, Declaration: []byte("d"), Source: []byte("s")}},
		{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: "a", Phase: fleet.Departed}},
		{Type: CommandRegister, Servers: []fleet.Server{{ID: "b", Pool: "p"}, {ID: "c@1", Name: "c", StartedAt: 1}}},
		{Type: CommandRegister, Register: &fleet.Server{ID: "a@7", Name: "a", StartedAt: 7, Pool: "p"}},
		{Type: CommandDecision, Decision: &quarantine.Decision{Status: quarantine.Held, Version: 2, Servers: []string{"a"}}},
		{Type: CommandOrderLease, Lease: &LeaseCommand{Owner: "x"}},
		{Type: CommandClaim, Call: &CallCommand{CallID: "c", Owner: "o", Key: CallKey{Key: "k", Millis: 5}}},
	} {
		f.Add(c.Encode())
	}
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		m.Apply(data)
		m.Apply(data)
		if err := New().Restore(m.Snapshot()); err != nil {
			t.Errorf("the state after %x can't be restored: %v", data, err)
		}
	})
}
