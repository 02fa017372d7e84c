package counts

import (
	"math"
	"slices"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Bounds of a stream.
const (
	// maxRows bounds the rows of one message: 256 rows of 9 bytes take 0.1 ms to encode and
	// 2 ms of a link of 10 Mbit/s. If more have changed, the next messages continue after
	// the last row sent, so that every row is sent in turn.
	maxRows = 256
	// MaxUses bounds the uses of one message, for the same reason.
	MaxUses = 512
	// maxUnacknowledged is the number of unacknowledged messages after which a new stream
	// begins. Acknowledgements come with the messages in the other direction, one for each.
	maxUnacknowledged = 10
	// maxGoneServers is how many servers that no longer exist may be numbered in a stream,
	// in addition to those that do, before a new stream begins. In large fleets it is a
	// fraction of the existing ones, since more servers come and go there, and a new stream
	// sends all rows.
	maxGoneServers = 128
	maxGoneShare   = 0.25
	// minIntervalChange is the relative change of an event interval from which on it is
	// sent.
	minIntervalChange = 1.0 / 32
)

// View is the source of the counts to send: servers in slots, which they keep while they
// exist.
type View interface {
	// Slots returns the number of slots; some may be empty.
	Slots() int
	// Row returns the ID of a slot's server, "" for an empty slot, and its counts.
	Row(slot int) (id string, row Row)
	// Limit returns the last announcement of the slot's server on its request rate; Since
	// is zero when there is none to send.
	Limit(slot int) ratelimit.Announced
	// Version returns another number whenever Row or Limit return something else than
	// before, so that an unchanged slot costs next to nothing.
	Version(slot int) uint64
	// Changes returns the log of the slots for which Version has changed.
	Changes() *ChangeLog
}

// sentSlot is the state of one slot as sent to the receiver.
type sentSlot struct {
	id string
	// number is the server's in the stream, if numbered is set.
	number   uint32
	numbered bool
	row      Row
	// version is the slot's at the last look at it.
	version uint64
	// limitSince is the Since of the limit sent last.
	limitSince time.Time
}

// Sender is the sending end of the streams to one receiver. The zero value is ready for
// use. Not safe for concurrent use.
type Sender struct {
	position     Position
	acknowledged uint32
	sent         []sentSlot
	numbers      map[string]uint32
	// lastChange is the number of the last change in the view's log that was looked at.
	lastChange uint64
	// unscanned is the number of slots left to scan before lastChange is valid, cursor the
	// next of them.
	unscanned, cursor int
	// boundariesVersion is the version of the boundaries sent last.
	boundariesVersion uint64
	newServers        []string
	kind              MessageKind
}

// Acknowledge processes the receiver's position, and begins a new stream if it has lost
// this one.
func (s *Sender) Acknowledge(p Position) {
	if p.Stream != s.position.Stream {
		return
	}
	s.acknowledged = max(s.acknowledged, p.Sequence)
	if p.Lost {
		s.beginStream()
	}
}

// unknownChange is a change number that no log holds: all slots have to be scanned.
const unknownChange = math.MaxUint64

// beginStream makes the next message the first one of a new stream.
func (s *Sender) beginStream() {
	s.position = Position{Stream: s.position.Stream + 1}
	s.acknowledged, s.lastChange, s.unscanned, s.cursor, s.boundariesVersion = 0, unknownChange, 0, 0, 0
	s.sent = s.sent[:0]
	s.numbers = map[string]uint32{}
}

// Content is what a message carries in addition to rows and limits.
type Content struct {
	// Kind determines which counts the rows hold; a change begins a new stream.
	Kind  MessageKind
	Uses  []Use
	Rates []ArrivalRates
	// Boundaries are sent when BoundariesVersion is not the one sent last; 0 means none.
	Boundaries        []Boundary
	BoundariesVersion uint64
	// Now is the time of the message.
	Now time.Time
}

// Next returns the next message, with its position, rows and content. The first stream gets
// the number after first, which must differ for each start of the sending instance so that
// it does not continue a stream of the former process.
func (s *Sender) Next(v View, c Content, first uint32) Message {
	var m Message
	switch {
	case s.numbers == nil:
		s.position.Stream = first
		s.beginStream()
	case c.Kind != s.kind, s.position.Sequence-s.acknowledged >= maxUnacknowledged, len(s.numbers) > maxNumbered(v.Slots()):
		s.beginStream()
	}
	s.kind = c.Kind
	s.position.Sequence++
	m.Position, m.Kind = s.position, c.Kind
	s.newServers = nil
	m.Rows, m.Limits = s.rows(v, c.Now)
	for _, u := range c.Uses[:min(len(c.Uses), MaxUses)] {
		m.Uses = appendUse(m.Uses, s.number(u.Server), u.Prefix)
	}
	if c.BoundariesVersion != s.boundariesVersion {
		s.boundariesVersion = c.BoundariesVersion
		m.Boundaries = s.wireBoundaries(c.Boundaries)
	}
	m.NewServers, m.Rates = s.newServers, c.Rates
	return m
}

// maxNumbered returns the maximum number of servers numbered in a stream, for a view with
// the given number of slots.
func maxNumbered(slots int) int {
	return slots + max(maxGoneServers, int(maxGoneShare*float64(slots)))
}

// rows encodes the changed rows and limits, starting after the last one sent.
func (s *Sender) rows(v View, now time.Time) (rows, limits []byte) {
	n := v.Slots()
	if extra := n - len(s.sent); extra > 0 {
		s.sent = append(s.sent, make([]sentSlot, extra)...)
	}
	changes := v.Changes()
	changed, kept := changes.After(s.lastChange)
	if s.unscanned == 0 && !kept {
		s.unscanned, s.lastChange = n, changes.Last()
	}
	e := encoder{sender: s, view: v, now: now, remaining: maxRows}
	for s.unscanned > 0 && e.remaining > 0 {
		e.slot(s.cursor)
		s.cursor = (s.cursor + 1) % n
		s.unscanned--
	}
	if s.unscanned > 0 {
		return e.rows, e.limits
	}
	for _, slot := range changed {
		if e.remaining == 0 {
			break
		}
		e.slot(int(slot))
		s.lastChange++
	}
	return e.rows, e.limits
}

// encoder encodes the changes for one message.
type encoder struct {
	sender       *Sender
	view         View
	now          time.Time
	rows, limits []byte
	// remaining is the number of rows and limits that still fit.
	remaining int
}

// slot encodes what has changed in a slot since the last look at it.
func (e *encoder) slot(slot int) {
	t := &e.sender.sent[slot]
	version := e.view.Version(slot)
	if version == t.version {
		return
	}
	t.version = version
	sent := e.sender.row(&e.rows, e.view, slot, t) + e.sender.limit(&e.limits, e.view.Limit(slot), t, e.now)
	e.remaining -= min(e.remaining, sent)
}

// limit encodes the last announcement of a slot's server if that has not been sent, and
// returns the number of limits.
func (s *Sender) limit(out *[]byte, l ratelimit.Announced, t *sentSlot, now time.Time) int {
	if t.id == "" || l.Since.IsZero() || l.Since.Equal(t.limitSince) {
		return 0
	}
	t.limitSince = l.Since
	s.assignNumber(t)
	*out = appendLimit(*out, t.number, l.Limit, now.Sub(l.Since))
	return 1
}

// row encodes what has changed in a slot and returns the number of rows.
func (s *Sender) row(out *[]byte, v View, slot int, t *sentSlot) (rows int) {
	id, row := v.Row(slot)
	row = row.rounded()
	if t.id != id {
		if t.row.Load != (Load{}) { // the slot belonged to another server
			*out = appendRow(*out, t.number, Row{}, false)
			rows++
		}
		*t = sentSlot{id: id, version: t.version}
	}
	withInterval := row.EventInterval.isWorthSending(t.row.EventInterval)
	if id == "" || row.Load == t.row.Load && !withInterval {
		return rows
	}
	s.assignNumber(t)
	*out = appendRow(*out, t.number, row, withInterval)
	t.row.Load = row.Load
	if withInterval {
		t.row.EventInterval = row.EventInterval
	}
	return rows + 1
}

// isWorthSending reports whether an interval differs enough from the one the receiver has.
func (e EventInterval) isWorthSending(sent EventInterval) bool {
	if e.Instances == 0 || sent.Instances == 0 {
		return e != sent
	}
	mean, before := float64(e.Microseconds)/float64(e.Instances), float64(sent.Microseconds)/float64(sent.Instances)
	return math.Abs(mean-before) > minIntervalChange*before
}

// assignNumber sets the number of a slot's server in the stream.
func (s *Sender) assignNumber(t *sentSlot) {
	if !t.numbered {
		t.number, t.numbered = s.number(t.id), true
	}
}

// number returns a server's number in the stream, and assigns one if it has none.
func (s *Sender) number(id string) uint32 {
	n, known := s.numbers[id]
	if !known {
		n = uint32(len(s.numbers))
		s.numbers[id] = n
		s.newServers = append(s.newServers, id)
	}
	return n
}

// wireBoundaries encodes the boundaries between the long and the short sides of pools, with
// engines by their numbers in the stream.
func (s *Sender) wireBoundaries(list []Boundary) []wireBoundary {
	out := make([]wireBoundary, 0, len(list))
	for _, b := range list {
		w := wireBoundary{Pool: b.Pool, Share: b.Share, Engines: make([]uint32, 0, len(b.Engines))}
		for _, id := range b.Engines {
			w.Engines = append(w.Engines, s.number(id))
		}
		slices.Sort(w.Engines)
		out = append(out, w)
	}
	return out
}
