package control

import (
	"time"

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
}

// at is the point that the asking instance stands at.
func (r *watchRequest) at() fleet.Point { return fleet.Point{Term: r.Term, Version: r.Version} }

type watchReply struct {
	replica.Redirect `msgpack:",inline"`
	// Declaration is an encoded and compressed routing.Declaration, empty when
	// the asking instance has it.
	Declaration []byte `msgpack:"d,omitempty"`
	// Listing is nil when the asking instance has it.
	Listing *fleet.Listing `msgpack:"f,omitempty"`
	// Members are the replicas' peer addresses.
	Members []string `msgpack:"m"`
	// InForce is the version of the declaration in force.
	InForce uint64 `msgpack:"v,omitempty"`
	// Holds are the requests that are held, for an instance without a declaration.
	Holds []quarantine.Ruling `msgpack:"q,omitempty"`
}
