package state

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/fleet"
)

// fullRegister is a machine that remembers as many servers as it may.
func fullRegister(b testing.TB) (m *Machine, next func() []byte) {
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
	for range keptServers/512 + 1 {
		m.Apply(next())
	}
	if got := len(m.Routing().Servers); got != keptServers {
		b.Fatalf("%d servers are remembered", got)
	}
	return m, next
}

// BenchmarkRegisterServers is what a replica pays for an entry of the log with 512 servers
// while it remembers as many as it may. With a copy of all for each, replicas lost their
// leader while they applied it.
func BenchmarkRegisterServers(b *testing.B) {
	m, next := fullRegister(b)
	for range b.N {
		b.StopTimer()
		data := next()
		b.StartTimer()
		m.Apply(data)
	}
}
