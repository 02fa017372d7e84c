package quarantine

import "time"

// mostSuccesses bounds the requests whose success is remembered: 100 bytes each. Calls
// that are alike are few, and come so often that they stay in it.
const mostSuccesses = 2048

// Successes remembers when requests last succeeded at an instance, so that a request
// can be cleared by what it did before it was suspected. Not safe for concurrent use.
type Successes struct {
	began map[Digest]time.Time
	// order is a ring of the requests, the oldest at next.
	order []Digest
	next  int
}

// NewSuccesses returns an empty memory.
func NewSuccesses() *Successes { return &Successes{began: map[Digest]time.Time{}} }

// Note notes a success of a run that began at a time.
func (s *Successes) Note(request Digest, began time.Time) {
	last, known := s.began[request]
	if known && !began.After(last) {
		return
	}
	s.began[request] = began
	switch {
	case known:
	case len(s.order) < mostSuccesses:
		s.order = append(s.order, request)
	default:
		delete(s.began, s.order[s.next])
		s.order[s.next] = request
		s.next = (s.next + 1) % mostSuccesses
	}
}

// Last returns when the latest run of a request that has succeeded here began.
func (s *Successes) Last(request Digest) (time.Time, bool) {
	began, known := s.began[request]
	return began, known
}
