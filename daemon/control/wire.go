package control

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/wire"
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
	// Compressed: the requesting instance accepts compressed listings.
	Compressed bool `msgpack:"z,omitempty"`
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
	// compressed: the requesting instances accept a compressed encoding.
	compressed bool
	once       sync.Once
	encoded    msgpack.RawMessage
	err        error
}

// EncodeMsgpack writes the shared encoding.
func (l *encodedListing) EncodeMsgpack(e *msgpack.Encoder) error {
	l.once.Do(func() { l.encoded, l.err = l.encode() })
	if l.err != nil {
		return l.err
	}
	return e.Encode(l.encoded)
}

// minCompressedBytes is the size from which listings are compressed. Smaller ones fit into a few
// packets.
const minCompressedBytes = 4 << 10

// encode returns the encoding of a listing: a map, or binary data if it is compressed.
func (l *encodedListing) encode() ([]byte, error) {
	data, err := msgpack.Marshal(l.Listing)
	if err != nil || !l.compressed || len(data) < minCompressedBytes {
		return data, err
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(compressed)
}

// DecodeMsgpack reads a listing, compressed or not.
func (l *encodedListing) DecodeMsgpack(d *msgpack.Decoder) error {
	l.Listing = &fleet.Listing{}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsBin(code) {
		return d.Decode(l.Listing)
	}
	compressed, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	data, err := decompress(compressed)
	if err != nil {
		return err
	}
	return eris.Wrap(wire.Decode(data, l.Listing), "decode compressed listing")
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
