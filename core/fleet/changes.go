package fleet

// maxChanges bounds the change log, at 40 bytes an entry; a reader that is further behind
// gets a full listing. It covers the time between two rounds of a watch in which all servers
// of the largest supported deployment are replaced and the former ones become overdue.
const maxChanges = 2 * maxServers

// maxSpans bounds the leader terms of which differences are known: a group that
// changes its leader with each election timeout has ten in five seconds.
const maxSpans = 16

// Position identifies a state of the fleet: the leader's term, and the number of changes
// within that term. Positions of term 0 are revisions of the replicated log.
type Position struct{ Term, Version uint64 }

// isAfter reports whether p is later than q.
func (p Position) isAfter(q Position) bool {
	return p.Term > q.Term || p.Term == q.Term && p.Version > q.Version
}

// ChangeLog records which server changed at which position, so that a reader at an older
// position is sent only the difference. While a release replaces every engine within seconds
// and hundreds of instances watch, full listings of 120 engines, 16 KB each, used up the
// leader's processor time. The cost of a difference does not grow with the number of
// servers. The zero value is at version 0 of term 0. Not safe for concurrent use.
type ChangeLog struct {
	// previous holds the terms before the current one of which differences are known.
	previous []span
	current  span
	entries  []change
}

// span is the part of a term that was followed without a gap.
type span struct{ term, from, to uint64 }

func (s span) contains(p Position) bool {
	return s.term == p.Term && s.from <= p.Version && p.Version <= s.to
}

// changeKind is the way in which a server changed.
type changeKind uint8

const (
	kindChanged changeKind = iota
	kindRemoved
	kindUnlisted
)

type change struct {
	id       string
	position Position
	kind     changeKind
}

// Position returns the current position.
func (c *ChangeLog) Position() Position { return Position{c.current.term, c.current.to} }

// Reset discards all entries and starts at a position; differences are known from there on.
func (c *ChangeLog) Reset(p Position) { *c = ChangeLog{current: span{p.Term, p.Version, p.Version}} }

// Advance moves to a later position, to which the following entries belong. The entries
// recorded at the first position of a new term are the difference between the two leaders.
func (c *ChangeLog) Advance(p Position) {
	if p.Term == c.current.term {
		c.current.to = p.Version
		return
	}
	c.previous = append(c.previous, c.current)
	c.previous = append([]span(nil), c.previous[max(0, len(c.previous)-maxSpans):]...)
	c.current = span{p.Term, p.Version, p.Version}
}

// RecordChanged records that a server was added or modified at the current position.
func (c *ChangeLog) RecordChanged(id string) { c.record(id, kindChanged) }

// RecordRemoved records that a server was removed for good at the current position.
func (c *ChangeLog) RecordRemoved(id string) { c.record(id, kindRemoved) }

// RecordUnlisted records that the leader of a new term does not list a server yet.
func (c *ChangeLog) RecordUnlisted(id string) { c.record(id, kindUnlisted) }

func (c *ChangeLog) record(id string, k changeKind) {
	c.entries = append(c.entries, change{id: id, position: c.Position(), kind: k})
	if len(c.entries) <= 2*maxChanges {
		return
	}
	extra := len(c.entries) - maxChanges
	c.discardBefore(c.entries[extra-1].position)
	c.entries = append([]change(nil), c.entries[extra:]...)
}

// discardBefore makes the differences since positions before p unknown.
func (c *ChangeLog) discardBefore(p Position) {
	for len(c.previous) > 0 && c.previous[0].term < p.Term {
		c.previous = c.previous[1:]
	}
	oldest := &c.current
	if len(c.previous) > 0 {
		oldest = &c.previous[0]
	}
	if oldest.term == p.Term {
		oldest.from = max(oldest.from, p.Version)
	}
}

// covers reports whether the difference since a position is known.
func (c *ChangeLog) covers(p Position) bool {
	for _, s := range c.previous {
		if s.contains(p) {
			return true
		}
	}
	return c.current.contains(p)
}

// Since returns what has changed after a position; ok is false when that is not known.
func (c *ChangeLog) Since(p Position) (d Delta, ok bool) {
	if !c.covers(p) {
		return Delta{}, false
	}
	seen := map[string]bool{}
	for i := len(c.entries) - 1; i >= 0 && c.entries[i].position.isAfter(p); i-- {
		e := c.entries[i]
		if seen[e.id] {
			continue
		}
		seen[e.id] = true
		switch e.kind {
		case kindChanged:
			d.Changed = append(d.Changed, e.id)
		case kindRemoved:
			d.Removed = append(d.Removed, e.id)
		case kindUnlisted:
			d.Unlisted = append(d.Unlisted, e.id)
		}
	}
	return d, true
}

// Delta holds the IDs of the servers that differ between two positions.
type Delta struct {
	// Changed servers were added or modified; Removed ones are gone for good; Unlisted
	// ones are not listed yet by a later leader.
	Changed, Removed, Unlisted []string
}
