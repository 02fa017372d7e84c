package quarantine

import (
	"time"

	"cardamomwick.example/core/quarantine"
)

// Bounds of what is remembered of broken runs: 64 bytes each.
const (
	mostServers = 1024
	mostRuns    = 256
	// proofTime is how long runs that broke off wait for the proof that their server
	// has ended: it may be a newer start that announces itself some seconds later.
	proofTime = 10 * time.Second
	// deadTime is how long after the proof no start of the same server can run a call.
	deadTime = 200 * time.Millisecond
	// leastRestart is the least time from the end of a start until the next one is known: a
	// process is loaded, listens, and announces itself. A run that began later than that
	// before the announcement came was not at the start that ended, but after its end.
	leastRestart = 100 * time.Millisecond
)

// brokenRun is a run that broke off.
type brokenRun struct {
	request      quarantine.Digest
	keepsID      bool
	reached      bool
	began, ended time.Time
}

// brokenServer is a server that broke off runs.
type brokenServer struct {
	// first is when the first run broke off since the server last answered one, last when
	// the latest did.
	first, last time.Time
	runs        []brokenRun
	// ended is when there was proof that it has ended, zero without; proof is the latest.
	ended time.Time
	proof proof
	// answered is when it last answered a run, since it is remembered here.
	answered time.Time
}

// wasOver reports whether a run began when the start that has ended was over.
func (s *brokenServer) wasOver(r *brokenRun) bool {
	if s.ended.IsZero() {
		return false
	}
	if s.proof == newerStart && r.began.After(s.ended.Add(-leastRestart)) {
		return true
	}
	// Where a start has an ID of its own, it ends once.
	return !r.began.Before(s.ended) && (!r.keepsID || r.began.Before(s.ended.Add(deadTime)))
}

// counts reports whether the proof shows that the server ended under a run. Where
// something listens for a server, a run that did not reach it may have come later.
func (s *brokenServer) counts(r *brokenRun) bool {
	return !s.wasOver(r) && (s.proof != closedListener || r.reached)
}

// broken holds the servers that broke off runs lately, by their starts' IDs.
type broken map[string]*brokenServer

func (b broken) server(now time.Time, id string) *brokenServer {
	s := b[id]
	if s == nil {
		if len(b) >= mostServers {
			b.forget(now, quarantine.SimultaneousWindow)
		}
		if len(b) >= mostServers {
			return &brokenServer{} // not remembered: thousands of servers break at once
		}
		s = &brokenServer{}
		b[id] = s
	}
	s.last = now
	return s
}

// add notes a run. One that began after the server had ended has not run there.
func (b broken) add(now time.Time, id string, r brokenRun) {
	s := b.server(now, id)
	if s.wasOver(&r) {
		return
	}
	if s.first.IsZero() || len(s.runs) == 0 && r.keepsID {
		s.first = now
	}
	if r.began.Before(s.first) && len(s.runs) < mostRuns {
		s.runs = append(s.runs, r)
	}
}

// shows reports whether a proof holds. What listens for a server may close connections
// while the server lives: then the server answers others meanwhile.
func (b broken) shows(id string, p proof) bool {
	s := b[id]
	if s == nil || p != closedListener {
		return true
	}
	again := !s.ended.IsZero() && !s.answered.After(s.ended) // nothing shows that it has been back
	return !s.first.IsZero() && !again
}

// take returns the runs at a server that has ended, each of them once. Those that the
// proof says nothing of remain until a newer start shows more.
func (b broken) take(now time.Time, id string, p proof) []brokenRun {
	s := b.server(now, id)
	if p != knownBefore {
		s.ended, s.proof = now, p
	}
	var out, left []brokenRun
	for _, r := range s.runs {
		switch {
		case s.counts(&r):
			out = append(out, r)
		case s.proof == closedListener:
			left = append(left, r)
		}
	}
	s.runs = left
	return out
}

// answered notes that a server lives: it has answered a run. That it takes connections
// says nothing, since something else may listen for it.
func (b broken) answered(now time.Time, id string, keepsID bool) {
	s := b[id]
	if s == nil {
		return
	}
	s.first, s.answered = time.Time{}, now
	if !keepsID {
		s.ended = time.Time{} // the proof was wrong
	}
}

// endedSince reports whether there was proof that a server has ended since a run
// began. A later run was at the next start, where both have the same ID.
func (b broken) endedSince(id string, began time.Time) bool {
	return b[id] != nil && b[id].ended.After(began)
}

// others lists servers that seem to have ended at the same time as the given one: they
// began to break off runs then, and have answered none since.
func (b broken) others(id string) []string {
	var out []string
	at := b[id]
	if at == nil || at.first.IsZero() {
		return nil
	}
	for other, s := range b {
		if other != id && len(out) < quarantine.MaxOthers && !s.first.IsZero() && s.first.Sub(at.first).Abs() <= quarantine.SimultaneousWindow {
			out = append(out, other)
		}
	}
	return out
}

// forget drops what is older than a time.
func (b broken) forget(now time.Time, age time.Duration) {
	for id, s := range b {
		if now.Sub(s.last) >= age {
			delete(b, id)
		}
	}
}
