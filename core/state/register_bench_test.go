package state

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/fleet"
)

// machineWithMaxServers returns a machine with maxServers servers, and a function that
// encodes a command registering 512 further ones.
func machineWithMaxServers(b testing.TB) (m *Machine, next func() []byte) {
	m = New()
	n := 0
	next = func() []byte {
		c := &Command{Type: CommandRegister}
		for range 512 {
			n++
			name := fmt.Sprintf("i-%010d", n)
			c.Servers = append(c.Servers, fleet.Server{ID: fleet.StartID(fleet.Start{Name: name, StartedAt: int64(n)}), Name: name, StartedAt: int64(n), Pool: "p", Address: "10.1.2.3:8000", Zone: "z"})
		}
		return c.Encode()
	}
	for range maxServers/512 + 1 {
		m.Apply(next())
	}
	if got := len(m.Routing().Servers); got != maxServers {
		b.Fatalf("%d servers are registered, want %d", got, maxServers)
	}
	return m, next
}

// BenchmarkRegisterServers measures a log entry with 512 servers on a machine with the
// maximum number of servers. Copying the whole list for each server took so long that
// replicas lost their leader while applying one entry.
func BenchmarkRegisterServers(b *testing.B) {
	m, next := machineWithMaxServers(b)
	for range b.N {
		b.StopTimer()
		data := next()
		b.StartTimer()
		m.Apply(data)
	}
}
