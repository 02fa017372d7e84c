// Package testport reserves addresses for tests to listen on.
package testport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Reserved ports are below the ephemeral range, which Linux starts at 32768 by default.
const (
	firstPort = 10000
	endPort   = 32000
	// maxAttempts limits the search; tests reserve only a few of the 22,000 ports.
	maxAttempts = 200
)

// Reserve returns a loopback address on which nothing listens, and which no other call of
// Reserve, in this or another process, returns until the test ends. A port that was merely
// free a moment ago may be taken before the test listens on it; instances of different tests
// that have the same keys would then connect to each other.
func Reserve(t testing.TB) string {
	t.Helper()
	for range maxAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
		if reserve(t, address) {
			return address
		}
	}
	t.Fatalf("no free port in %d tries", maxAttempts)
	return ""
}

// reserve reports whether the address is free for TCP. It reserves it by binding the same UDP
// port, which no instance uses.
func reserve(t testing.TB, address string) bool {
	reservation, err := net.ListenPacket("udp", address)
	if err != nil {
		return false // reserved by another test
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		reservation.Close()
		return false // in use by another program
	}
	l.Close()
	t.Cleanup(func() { reservation.Close() })
	return true
}
