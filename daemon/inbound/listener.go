package inbound

import (
	"net"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membudget"
)

// Listener accepts the connections of clients at one address.
type Listener struct {
	net.Listener
	guard *Guard
	name  string
	count membudget.Listener
}

// Listen opens a listener.
func (g *Guard) Listen(name, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &Listener{Listener: l, guard: g, name: name}, nil
}

// Accept returns the next connection for which there is room, as a *Conn. Others are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
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
