// Package counts transfers load counts between two instances as incremental changes.
//
// Each of hundreds of instances has to know how many calls all of them have placed at
// hundreds of engines. Full tables that name each engine took 4.3 KB and 0.35 ms of
// processor time a message at 117 engines: an instance that answered 240 of them a second
// had its link saturated and spent half of its processor time on them. Here an engine is
// named once in a stream and is a number from then on, only changed rows are sent, and a
// message holds a bounded number of them.
//
// The messages from one instance to another form a stream: they are numbered, and each
// acknowledges the last message received of the opposite stream. A receiver that missed a
// message reports so, and the sender begins a new stream with all rows. A loss, a restart
// or a change of the receiver thus costs one additional message.
//
// The package does no I/O: the counts to send are passed in, and messages are returned.
package counts

import (
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Load is the work in progress at one server.
type Load struct {
	// Running is the number of calls.
	Running int
	// PendingPromptTokens are the prompt tokens of calls without any output yet.
	PendingPromptTokens int
	// KVTokens are the tokens that running calls may occupy in the KV cache.
	KVTokens int
	// LatencySensitive is the number of streams with a short target for the time between
	// events.
	LatencySensitive int
	// LongPrompts is the number of calls with long prompts.
	LongPrompts int
}

// Add adds another load.
func (l *Load) Add(x Load) {
	l.Running += x.Running
	l.PendingPromptTokens += x.PendingPromptTokens
	l.KVTokens += x.KVTokens
	l.LatencySensitive += x.LatencySensitive
	l.LongPrompts += x.LongPrompts
}

// Sub subtracts another load.
func (l *Load) Sub(x Load) {
	l.Running -= x.Running
	l.PendingPromptTokens -= x.PendingPromptTokens
	l.KVTokens -= x.KVTokens
	l.LatencySensitive -= x.LatencySensitive
	l.LongPrompts -= x.LongPrompts
}

// EventInterval aggregates the time between two events of a stream at one engine: the sum
// of the values observed by a number of instances.
type EventInterval struct {
	Microseconds uint32
	Instances    uint32
}

// Add adds the values observed by other instances.
func (e *EventInterval) Add(x EventInterval) {
	e.Microseconds += x.Microseconds
	e.Instances += x.Instances
}

// Row holds the counts of one server.
type Row struct {
	Load          Load
	EventInterval EventInterval
}

// Add adds another row.
func (r *Row) Add(x Row) {
	r.Load.Add(x.Load)
	r.EventInterval.Add(x.EventInterval)
}

// Sub subtracts a row that was added.
func (r *Row) Sub(x Row) {
	r.Load.Sub(x.Load)
	r.EventInterval.Microseconds -= x.EventInterval.Microseconds
	r.EventInterval.Instances -= x.EventInterval.Instances
}

// Limit is the request rate limit that a server announced, and how long ago.
type Limit struct {
	Server string
	ratelimit.Limit
	Age time.Duration
}

// PrefixKey is the hash of the ID of a prompt prefix that several calls share.
type PrefixKey uint32

// Use records that a call with a shared prompt prefix was sent to a server.
type Use struct {
	Server string
	Prefix PrefixKey
}

// ArrivalRates is the arriving work of a pool.
type ArrivalRates struct {
	Pool string `msgpack:"p"`
	// LongTokens and ShortTokens are the prompt tokens per second to be processed on the
	// long and on the short side of the pool.
	LongTokens  float32 `msgpack:"l"`
	ShortTokens float32 `msgpack:"s"`
	// PrefillSpeedSum is the sum of the prefill speeds, in prompt tokens per second, that
	// were observed in PrefillSpeedCalls calls.
	PrefillSpeedSum   float32 `msgpack:"r"`
	PrefillSpeedCalls float32 `msgpack:"c"`
	CallsPerSecond    float32 `msgpack:"n,omitempty"`
}

// Boundary divides a pool's engines into a long side, for long prompts, and a short side.
type Boundary struct {
	Pool string
	// Share is the fraction of the engines on the long side; Engines are these.
	Share   float64
	Engines []string
}

// wireBoundary is a Boundary that refers to engines by their numbers in the stream.
type wireBoundary struct {
	Pool    string   `msgpack:"p"`
	Share   float64  `msgpack:"s"`
	Engines []uint32 `msgpack:"e"`
}

// Position identifies a message within a stream.
type Position struct {
	Stream   uint32 `msgpack:"s"`
	Sequence uint32 `msgpack:"q"`
	// Lost is set when the receiver has missed a message and waits for a new stream.
	Lost bool `msgpack:"l,omitempty"`
}

// MessageKind is the role of a message in the tree of collectors.
type MessageKind uint8

// Kinds of messages.
const (
	// MemberReport holds the counts of an instance, and of those that report to it, for its
	// collector.
	MemberReport MessageKind = iota
	// CollectorReport holds the same for another collector.
	CollectorReport
	// MemberReply holds, for a member, the counts of all instances but those that its own
	// report covers.
	MemberReply
)

// Message is one message of a stream.
type Message struct {
	// Name is the sender's.
	Name string      `msgpack:"n"`
	Kind MessageKind `msgpack:"k"`
	// Level is the sender's level in the tree of collectors, see package collect: 0 for a
	// member, 1 for the collector of a group, 2 for a collector of a zone and for every
	// instance of a full mesh.
	Level uint8 `msgpack:"l,omitempty"`
	// Position is this message's; Acknowledged is the sender's position in the stream of
	// the opposite direction.
	Position     Position `msgpack:"a"`
	Acknowledged Position `msgpack:"h"`
	// AgeMillis is the average age of the counts in the stream.
	AgeMillis uint16 `msgpack:"g,omitempty"`
	// NewServers are the IDs that get the next numbers of the stream.
	NewServers []string `msgpack:"i,omitempty"`
	// Rows and Uses are in the encoding of pack.go.
	Rows []byte `msgpack:"r,omitempty"`
	Uses []byte `msgpack:"u,omitempty"`
	// Rates are the arrival rates at the instances whose counts the stream carries.
	Rates []ArrivalRates `msgpack:"t,omitempty"`
	// DecidesBoundaries is set when the sender decides on the boundaries.
	DecidesBoundaries bool `msgpack:"d,omitempty"`
	// Boundaries are those of the sender that have changed.
	Boundaries []wireBoundary `msgpack:"b,omitempty"`
	// Limits are in the encoding of pack.go.
	Limits []byte `msgpack:"m,omitempty"`
	// Brittle holds what the sender knows of pools whose servers are or were brittle.
	Brittle []Brittle `msgpack:"e,omitempty"`
	// Starting is set while the sender may not know yet which pools are brittle.
	Starting bool `msgpack:"f,omitempty"`
	// Instances is the number of instances whose counts the stream carries.
	Instances uint16 `msgpack:"j,omitempty"`
}

// Brittle is the latest announcement of a pool's servers that they are brittle, or no longer.
type Brittle struct {
	Pool string `msgpack:"p"`
	// Steps is the number of rejections per second that a server bears, in units of
	// 1/ratelimit.StepsPerUnit, plus one; 0 if the servers are not brittle.
	Steps uint32 `msgpack:"s,omitempty"`
	// AgeMillis is how long ago a server announced it, an hour at most.
	AgeMillis uint32 `msgpack:"a,omitempty"`
	// Room is the least number of calls that one of the servers ran while it rejected a call, 0
	// for none, and RoomAgeMillis how long ago that was, an hour at most.
	Room          uint32 `msgpack:"r,omitempty"`
	RoomAgeMillis uint32 `msgpack:"o,omitempty"`
	// Proven is the highest number of calls that one of the servers has run without a rejection, 0
	// for none.
	Proven uint32 `msgpack:"v,omitempty"`
}

// NewBrittle returns an announcement of the given age for a message.
func NewBrittle(pool string, l ratelimit.Limit, age time.Duration) Brittle {
	return Brittle{Pool: pool, Steps: uint32(l.Steps()), AgeMillis: uint32(min(max(0, age), maxLimitAge).Milliseconds())}
}

// Limit returns the announced rejections per second.
func (b *Brittle) Limit() ratelimit.Limit { return ratelimit.LimitOfSteps(uint64(b.Steps)) }

// Age returns how long ago a server announced it.
func (b *Brittle) Age() time.Duration { return time.Duration(b.AgeMillis) * time.Millisecond }

// SetRoom adds the room that a rejection of the given age has shown.
func (b *Brittle) SetRoom(room int, age time.Duration) {
	b.Room, b.RoomAgeMillis = uint32(max(0, room)), uint32(min(max(0, age), maxLimitAge).Milliseconds())
}

// SetProven adds the highest number of calls that a server has run.
func (b *Brittle) SetProven(calls int) { b.Proven = uint32(max(0, calls)) }

// ProvenCalls returns the highest number of calls that a server has run, 0 for none.
func (b *Brittle) ProvenCalls() int { return int(min(b.Proven, maxCount)) }

// LatestRoom returns the room that a rejection has shown, 0 for none, and its age.
func (b *Brittle) LatestRoom() (room int, age time.Duration) {
	return int(min(b.Room, maxCount)), time.Duration(b.RoomAgeMillis) * time.Millisecond
}
