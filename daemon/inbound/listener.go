package inbound

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membudget"
)

// HeadLimits bound the heads of requests and how long clients may take. A zero value sets no bound.
type HeadLimits struct {
	// MaxBytes bounds the request line and the header lines.
	MaxBytes int
	// Timeout is the time from the first byte of a head to its last.
	Timeout time.Duration
	// IdleTimeout is how long a connection stays open between two requests.
	IdleTimeout time.Duration
}

// Listener accepts the connections of clients at one address.
type Listener struct {
	net.Listener
	guard *Guard
	name  string
	// limits returns the limits in force.
	limits func() HeadLimits
	// http is set if the clients send HTTP requests.
	http         bool
	writeTimeout time.Duration
	count        membudget.Listener
}

// Listen opens a listener for HTTP. limits, which may be nil, returns the limits on heads.
func (g *Guard) Listen(name, address string, limits func() HeadLimits) (*Listener, error) {
	if limits == nil {
		limits = func() HeadLimits { return HeadLimits{} }
	}
	l, err := g.listen(name, address)
	if err != nil {
		return nil, err
	}
	l.http, l.limits = true, limits
	return l, nil
}

// ListenForPeers opens a listener for another protocol, whose clients are taken out of the account by
// Conn.Authenticated.
func (g *Guard) ListenForPeers(address string) (net.Listener, error) {
	return g.listen("peers", address)
}

func (g *Guard) listen(name, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &Listener{Listener: l, guard: g, name: name, writeTimeout: writeTimeout}, nil
}

// acceptPause is the wait after connections could not be accepted for lack of descriptors.
const acceptPause = 20 * time.Millisecond

// Accept returns the next connection for which there is room, as a *Conn. Others are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if isTemporary(err) {
			log.WithError(err).WithFields(log.Fields{"step": "accept", "listener": l.name}).Warn("connection not accepted")
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		if l.guard.open(c) {
			return c, nil
		}
		l.guard.refuse(l.name, ReasonConnections)
		_ = raw.Close() // the client has no answer, and nothing was read from it
	}
}

// isTemporary reports whether accepting failed for a reason that passes.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
