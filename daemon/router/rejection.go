package router

import (
	"time"

	"cardamomwick.example/daemon/frame"
)

// methodRejection is the frame method for rejections by brittle servers.
const methodRejection = "router.rejection"

// rejection tells that a brittle server has rejected a call. It is sent at once, since each instance
// that does not know of it may send the server a call that is rejected too.
type rejection struct {
	Server string `msgpack:"s"`
	// Room is the room that this shows, 0 for none.
	Room int `msgpack:"r"`
}

// Rejections sends rejections to other instances and receives theirs.
type Rejections struct {
	transport *frame.Transport
}

// NewRejections returns a sender of rejections.
func NewRejections(t *frame.Transport) *Rejections { return &Rejections{transport: t} }

// Receive registers the frame handler, which passes rejections to a router.
func (x *Rejections) Receive(r *Router) {
	frame.HandleDecoded(x.transport, methodRejection, func(_ string, m *rejection) { r.mergeRejection(m) })
}

// Tell tells peers of a rejection by a server, and the room that it has shown, 0 for none. It does not wait.
func (x *Rejections) Tell(addresses []string, server string, room int) {
	for _, a := range addresses {
		_ = x.transport.Send(a, methodRejection, &rejection{server, room}) // a lost message costs another rejection
	}
}

func (r *Router) mergeRejection(m *rejection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.MergeRejection(time.Now(), m.Server, m.Room)
}
