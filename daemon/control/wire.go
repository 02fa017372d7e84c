package control

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/daemon/replica"
)

// Frame methods of this package.
const (
	methodAnnounce    = "control.announce"
	methodHeartbeats  = "control.alive"
	methodNewestStart = "control.newest"
	methodWatch       = "control.watch"
)

type announceReply struct {
	replica.Redirect `msgpack:",inline"`
}

// newestStartReply holds the ID of a server's newest start.
type newestStartReply struct {
	replica.Redirect `msgpack:",inline"`
	ID               string `msgpack:"i"`
}

// watchRequest asks for what the requesting instance lacks.
type watchRequest struct {
	// Declaration is the version that the instance has.
	Declaration uint64 `msgpack:"d"`
	// Term and Version are those of the last listing applied.
	Term    uint64 `msgpack:"t"`
	Version uint64 `msgpack:"v"`
	// Hold is how long the replica may hold the request open until there is a change.
	Hold time.Duration `msgpack:"h"`
	// Stale accepts the state of a replica without a leader.
	Stale bool `msgpack:"s,omitempty"`
	// Brief asks for Members and InForce only.
	Brief bool `msgpack:"b,omitempty"`
	// Deltas: the requesting instance accepts deltas. Only replicas of earlier versions read it.
	Deltas bool `msgpack:"f,omitempty"`
	// AcrossTerms: the requesting instance accepts deltas across a change of leader.
	AcrossTerms bool `msgpack:"a,omitempty"`
	// ForRelay: the requesting replica relays the reply; only the leader may answer.
	ForRelay bool `msgpack:"r,omitempty"`
	// LeaderRequired: the last request got no answer, so a leader answers whatever its number
	// of watchers.
	LeaderRequired bool `msgpack:"i,omitempty"`
}

// position returns the position of the last listing applied.
func (r *watchRequest) position() fleet.Position {
	return fleet.Position{Term: r.Term, Version: r.Version}
}

// encodedListing is a listing whose encoding is shared by several replies. It is encoded with
// the first of them, while no lock of the service is held.
type encodedListing struct {
	*fleet.Listing
	once    sync.Once
	encoded msgpack.RawMessage
	err     error
}

// EncodeMsgpack writes the shared encoding.
func (l *encodedListing) EncodeMsgpack(e *msgpack.Encoder) error {
	l.once.Do(func() {
		l.encoded, l.err = msgpack.Marshal(l.Listing)
	})
	if l.err != nil {
		return l.err
	}
	return e.Encode(l.encoded)
}

// DecodeMsgpack reads a listing.
func (l *encodedListing) DecodeMsgpack(d *msgpack.Decoder) error {
	l.Listing = &fleet.Listing{}
	return d.Decode(l.Listing)
}

type watchReply struct {
	replica.Redirect `msgpack:",inline"`
	// Declaration is an encoded and compressed routing.Declaration, empty if the
	// requesting instance has it.
	Declaration []byte `msgpack:"d,omitempty"`
	// Listing is nil if the requesting instance lacks nothing.
	Listing *encodedListing `msgpack:"f,omitempty"`
	// Members are the replicas' peer addresses.
	Members []string `msgpack:"m"`
	// InForce is the version of the declaration in force.
	InForce uint64 `msgpack:"v,omitempty"`
	// QuarantineDecisions are the quarantine decisions in force, for an instance without a
	// declaration.
	QuarantineDecisions []quarantine.Decision `msgpack:"q,omitempty"`
}
