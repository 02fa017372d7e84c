// Package quarantine finds out which requests end the backend servers that run
// them, tells the other instances, and keeps such requests from the servers. The
// decisions are made in core/quarantine.
package quarantine

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
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

// checker tells servers that have ended from those that only broke a connection:
// answers are also cut short, lost and reset while their server lives on. A host that
// refuses connections to a server's port shows that the server's process has ended.
// Safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	running map[string]bool
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
		ended := refuses(address)
		c.mu.Lock()
		delete(c.running, server)
		c.mu.Unlock()
		if ended {
			c.ended(server)
		}
	}()
}

// refuses reports whether nobody listens at an address, by its host's own word.
func refuses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
