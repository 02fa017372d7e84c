// Package quarantine finds out which requests crash the backend servers that run them,
// reports this to the other instances, and rejects such requests. The decisions are made
// in core/quarantine.
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

	"cardamomwick.example/daemon/upstream"
)

// Timing of the probes of a server whose connection broke.
const (
	// probeDelay precedes each probe: a terminating process closes its connections and its
	// listener within milliseconds, in any order. A restarted process takes longer to
	// listen.
	probeDelay = 30 * time.Millisecond
	// dialTimeout bounds the dial. A host that doesn't answer may be unreachable, which
	// confirms nothing.
	dialTimeout = 300 * time.Millisecond
	// closeTimeout is how long a new connection is kept open: a proxy closes it if it
	// can't reach the server, whereas a server waits for a request.
	closeTimeout = 70 * time.Millisecond
	// requiredCloses is the number of consecutive probes whose connection must be closed,
	// so that a single reset of all connections confirms nothing.
	requiredCloses = 2
)

// probeResult is the result of probing a server.
type probeResult uint8

const (
	// noAnswer: the host did not answer in time or is unreachable.
	noAnswer probeResult = iota
	// accepted: connections to the server's port are accepted and kept open.
	accepted
	// closed: connections to the server's port are accepted and closed immediately.
	closed
	// refused: connections to the server's port are refused.
	refused
	probeResults
)

// String returns the name used in logs and metrics.
func (r probeResult) String() string {
	return [...]string{"no answer", "accepted", "closed", "refused"}[r]
}

// confirmation states how the termination of a server was confirmed.
type confirmation uint8

const (
	// portRefused: the host refuses connections to the server's port.
	portRefused confirmation = iota
	// connectionsClosed: a proxy closes each connection to the server immediately.
	connectionsClosed
	// newerStart: a newer start of the server has announced itself.
	newerStart
	// alreadyConfirmed: the termination was confirmed before the run broke.
	alreadyConfirmed
)

// String returns the name used in logs.
func (c confirmation) String() string {
	return [...]string{"refused port", "closed listener", "newer start", "known before"}[c]
}

// prober distinguishes terminated servers from those that only broke a connection:
// responses are also truncated, lost and reset while their server keeps running. Refused
// connections confirm that the server's process has terminated, and so do connections
// that are all closed immediately. Safe for concurrent use.
type prober struct {
	mu      sync.Mutex
	running map[string]bool
	// results counts the probes by their results.
	results [probeResults]atomic.Int64
	// onTerminated is called for each server that has probably terminated. It is not
	// called without a confirmation, as a newer start may still confirm it.
	onTerminated func(server, address string, c confirmation)
	dial         upstream.Dialer
}

func newProber(dial upstream.Dialer, onTerminated func(server, address string, c confirmation)) *prober {
	if dial == nil {
		dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	return &prober{running: map[string]bool{}, dial: dial, onTerminated: onTerminated}
}

// start probes a server in the background. Only one probe of a server runs at a time.
func (p *prober) start(server, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[server] {
		return
	}
	p.running[server] = true
	go func() {
		r, err := p.probe(address, probeDelay)
		defer p.end(server)
		p.results[r].Add(1)
		log.WithFields(log.Fields{"step": "check server", "server": server, "peer": address, "finding": r.String(), "error": err}).
			Info("server was checked after calls broke off")
		switch r {
		case refused:
			p.onTerminated(server, address, portRefused)
		case closed:
			p.onTerminated(server, address, connectionsClosed)
		}
	}()
}

func (p *prober) end(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, server)
}

// probe probes an address until the result is not a closed connection, at most
// requiredCloses times, each after a delay.
func (p *prober) probe(address string, delay time.Duration) (r probeResult, err error) {
	for range requiredCloses {
		time.Sleep(delay)
		if r, err = p.probeOnce(address); r != closed {
			break
		}
	}
	return r, err
}

// probeOnce tries to connect to an address. The error states why there is no connection.
func (p *prober) probeOnce(address string) (probeResult, error) {
	conn, err := p.dial(address, dialTimeout)
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
