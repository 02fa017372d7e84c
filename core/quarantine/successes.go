package quarantine

import "time"

// maxSuccesses bounds the requests whose success is remembered: 100 bytes each.
// Identical calls, such as health checks, are few and frequent enough to stay among
// them.
const maxSuccesses = 2048

// memory maps the latest maxSuccesses digests to values.
type memory[V any] struct {
	values map[Digest]V
	// order is a ring buffer of the digests; the oldest is at next.
	order []Digest
	next  int
}

// add stores the value of a digest that has none. The oldest digest is forgotten if there are too
// many.
func (m *memory[V]) add(d Digest, v V) {
	if m.values == nil {
		m.values = map[Digest]V{}
	}
	m.values[d] = v
	if len(m.order) < maxSuccesses {
		m.order = append(m.order, d)
		return
	}
	delete(m.values, m.order[m.next])
	m.order[m.next] = d
	m.next = (m.next + 1) % maxSuccesses
}

// Successes remembers the latest success of each request at an instance, so that a
// request can be cleared by a success from before it was suspected. Not safe for
// concurrent use.
type Successes struct{ began memory[time.Time] }

// NewSuccesses returns an empty memory.
func NewSuccesses() *Successes { return &Successes{} }

// Record records the success of a run that began at the given time.
func (s *Successes) Record(request Digest, began time.Time) {
	switch last, known := s.Last(request); {
	case !known:
		s.began.add(request, began)
	case began.After(last):
		s.began.values[request] = began
	}
}

// Last returns the start of the latest run of a request that has succeeded at this
// instance.
func (s *Successes) Last(request Digest) (time.Time, bool) {
	began, known := s.began.values[request]
	return began, known
}

// Survivals counts, for the latest requests and prompt parts, the runs that ended without an answer and
// without a crash of their server. Not safe for concurrent use.
type Survivals struct{ counts memory[*survivalCount] }

// survivalCount counts runs in a window that began at the given time, and in the one before it.
type survivalCount struct {
	began        time.Time
	runs, before int
}

// NewSurvivals returns an empty counter.
func NewSurvivals() *Survivals { return &Survivals{} }

// Record counts a run.
func (s *Survivals) Record(now time.Time, subject Digest) {
	c := s.counts.values[subject]
	if c == nil {
		c = &survivalCount{began: now}
		s.counts.add(subject, c)
	}
	c.advance(now)
	c.runs++
}

// Recent returns the runs within the last one or two SurvivalWindows.
func (s *Survivals) Recent(now time.Time, subject Digest) int {
	c := s.counts.values[subject]
	if c == nil {
		return 0
	}
	c.advance(now)
	return c.runs + c.before
}

func (c *survivalCount) advance(now time.Time) {
	switch age := now.Sub(c.began); {
	case age >= 2*SurvivalWindow:
		*c = survivalCount{began: now}
	case age >= SurvivalWindow:
		*c = survivalCount{began: now, before: c.runs}
	}
}
