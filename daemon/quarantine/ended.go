// Package quarantine finds out which requests end the backend servers that run
// them, tells the other instances, and keeps such requests from the servers. The
// decisions are made in core/quarantine.
package quarantine

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
)

// The check of a server whose connection broke.
const (
	// checkPause passes first: a process that ends closes its connections and its
	// listener within milliseconds, in any order. A process that is started again takes
	// longer to listen.
	checkPause = 30 * time.Millisecond
	// checkTimeout bounds the dial. A host that does not answer may be cut off: that
	// proves nothing.
	checkTimeout = 300 * time.Millisecond
)

// finding is what a check of a server showed.
type finding uint8

const (
	// noAnswer: the host did not answer in time, or can't be reached.
	noAnswer finding = iota
	// accepted: something takes connections to the server's port.
	accepted
	// refused: the host refuses connections to the server's port.
	refused
	findings
)

// String returns the name used in logs and metrics.
func (f finding) String() string { return [...]string{"no answer", "accepted", "refused"}[f] }

// proof is what shows that a server has ended.
type proof uint8

const (
	// refusedPort: its host refuses connections to its port.
	refusedPort proof = iota
	// newerStart: a newer start of it has announced itself.
	newerStart
	// knownBefore: the proof came before the run broke off.
	knownBefore
)

// String returns the name used in logs.
func (p proof) String() string {
	return [...]string{"refused port", "newer start", "known before"}[p]
}

// checker tells servers that have ended from those that only broke a connection:
// answers are also cut short, lost and reset while their server lives on. A host that
// refuses connections to a server's port shows that the server's process has ended.
// Safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	running map[string]bool
	// found counts the checks by their findings.
	found [findings]atomic.Int64
	// ended is told of each server that has ended. Without proof nothing is said: a newer
	// start may still show it.
	ended func(server string)
}

func newChecker(ended func(server string)) *checker {
	return &checker{running: map[string]bool{}, ended: ended}
}

// check looks, in the background, whether a server has ended. Only one check of a
// server runs at a time.
func (c *checker) check(server, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[server] {
		return
	}
	c.running[server] = true
	go func() {
		time.Sleep(checkPause)
		f, err := look(address)
		c.mu.Lock()
		delete(c.running, server)
		c.mu.Unlock()
		c.found[f].Add(1)
		log.WithFields(log.Fields{"step": "check server", "server": server, "peer": address, "finding": f.String(), "error": err}).
			Info("server was checked after calls broke off")
		if f == refused {
			c.ended(server)
		}
	}()
}

// look tries to connect to an address. The error says why there is no connection.
func look(address string) (finding, error) {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused, err
	case err != nil:
		return noAnswer, err
	}
	conn.Close()
	return accepted, nil
}
