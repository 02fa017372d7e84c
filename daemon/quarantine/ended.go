// Package quarantine finds out which requests end the backend servers that run
// them, tells the other instances, and keeps such requests from the servers. The
// decisions are made in core/quarantine.
package quarantine

import (
	"errors"
	"io"
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
	// closeTimeout is how long a new connection is held open: something that listens for a
	// server closes it when it can't reach the server, a server waits for a request.
	closeTimeout = 70 * time.Millisecond
	// closesInARow checks must see that, so that a reset of all connections at the moment of
	// one of them is no proof.
	closesInARow = 2
)

// finding is what a check of a server showed.
type finding uint8

const (
	// noAnswer: the host did not answer in time, or can't be reached.
	noAnswer finding = iota
	// accepted: something takes connections to the server's port and keeps them.
	accepted
	// closed: something takes connections to the server's port and closes them at once.
	closed
	// refused: the host refuses connections to the server's port.
	refused
	findings
)

// String returns the name used in logs and metrics.
func (f finding) String() string { return [...]string{"no answer", "accepted", "closed", "refused"}[f] }

// proof is what shows that a server has ended.
type proof uint8

const (
	// refusedPort: its host refuses connections to its port.
	refusedPort proof = iota
	// closedListener: what listens for it closes each connection at once.
	closedListener
	// newerStart: a newer start of it has announced itself.
	newerStart
	// knownBefore: the proof came before the run broke off.
	knownBefore
)

// String returns the name used in logs.
func (p proof) String() string {
	return [...]string{"refused port", "closed listener", "newer start", "known before"}[p]
}

// checker tells servers that have ended from those that only broke a connection:
// answers are also cut short, lost and reset while their server lives on. A host that
// refuses connections to a server's port shows that the server's process has ended, and
// so does one that closes them all at once. Safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	running map[string]bool
	// found counts the checks by their findings.
	found [findings]atomic.Int64
	// ended is told of each server that seems to have ended. Without proof nothing is said:
	// a newer start may still show it.
	ended func(server string, p proof)
}

func newChecker(ended func(server string, p proof)) *checker {
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
		f, err := lookAgain(address)
		c.mu.Lock()
		delete(c.running, server)
		c.mu.Unlock()
		c.found[f].Add(1)
		log.WithFields(log.Fields{"step": "check server", "server": server, "peer": address, "finding": f.String(), "error": err}).
			Info("server was checked after calls broke off")
		switch f {
		case refused:
			c.ended(server, refusedPort)
		case closed:
			c.ended(server, closedListener)
		}
	}()
}

// lookAgain looks at an address until something else than a closed connection is found,
// closesInARow times at most.
func lookAgain(address string) (f finding, err error) {
	for range closesInARow {
		time.Sleep(checkPause)
		if f, err = look(address); f != closed {
			break
		}
	}
	return f, err
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
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(closeTimeout)); err != nil {
		return accepted, err
	}
	var one [1]byte
	_, err = conn.Read(one[:])
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return closed, err
	}
	return accepted, nil
}
