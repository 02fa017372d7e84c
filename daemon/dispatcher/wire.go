// Package dispatcher runs the dispatching role: for each pool, one instance (chosen
// by rendezvous hashing) orders the tickets of all entries and grants slots on
// backend servers. All of its state is soft: when another instance becomes the
// dispatcher, the entries send that one their tickets and running calls.
package dispatcher

import (
	"time"

	"cardamomwick.example/core/dispatch"
)

// Frame methods of the messages between entries and dispatchers.
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

// Enqueue adds tickets to a pool's queue.
type Enqueue struct {
	Pool    string            `msgpack:"p"`
	Tickets []dispatch.Ticket `msgpack:"t"`
}

// Cancel removes a waiting ticket from the queue.
type Cancel struct {
	Pool string            `msgpack:"p"`
	ID   dispatch.TicketID `msgpack:"i"`
}

// Finish releases a granted slot.
type Finish struct {
	Pool  string            `msgpack:"p"`
	ID    dispatch.TicketID `msgpack:"i"`
	Usage dispatch.Usage    `msgpack:"u"`
}

// Sync is an entry's periodic report of a pool's running calls and their progress.
type Sync struct {
	Pool     string                 `msgpack:"p"`
	Entry    string                 `msgpack:"e"`
	Running  []dispatch.RunningCall `msgpack:"r,omitempty"`
	Progress []dispatch.Progress    `msgpack:"g,omitempty"`
	// FirstToken is the mean time from grant to first token since the last
	// report; 0 for none.
	FirstToken time.Duration `msgpack:"f,omitempty"`
}

// SyncReply answers a Sync with the number of the entry's waiting tickets, from which
// the entry detects lost tickets.
type SyncReply struct {
	Pool    string `msgpack:"p"`
	Waiting int    `msgpack:"w"`
}

// Actions are grants and refusals for one entry.
type Actions struct {
	Pool    string           `msgpack:"p"`
	Actions dispatch.Actions `msgpack:"a"`
}

// Announce forwards a backend server's announcement.
type Announce struct {
	Pool   string              `msgpack:"p"`
	Server dispatch.ServerInfo `msgpack:"s"`
}

// ViewReply holds the state of the pools that an instance dispatches.
type ViewReply struct {
	Pools map[string]dispatch.View `msgpack:"p"`
}
