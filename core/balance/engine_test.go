package balance

import (
	"slices"
	"time"
)

// engineSim simulates a model engine with continuous batching: each step produces one
// token for every stream whose prompt is processed, and processes a chunk of the
// oldest pending prompt. The parameters are those of the larger deployment's engines.
type engineSim struct {
	id      string
	slow    float64
	at      time.Duration
	streams []*streamSim
	cached  map[string]time.Duration
	// slots bounds the running streams; the others wait. Zero means no bound.
	slots int
}

type streamSim struct {
	call    Call
	arrived time.Duration
	pending int
	// toPrefill is the initial value of pending. late streams wait for those that can
	// still be in time.
	toPrefill       int
	late            bool
	context         int
	tokens          int
	output          int
	first           time.Duration
	last            time.Duration
	longestInterval time.Duration
	intervals       []time.Duration
	ticket          Ticket
	// onEventInterval, if set, is called with each time between two events.
	onEventInterval func(time.Duration)
	done            bool
	// cut is set if the stream exceeded callTimeout.
	cut bool
}

const (
	stepTime       = 4230 * time.Microsecond
	chunkTokens    = 2048
	tokensPerMilli = 64.2
	pairsPerMilli  = 1e6 / 0.647
	tokensPerEvent = 5
	cacheTime      = 20 * time.Second
	callTimeout    = 15 * time.Second
)

// accept adds a stream. Shared prefixes that are still cached are not processed again.
func (e *engineSim) accept(s *streamSim) (reprocessed int) {
	if len(e.streams) == 0 {
		e.at = max(e.at, s.arrived)
	}
	s.pending = s.call.Tokens
	shared := s.call.Tokens - s.call.Unshared
	if at, ok := e.cached[s.call.AffinityKey]; ok && s.arrived-at < cacheTime {
		s.pending -= shared
	} else {
		reprocessed = shared
	}
	e.cached[s.call.AffinityKey] = s.arrived
	s.toPrefill = s.pending
	at := len(e.streams)
	for at > 0 && e.streams[at-1].waits() && e.streams[at-1].rank() > s.rank() {
		at-- // before waiting streams of lower urgency
	}
	e.streams = slices.Insert(e.streams, at, s)
	return reprocessed
}

// waits reports whether no part of the stream's prompt has been processed.
func (s *streamSim) waits() bool { return s.toPrefill > 0 && s.pending == s.toPrefill }

// rank is the stream's priority on its engine; 0 comes first.
func (s *streamSim) rank() int {
	switch {
	case s.late:
		return 2
	case s.call.Tokens >= LongPromptTokens:
		return 1
	}
	return 0
}

// step runs one step. It returns the streams that began and those that ended.
func (e *engineSim) step() (began, ended []*streamSim) {
	took := float64(stepTime)
	left := chunkTokens
	working := e.streams
	if e.slots > 0 {
		working = working[:min(e.slots, len(working))]
	}
	for _, s := range working {
		if s.pending == 0 || left == 0 {
			continue
		}
		n := min(left, s.pending)
		left -= n
		s.pending -= n
		s.context += n
		took += float64(time.Millisecond) * (float64(n)/tokensPerMilli + float64(n)*float64(s.context)/pairsPerMilli)
		if s.pending == 0 {
			began = append(began, s)
		}
	}
	e.at += time.Duration(took * e.slow)
	kept := e.streams[:0]
	for i, s := range e.streams {
		if s.pending == 0 && i < len(working) {
			s.token(e.at)
		}
		s.cut = !s.done && e.at-s.arrived > callTimeout
		if s.done || s.cut {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	return began, ended
}

func (s *streamSim) token(now time.Duration) {
	s.tokens++
	if s.tokens%tokensPerEvent != 1 && s.tokens != s.output {
		return
	}
	if s.first == 0 {
		s.first = now
	} else {
		interval := now - s.last
		s.intervals = append(s.intervals, interval)
		s.longestInterval = max(s.longestInterval, interval)
		if s.onEventInterval != nil {
			s.onEventInterval(interval)
		}
	}
	s.last = now
	s.done = s.tokens >= s.output
}
