// Package testport gives tests addresses to listen on later.
package testport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Ports below those that the system gives to connections and to listeners that ask for
// any port, on Linux from 32768 by default.
const (
	lowest = 10000
	beyond = 32000
	// mostTries bounds the search; tests reserve a handful of the 22,000 ports.
	mostTries = 200
)

// Reserve returns a loopback address that is the test's own until it ends: nobody
// listens there, and neither this process nor another that reserves gets the same.
// A port that was merely free a moment ago may be somebody else's when the test comes
// to listen on it, and instances with the same keys then talk to the wrong one.
func Reserve(t testing.TB) string {
	t.Helper()
	for range mostTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(beyond-lowest))
		if reserve(t, address) {
			return address
		}
	}
	t.Fatalf("no free port in %d tries", mostTries)
	return ""
}

// reserve reports whether the address is free for TCP and takes it for UDP, which none
// of our instances uses.
func reserve(t testing.TB, address string) bool {
	held, err := net.ListenPacket("udp", address)
	if err != nil {
		return false // another test's
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		held.Close()
		return false // some program's
	}
	l.Close()
	t.Cleanup(func() { held.Close() })
	return true
}
