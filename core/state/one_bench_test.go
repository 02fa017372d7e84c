package state

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/fleet"
)

// BenchmarkOneServerComesAndLeaves is what a replica pays for two entries of the log with a
// single server each, as they come all the time, while it remembers as many as it may.
func BenchmarkOneServerComesAndLeaves(b *testing.B) {
	m, _ := fullRegister(b)
	for n := range b.N {
		id := fmt.Sprint("one-", n)
		m.Apply((&Command{Type: CommandRegister, Servers: []fleet.Server{{ID: id}}}).Encode())
		m.Apply((&Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: id, Phase: fleet.Departed}}).Encode())
	}
}
