package counts

import (
	"math"
	"slices"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Bounds of a stream.
const (
	// mostRows bounds the rows of one message: 256 of 9 bytes are told in 0.1 ms and
	// take 2 ms of a link of 10 Mbit/s. Where more have changed, the next messages go
	// on behind the last one told, so that each row has its turn.
	mostRows = 256
	// MostUses bounds the uses of one message, for the same reason.
	MostUses = 512
	// mostUnheard is how many messages may be unconfirmed before a new stream begins.
	// Confirmations come with the other's messages, one for each.
	mostUnheard = 10
	// spareNames is how many names of servers that are gone a stream may have beside
	// those that are there, before a new one begins; in large fleets a part of those that
	// are there, since more of them come and go, and a new stream tells of all.
	spareNames      = 128
	spareNamesShare = 0.25
	// paceChange is the change of a pace, as a part of it, that is told.
	paceChange = 1.0 / 32
)

// View is what is to be told: servers under slots that stay while they are there.
type View interface {
	// Slots is the number of slots; some may be empty.
	Slots() int
	// Row returns the ID of a slot's server, "" for an empty one, and its counts.
	Row(slot int) (id string, row Row)
	// Limit returns what the slot's server said last of its request rate; Since is zero
	// when there is nothing to tell.
	Limit(slot int) ratelimit.Announced
	// Version returns another number whenever Row or Limit return something else than
	// before, so that a slot in which nothing has happened costs next to nothing.
	Version(slot int) uint64
	// Changes has the slots for which Version has changed.
	Changes() *ChangeLog
}

// told is what the receiver has of one slot.
type told struct {
	id string
	// number is the server's in the stream; numbered: it has one.
	number   uint32
	numbered bool
	row      Row
	// version is that of the slot when it was last looked at.
	version uint64
	// limitSince is that of the limit told last.
	limitSince time.Time
}

// Sender is the sending end of streams to one receiver. The zero value is ready.
// Not safe for concurrent use.
type Sender struct {
	at      Position
	heard   uint32
	told    []told
	numbers map[string]uint32
	// looked is the number of the last change that was looked at.
	looked uint64
	// unseen is how many slots are left to look at before that holds, cursor the next
	// of them.
	unseen, cursor int
	// boundaries is the version of those told.
	boundaries uint64
	named      []string
	kind       Kind
}

// Heard takes the receiver's word on what it has.
func (s *Sender) Heard(p Position) {
	if p.Stream != s.at.Stream {
		return
	}
	s.heard = max(s.heard, p.Sequence)
	if p.Lost {
		s.begin()
	}
}

// unknown is the number of a change that no log keeps: all slots are to be looked at.
const unknown = math.MaxUint64

// begin makes the next message the first one of a new stream.
func (s *Sender) begin() {
	s.at = Position{Stream: s.at.Stream + 1}
	s.heard, s.looked, s.unseen, s.cursor, s.boundaries = 0, unknown, 0, 0, 0
	s.told = s.told[:0]
	s.numbers = map[string]uint32{}
}

// Content is what a message tells beside rows.
type Content struct {
	// Kind decides what the rows are; another one than before begins a new stream.
	Kind  Kind
	Uses  []Use
	Rates []Rates
	// Boundaries are told when Version is not the one told last; 0 stands for none.
	Boundaries []Boundary
	Version    uint64
	// Now is when the message is made.
	Now time.Time
}

// Next returns the next message, with its place in the stream, rows and content. The
// first stream has the number behind first, which must be another one for each start
// of the sending instance: it must not go on in a stream of its former life.
func (s *Sender) Next(v View, c Content, first uint32) Message {
	var m Message
	switch {
	case s.numbers == nil:
		s.at.Stream = first
		s.begin()
	case c.Kind != s.kind, s.at.Sequence-s.heard >= mostUnheard, len(s.numbers) > mostNames(v.Slots()):
		s.begin()
	}
	s.kind = c.Kind
	s.at.Sequence++
	m.At, m.Kind = s.at, c.Kind
	s.named = nil
	m.Rows, m.Limits = s.rows(v, c.Now)
	for _, u := range c.Uses[:min(len(c.Uses), MostUses)] {
		m.Uses = appendUse(m.Uses, s.number(u.Server), u.Part)
	}
	if c.Version != s.boundaries {
		s.boundaries = c.Version
		m.Boundaries = s.wireBoundaries(c.Boundaries)
	}
	m.Names, m.Rates = s.named, c.Rates
	return m
}

// mostNames is how many servers a stream of a view with so many slots may name.
func mostNames(slots int) int {
	return slots + max(spareNames, int(spareNamesShare*float64(slots)))
}

// rows packs the rows and limits that have changed, beginning behind the last one told.
func (s *Sender) rows(v View, now time.Time) (rows, limits []byte) {
	n := v.Slots()
	if extra := n - len(s.told); extra > 0 {
		s.told = append(s.told, make([]told, extra)...)
	}
	changes := v.Changes()
	changed, kept := changes.After(s.looked)
	if s.unseen == 0 && !kept {
		s.unseen, s.looked = n, changes.End()
	}
	p := packer{sender: s, view: v, now: now, left: mostRows}
	for s.unseen > 0 && p.left > 0 {
		p.slot(s.cursor)
		s.cursor = (s.cursor + 1) % n
		s.unseen--
	}
	if s.unseen > 0 {
		return p.rows, p.limits
	}
	for _, slot := range changed {
		if p.left == 0 {
			break
		}
		p.slot(int(slot))
		s.looked++
	}
	return p.rows, p.limits
}

// packer packs what has changed into one message.
type packer struct {
	sender       *Sender
	view         View
	now          time.Time
	rows, limits []byte
	// left is how many rows and limits have room.
	left int
}

// slot packs what has changed in a slot since it was last looked at.
func (p *packer) slot(slot int) {
	t := &p.sender.told[slot]
	version := p.view.Version(slot)
	if version == t.version {
		return
	}
	t.version = version
	told := p.sender.row(&p.rows, p.view, slot, t) + p.sender.limit(&p.limits, p.view.Limit(slot), t, p.now)
	p.left -= min(p.left, told)
}

// limit packs what a slot's server said last, if that was not told, and returns the number
// of limits.
func (s *Sender) limit(out *[]byte, l ratelimit.Announced, t *told, now time.Time) int {
	if t.id == "" || l.Since.IsZero() || l.Since.Equal(t.limitSince) {
		return 0
	}
	t.limitSince = l.Since
	s.name(t)
	*out = appendLimit(*out, t.number, l.Limit, now.Sub(l.Since))
	return 1
}

// row packs what has changed in a slot and returns the number of rows.
func (s *Sender) row(out *[]byte, v View, slot int, t *told) (rows int) {
	id, row := v.Row(slot)
	row = row.rounded()
	if t.id != id {
		if t.row.Load != (Load{}) { // another server had the slot
			*out = appendRow(*out, t.number, Row{}, false)
			rows++
		}
		*t = told{id: id, version: t.version}
	}
	withPace := row.Pace.differs(t.row.Pace)
	if id == "" || row.Load == t.row.Load && !withPace {
		return rows
	}
	s.name(t)
	*out = appendRow(*out, t.number, row, withPace)
	t.row.Load = row.Load
	if withPace {
		t.row.Pace = row.Pace
	}
	return rows + 1
}

// differs reports whether a pace is worth telling to one who has the other.
func (p Pace) differs(had Pace) bool {
	if p.Instances == 0 || had.Instances == 0 {
		return p != had
	}
	mean, before := float64(p.Microseconds)/float64(p.Instances), float64(had.Microseconds)/float64(had.Instances)
	return math.Abs(mean-before) > paceChange*before
}

// name gives a slot's server its number in the stream.
func (s *Sender) name(t *told) {
	if !t.numbered {
		t.number, t.numbered = s.number(t.id), true
	}
}

// number returns a server's number in the stream, a new one at first.
func (s *Sender) number(id string) uint32 {
	n, known := s.numbers[id]
	if !known {
		n = uint32(len(s.numbers))
		s.numbers[id] = n
		s.named = append(s.named, id)
	}
	return n
}

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
