package fleet

// keptChanges bounds the changes that are remembered, 40 bytes each; who is further behind
// gets everything. It covers the time between two rounds of a watch while all servers of the
// largest deployment aimed at are new, and as many that were lost become overdue.
const keptChanges = 2 * maxServers

// keptSpans bounds the leaders' terms of which differences are known: a group that
// changes its leader with each election timeout has ten in five seconds.
const keptSpans = 16

// Point is a moment of the fleet's history: leaders follow each other by their terms,
// and each counts its changes. Points of term 0 are revisions of the log.
type Point struct{ Term, Version uint64 }

// after reports whether p is later than q.
func (p Point) after(q Point) bool {
	return p.Term > q.Term || p.Term == q.Term && p.Version > q.Version
}

// Changes remembers what changed at which point, so that whoever stands at an older
// one is told the difference. It answers releases, in which every engine is
// replaced within seconds while hundreds of instances watch: whole listings of 120
// engines, 16 KB each, filled the leader's time. The cost of a difference does not
// grow with the servers. The zero value stands at version 0 of term 0. Not safe for
// concurrent use.
type Changes struct {
	// past are the terms before the present one of which differences are known.
	past    []span
	present span
	log     []change
}

// span is the part of a term that was followed without a gap.
type span struct{ term, from, to uint64 }

func (s span) contains(p Point) bool {
	return s.term == p.Term && s.from <= p.Version && p.Version <= s.to
}

// kind tells what has happened to a server.
type kind uint8

const (
	changed kind = iota
	removed
	unlisted
)

type change struct {
	id   string
	at   Point
	kind kind
}

// At returns the present point.
func (c *Changes) At() Point { return Point{c.present.term, c.present.to} }

// Restart forgets what was before a point: differences are known from there on.
func (c *Changes) Restart(p Point) { *c = Changes{present: span{p.Term, p.Version, p.Version}} }

// Advance makes a later point the present one; changes noted from now on belong to it.
// Those noted first at a point of a new term are the difference between two leaders.
func (c *Changes) Advance(p Point) {
	if p.Term == c.present.term {
		c.present.to = p.Version
		return
	}
	c.past = append(c.past, c.present)
	c.past = append([]span(nil), c.past[max(0, len(c.past)-keptSpans):]...)
	c.present = span{p.Term, p.Version, p.Version}
}

// Changed notes that a server is new or another one at the present point.
func (c *Changes) Changed(id string) { c.note(id, changed) }

// Removed notes that a server is gone for good at the present point.
func (c *Changes) Removed(id string) { c.note(id, removed) }

// Unlisted notes that the leader of a new term does not list a server yet.
func (c *Changes) Unlisted(id string) { c.note(id, unlisted) }

func (c *Changes) note(id string, k kind) {
	c.log = append(c.log, change{id: id, at: c.At(), kind: k})
	if len(c.log) <= 2*keptChanges {
		return
	}
	extra := len(c.log) - keptChanges
	c.forget(c.log[extra-1].at)
	c.log = append([]change(nil), c.log[extra:]...)
}

// forget ends the knowledge of differences to points before the given one.
func (c *Changes) forget(p Point) {
	for len(c.past) > 0 && c.past[0].term < p.Term {
		c.past = c.past[1:]
	}
	oldest := &c.present
	if len(c.past) > 0 {
		oldest = &c.past[0]
	}
	if oldest.term == p.Term {
		oldest.from = max(oldest.from, p.Version)
	}
}

// known reports whether the difference to a point is known.
func (c *Changes) known(p Point) bool {
	for _, s := range c.past {
		if s.contains(p) {
			return true
		}
	}
	return c.present.contains(p)
}

// Since lists what has changed after a point; ok is false when that is not known.
func (c *Changes) Since(p Point) (d Difference, ok bool) {
	if !c.known(p) {
		return Difference{}, false
	}
	seen := map[string]bool{}
	for i := len(c.log) - 1; i >= 0 && c.log[i].at.after(p); i-- {
		x := c.log[i]
		if seen[x.id] {
			continue
		}
		seen[x.id] = true
		switch x.kind {
		case changed:
			d.Changed = append(d.Changed, x.id)
		case removed:
			d.Removed = append(d.Removed, x.id)
		case unlisted:
			d.Unlisted = append(d.Unlisted, x.id)
		}
	}
	return d, true
}

// Difference names the servers that differ between two points.
type Difference struct {
	// Changed are new or others; Removed are gone for good; Unlisted are not listed
	// yet by a later leader.
	Changed, Removed, Unlisted []string
}
