package control

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

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

// encodedListing is a listing whose encodings are shared by several replies. It is encoded with
// the first of them, while no lock of the service is held.
type encodedListing struct {
	*fleet.Listing
	encode, compress    sync.Once
	encoded, compressed []byte
	encodeErr           error
}

// EncodeMsgpack writes the shared encoding.
func (l *encodedListing) EncodeMsgpack(e *msgpack.Encoder) error {
	data, err := l.plain()
	if err != nil {
		return err
	}
	return e.Encode(msgpack.RawMessage(data))
}

func (l *encodedListing) plain() ([]byte, error) {
	l.encode.Do(func() { l.encoded, l.encodeErr = msgpack.Marshal(l.Listing) })
	return l.encoded, l.encodeErr
}

// minCompressedBytes is the size from which listings are compressed. Smaller ones fit into a few
// packets.
const minCompressedBytes = 4 << 10

// pack returns the compressed encoding, nil for a listing that is small or can't be encoded. The
// latter is reported when the reply is encoded.
func (l *encodedListing) pack() []byte {
	l.compress.Do(func() {
		data, err := l.plain()
		if err != nil || len(data) < minCompressedBytes {
			return
		}
		if l.compressed, err = compress(data); err != nil {
			log.WithError(err).WithField("step", "compress listing").Error("the listing is sent uncompressed")
		}
	})
	return l.compressed
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
	// Packed is the compressed encoding of the listing, which is then absent.
	Packed []byte `msgpack:"z,omitempty"`
	// Members are the replicas' peer addresses.
	Members []string `msgpack:"m"`
	// InForce is the version of the declaration in force.
	InForce uint64 `msgpack:"v,omitempty"`
	// QuarantineDecisions are the quarantine decisions in force, for an instance without a
	// declaration.
	QuarantineDecisions []quarantine.Decision `msgpack:"q,omitempty"`
}

// pack compresses the listing of a reply if the requesting instance accepts that.
func (r *watchReply) pack(req *watchRequest) {
	if !req.Compressed || r.Listing == nil {
		return
	}
	if r.Packed = r.Listing.pack(); r.Packed != nil {
		r.Listing = nil
	}
}

// unpack restores the listing of a reply.
func (r *watchReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	data, err := decompress(r.Packed)
	if err != nil {
		return err
	}
	r.Listing, r.Packed = &encodedListing{Listing: &fleet.Listing{}}, nil
	return eris.Wrap(wire.Decode(data, r.Listing.Listing), "decode listing")
}
