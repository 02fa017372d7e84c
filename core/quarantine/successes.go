package quarantine

import "time"

// maxSuccesses bounds the requests whose success is remembered: 100 bytes each.
// Identical calls, such as health checks, are few and frequent enough to stay among
// them.
const maxSuccesses = 2048

// Successes remembers the latest success of each request at an instance, so that a
// request can be cleared by a success from before it was suspected. Not safe for
// concurrent use.
type Successes struct {
	began map[Digest]time.Time
	// order is a ring buffer of the requests; the oldest is at next.
	order []Digest
	next  int
}

// NewSuccesses returns an empty memory.
func NewSuccesses() *Successes { return &Successes{began: map[Digest]time.Time{}} }

// Record records the success of a run that began at the given time.
func (s *Successes) Record(request Digest, began time.Time) {
	last, known := s.began[request]
	if known && !began.After(last) {
		return
	}
	s.began[request] = began
	switch {
	case known:
	case len(s.order) < maxSuccesses:
		s.order = append(s.order, request)
	default:
		delete(s.began, s.order[s.next])
		s.order[s.next] = request
		s.next = (s.next + 1) % maxSuccesses
	}
}

// Last returns the start of the latest run of a request that has succeeded at this
// instance.
func (s *Successes) Last(request Digest) (time.Time, bool) {
	began, known := s.began[request]
	return began, known
}

// Survivals counts, for the latest requests and prompt parts, the runs that ended without an answer and
// without a crash of their server. Not safe for concurrent use.
type Survivals struct {
	counts map[Digest]*survivalCount
	// order is a ring buffer of the digests; the oldest is at next.
	order []Digest
	next  int
}

// survivalCount counts runs in a window that began at the given time, and in the one before it.
type survivalCount struct {
	began        time.Time
	runs, before int
}

// NewSurvivals returns an empty counter.
func NewSurvivals() *Survivals { return &Survivals{counts: map[Digest]*survivalCount{}} }

// Record counts a run.
func (s *Survivals) Record(now time.Time, subject Digest) {
	c := s.counts[subject]
	if c == nil {
		c = &survivalCount{began: now}
		s.counts[subject] = c
		if len(s.order) < maxSuccesses {
			s.order = append(s.order, subject)
		} else {
			delete(s.counts, s.order[s.next])
			s.order[s.next] = subject
			s.next = (s.next + 1) % maxSuccesses
		}
	}
	c.advance(now)
	c.runs++
}

// Recent returns the runs within the last one or two SurvivalWindows.
func (s *Survivals) Recent(now time.Time, subject Digest) int {
	c := s.counts[subject]
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
