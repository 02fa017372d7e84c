// Package dispatcher runs the dispatching role: for each pool, one instance
// (chosen by rendezvous hashing) orders the tickets of all entries and grants
// slots on backend servers. All of its state is soft: entries send it again to
// the next dispatcher.
package dispatcher

import (
	"time"

	"cardamomwick.example/core/dispatch"
)

// Frame methods between entries and dispatchers.
const (
	MethodEnqueue   = "dispatch.enqueue"
	MethodCancel    = "dispatch.cancel"
	MethodFinish    = "dispatch.finish"
	MethodSync      = "dispatch.sync"
	MethodActions   = "dispatch.actions"
	MethodSyncReply = "dispatch.synced"
	MethodAnnounce  = "dispatch.announce"
	MethodView      = "dispatch.view"
)

// Enqueue brings tickets to a pool's dispatcher.
type Enqueue struct {
	Pool    string            `msgpack:"p"`
	Tickets []dispatch.Ticket `msgpack:"t"`
}

// Cancel withdraws a waiting ticket.
type Cancel struct {
	Pool string            `msgpack:"p"`
	ID   dispatch.TicketID `msgpack:"i"`
}

// Finish returns a granted slot.
type Finish struct {
	Pool  string            `msgpack:"p"`
	ID    dispatch.TicketID `msgpack:"i"`
	Usage dispatch.Usage    `msgpack:"u"`
}

// Sync is an entry's regular report about a pool.
type Sync struct {
	Pool     string                 `msgpack:"p"`
	Entry    string                 `msgpack:"e"`
	Running  []dispatch.RunningCall `msgpack:"r,omitempty"`
	Progress []dispatch.Progress    `msgpack:"g,omitempty"`
	// FirstToken is the mean time from grant to first token since the last
	// report; 0 for none.
	FirstToken time.Duration `msgpack:"f,omitempty"`
}

// SyncReply answers a Sync with what the dispatcher holds for the entry, so that
// lost tickets are noticed.
type SyncReply struct {
	Pool    string `msgpack:"p"`
	Waiting int    `msgpack:"w"`
}

// Actions are grants and refusals for one entry.
type Actions struct {
	Pool    string           `msgpack:"p"`
	Actions dispatch.Actions `msgpack:"a"`
}

// Announce passes a backend server's announcement on.
type Announce struct {
	Pool   string              `msgpack:"p"`
	Server dispatch.ServerInfo `msgpack:"s"`
}

// ViewReply holds a dispatcher's pools.
type ViewReply struct {
	Pools map[string]dispatch.View `msgpack:"p"`
}
