package state

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/fleet"
)

// BenchmarkRegisterAndWithdrawOneServer measures the frequent case of log entries with a
// single server, on a machine with the maximum number of servers.
func BenchmarkRegisterAndWithdrawOneServer(b *testing.B) {
	m, _ := machineWithMaxServers(b)
	for n := range b.N {
		id := fmt.Sprint("one-", n)
		m.Apply((&Command{Type: CommandRegister, Servers: []fleet.Server{{ID: id}}}).Encode())
		m.Apply((&Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: id, Phase: fleet.Departed}}).Encode())
	}
}
