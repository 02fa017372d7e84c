package quarantine

import (
	"time"

	"cardamomwick.example/core/quarantine"
)

// Bounds on the memory for broken runs: 64 bytes each.
const (
	maxServers = 1024
	maxRuns    = 256
	// confirmationTimeout is how long broken runs are kept until it is confirmed that
	// their server terminated: a restarted server may announce itself some seconds later.
	confirmationTimeout = 10 * time.Second
	// minDowntime is the time after a confirmed termination in which no later start of the
	// same server can run a call.
	minDowntime = 200 * time.Millisecond
	// minRestartTime is the minimum time from the termination of a server until its next
	// start is known: the process is loaded, listens, and announces itself. A run that
	// began less than this before the announcement began after the termination.
	minRestartTime = 100 * time.Millisecond
)

// brokenRun is a run whose connection broke.
type brokenRun struct {
	request quarantine.Digest
	// prompt is nil if the run has none, or if the server had begun to answer it before.
	prompt       *Prompt
	keepsID      bool
	reached      bool
	began, ended time.Time
}

// suspectServer is a server with broken runs.
type suspectServer struct {
	// firstBroken is the time of the first broken run since the server's last response;
	// lastUpdate is the time of the latest access to this record.
	firstBroken, lastUpdate time.Time
	runs                    []brokenRun
	// prompts is the number of runs whose prompts were kept since the last response.
	prompts int
	// terminated is the time of the latest confirmed termination, zero without one;
	// confirmation states how it was confirmed.
	terminated   time.Time
	confirmation confirmation
	// lastResponse is the time of the last completed run while this record exists.
	lastResponse time.Time
}

// startedAfter reports whether a run began after the confirmed termination.
func (s *suspectServer) startedAfter(r *brokenRun) bool {
	if s.terminated.IsZero() {
		return false
	}
	if s.confirmation == newerStart && r.began.After(s.terminated.Add(-minRestartTime)) {
		return true
	}
	// A start with its own ID terminates only once.
	return !r.began.Before(s.terminated) && (!r.keepsID || r.began.Before(s.terminated.Add(minDowntime)))
}

// crashed reports whether the termination is confirmed to have interrupted a run. If the
// server is behind a proxy, a run that did not reach it may have begun later.
func (s *suspectServer) crashed(r *brokenRun) bool {
	return !s.startedAfter(r) && (s.confirmation != connectionsClosed || r.reached)
}

// suspects holds the servers with recent broken runs by the IDs of their starts. Such an ID
// identifies one process lifetime of a server, unless the server keeps its ID over restarts.
type suspects map[string]*suspectServer

func (ss suspects) server(now time.Time, id string) *suspectServer {
	s := ss[id]
	if s == nil {
		if len(ss) >= maxServers {
			ss.expire(now, quarantine.SimultaneousWindow)
		}
		if len(ss) >= maxServers {
			return &suspectServer{} // not stored: thousands of servers break runs simultaneously
		}
		s = &suspectServer{}
		ss[id] = s
	}
	s.lastUpdate = now
	return s
}

// add records a broken run, unless it began after the server's termination and so never
// ran there.
func (ss suspects) add(now time.Time, id string, r brokenRun) {
	s := ss.server(now, id)
	if s.startedAfter(&r) {
		return
	}
	if s.firstBroken.IsZero() || len(s.runs) == 0 && r.keepsID {
		s.firstBroken = now
	}
	if r.began.Before(s.firstBroken) && len(s.runs) < maxRuns {
		if s.prompts >= maxPrompts {
			r.prompt = nil
		}
		if r.prompt != nil {
			s.prompts++
		}
		s.runs = append(s.runs, r)
	}
}

// accepts reports whether a confirmation is valid. A proxy may close connections while
// the server behind it is running; in that case the server completes other runs.
func (ss suspects) accepts(id string, c confirmation) bool {
	s := ss[id]
	if s == nil || c != connectionsClosed {
		return true
	}
	repeated := !s.terminated.IsZero() && !s.lastResponse.After(s.terminated) // no sign of a restart since
	return !s.firstBroken.IsZero() && !repeated
}

// takeCrashed returns the runs that were interrupted by the termination of a server, each
// of them once. Runs for which the confirmation is inconclusive are kept until a newer
// start is announced.
func (ss suspects) takeCrashed(now time.Time, id string, c confirmation) []brokenRun {
	s := ss.server(now, id)
	if c != alreadyConfirmed {
		s.terminated, s.confirmation = now, c
	}
	var out, left []brokenRun
	for _, r := range s.runs {
		switch {
		case s.crashed(&r):
			out = append(out, r)
		case s.confirmation == connectionsClosed:
			left = append(left, r)
		}
	}
	s.runs = left
	return out
}

// recordResponse records that a server is running: it has completed a run. Accepted
// connections don't show that, as a proxy may accept them.
func (ss suspects) recordResponse(now time.Time, id string, keepsID bool) {
	s := ss[id]
	if s == nil {
		return
	}
	s.firstBroken, s.lastResponse, s.prompts = time.Time{}, now, 0
	if !keepsID {
		s.terminated = time.Time{} // the confirmation was wrong
	}
}

// terminatedSince reports whether a server's termination was confirmed after a run began.
// If the server keeps its ID, a later run belongs to the next start.
func (ss suspects) terminatedSince(id string, began time.Time) bool {
	return ss[id] != nil && ss[id].terminated.After(began)
}

// simultaneous returns the servers that probably terminated at the same time as the given
// one: their runs began to break then, and they have completed none since.
func (ss suspects) simultaneous(id string) []string {
	var out []string
	at := ss[id]
	if at == nil || at.firstBroken.IsZero() {
		return nil
	}
	for other, s := range ss {
		if other != id && len(out) < quarantine.MaxOthers && !s.firstBroken.IsZero() && s.firstBroken.Sub(at.firstBroken).Abs() <= quarantine.SimultaneousWindow {
			out = append(out, other)
		}
	}
	return out
}

// expire removes the records that have not been accessed for the given time.
func (ss suspects) expire(now time.Time, age time.Duration) {
	for id, s := range ss {
		if now.Sub(s.lastUpdate) >= age {
			delete(ss, id)
		}
	}
}
