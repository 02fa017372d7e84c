package control

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/daemon/replica"
)

// Frame methods of this package.
const (
	methodAnnounce = "control.announce"
	methodAlive    = "control.alive"
	methodNewest   = "control.newest"
	methodWatch    = "control.watch"
)

type announceReply struct {
	replica.Redirect `msgpack:",inline"`
}

// newestReply names the newest start of a server.
type newestReply struct {
	replica.Redirect `msgpack:",inline"`
	ID               string `msgpack:"i"`
}

// watchRequest tells what the asking instance has.
type watchRequest struct {
	Declaration uint64 `msgpack:"d"`
	// Term and Version are those of the last listing taken.
	Term    uint64 `msgpack:"t"`
	Version uint64 `msgpack:"v"`
	// Hold is how long the leader may wait for something newer.
	Hold time.Duration `msgpack:"h"`
	// Stale accepts what a replica without a leader knows.
	Stale bool `msgpack:"s,omitempty"`
	// Brief asks for Members and InForce only.
	Brief bool `msgpack:"b,omitempty"`
	// Differences: the asking instance takes listings that are differences.
	Differences bool `msgpack:"f,omitempty"`
	// AcrossTerms: the asking instance takes differences across a change of the leader.
	AcrossTerms bool `msgpack:"a,omitempty"`
	// Relays: the asking instance passes the answer on; only the leader gives it.
	Relays bool `msgpack:"r,omitempty"`
	// Insists: no replica has answered the last round, so that a leader must.
	Insists bool `msgpack:"i,omitempty"`
}

// at is the point that the asking instance stands at.
func (r *watchRequest) at() fleet.Position { return fleet.Position{Term: r.Term, Version: r.Version} }

// sharedListing is a listing that is encoded once for all who get it.
type sharedListing struct {
	*fleet.Listing
	packed msgpack.RawMessage
}

// EncodeMsgpack writes what was encoded before.
func (l *sharedListing) EncodeMsgpack(e *msgpack.Encoder) error {
	if l.packed == nil {
		return e.Encode(l.Listing)
	}
	return e.Encode(l.packed)
}

// DecodeMsgpack reads a listing.
func (l *sharedListing) DecodeMsgpack(d *msgpack.Decoder) error {
	l.Listing = &fleet.Listing{}
	return d.Decode(l.Listing)
}

type watchReply struct {
	replica.Redirect `msgpack:",inline"`
	// Declaration is an encoded and compressed routing.Declaration, empty when
	// the asking instance has it.
	Declaration []byte `msgpack:"d,omitempty"`
	// Listing is nil when the asking instance has it.
	Listing *sharedListing `msgpack:"f,omitempty"`
	// Members are the replicas' peer addresses.
	Members []string `msgpack:"m"`
	// InForce is the version of the declaration in force.
	InForce uint64 `msgpack:"v,omitempty"`
	// Holds are the requests that are held, for an instance without a declaration.
	Holds []quarantine.Decision `msgpack:"q,omitempty"`
}
