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
