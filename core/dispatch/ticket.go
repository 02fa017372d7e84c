// Package dispatch decides which waiting call of a pool runs next and on which
// backend server. One Pool holds the tickets of all entries, so that tiers apply
// across entries and load is counted from grants rather than from lagging
// reports. The package does no I/O: the time is passed in, and actions are
// returned.
//
// Classes are served strictly by tier, except that a class that received less
// than its guaranteed share of the work comes first. The customers of a class
// share it by weighted fair queueing on work. One customer's tickets run in the
// order of the class: oldest, newest, or oldest attainable first.
package dispatch

import (
	"time"

	"cardamomwick.example/core/bundle"
)

// TicketID identifies a waiting or running call by the entry process that holds it
// and that process's sequence number.
type TicketID struct {
	Entry    string `msgpack:"e"`
	Sequence uint64 `msgpack:"s"`
}

// Ticket describes a call to the dispatcher. The entry keeps the caller's
// connection and the request body.
type Ticket struct {
	ID       TicketID `msgpack:"i"`
	Class    string   `msgpack:"c"`
	Customer string   `msgpack:"u"`
	// Age is how long the call had waited when the ticket was sent. Durations are sent
	// because clocks of different machines are never compared.
	Age time.Duration `msgpack:"a"`
	// Remaining is the time to the caller's deadline when the ticket was sent.
	Remaining time.Duration `msgpack:"r"`
	// PromptTokens is the estimated length of the input.
	PromptTokens int `msgpack:"p"`
	// Prefixes are hashes of the prompt's leading blocks, shortest first.
	Prefixes []uint64 `msgpack:"x,omitempty"`
	// Exclude lists servers on which this call has failed.
	Exclude []string `msgpack:"n,omitempty"`
	// Attempt counts from 1.
	Attempt int `msgpack:"t"`
}

// Grant instructs an entry to send a call to a server.
type Grant struct {
	ID      TicketID `msgpack:"i"`
	Server  string   `msgpack:"s"`
	Address string   `msgpack:"a"`
	Attempt int      `msgpack:"t"`
}

// Reason is why a ticket was refused.
type Reason string

// Reasons for refusals.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonFirstToken   Reason = "first_token_target"
	ReasonCustomerRate Reason = "customer_rate"
	ReasonQueueFull    Reason = "queue_full"
	ReasonUnknownClass Reason = "unknown_class"
)

// Refusal instructs an entry to answer with the outcome not_run immediately.
type Refusal struct {
	ID     TicketID `msgpack:"i"`
	Reason Reason   `msgpack:"r"`
	// RetryAfter estimates when a retry is likely to be accepted.
	RetryAfter time.Duration `msgpack:"a"`
	Attempt    int           `msgpack:"t"`
}

// Actions are the decisions of a Pool that entries carry out.
type Actions struct {
	Grants   []Grant   `msgpack:"g,omitempty"`
	Refusals []Refusal `msgpack:"r,omitempty"`
}

// Usage is the result of a finished attempt.
type Usage struct {
	OutputTokens int `msgpack:"o"`
	// Fault is set if the server refused or broke the connection or answered 5xx.
	Fault bool `msgpack:"f,omitempty"`
	// Completed is set if the whole answer was received.
	Completed bool `msgpack:"c,omitempty"`
	// ExtraRequests counts the requests sent to the server after the first one, to
	// resume a broken stream or to cancel it.
	ExtraRequests int `msgpack:"r,omitempty"`
}

// ServerInfo is a backend server's announcement.
type ServerInfo struct {
	ID      string `msgpack:"i" json:"id"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Slots is how many calls the server runs concurrently.
	Slots int `msgpack:"s" json:"slots"`
	// Running and Queued are as reported by the server and may lag.
	Running int `msgpack:"r" json:"running"`
	Queued  int `msgpack:"q" json:"queued"`
	// RequestsPerSecond limits the requests from all instances together; nil means no
	// limit.
	RequestsPerSecond *float64 `msgpack:"l,omitempty" json:"requests_per_second,omitempty"`
	// Version and Adapters are the model version and adapters that the engine has
	// loaded.
	Version  string   `msgpack:"v,omitempty" json:"version,omitempty"`
	Adapters []string `msgpack:"d,omitempty" json:"adapters,omitempty"`
	// Cached are prefix hashes from the server's cache events, which may be incomplete.
	Cached []uint64 `msgpack:"c,omitempty" json:"cached,omitempty"`
	// Evicted are prefix hashes that the server no longer caches.
	Evicted []uint64 `msgpack:"e,omitempty" json:"evicted,omitempty"`
}

// Progress is an entry's count of a server's output since its last report.
type Progress struct {
	Server string `msgpack:"s"`
	Tokens int    `msgpack:"t"`
	// Busy is the generating time, summed over the entry's streams from the server.
	Busy time.Duration `msgpack:"b"`
}

// RunningCall is a call that an entry reports as running on a server.
type RunningCall struct {
	Ticket Ticket `msgpack:"t"`
	Server string `msgpack:"s"`
}

// Policy is the part of the configuration that a Pool follows.
type Policy struct {
	Classes   map[string]bundle.Class
	Customers map[string]bundle.Customer
	Retired   map[string]uint64
}
