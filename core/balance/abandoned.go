package balance

import "time"

// Times of runs whose end was not seen.
const (
	// dropTime is how long a server may take to drop a run whose connection was closed.
	dropTime = 30 * time.Millisecond
	// holdTime is how long the room of an abandoned run stays taken after a rejection has shown
	// that the server may go on with it. It bounds what holding costs where the run has ended.
	holdTime = time.Second
	// runsOnTime is how long the servers of a pool are expected to go on with abandoned runs after such
	// a rejection by one of them.
	runsOnTime = 30 * time.Second
	// maxAbandoned bounds the abandoned runs that are kept of a server.
	maxAbandoned = 256
)

// abandonedRun is a run at a brittle server whose end this instance has not seen: its caller left, its
// time was over, or its connection broke. Some servers go on with it.
type abandonedRun struct {
	load Load
	// free is when its room counts as free again if no rejection shows otherwise, and until when the
	// server stops at the latest, by the time limit that it was sent.
	free, until time.Time
}

// abandonedRuns are those at one server. Their room counts as taken for as long as the server may go
// on with them.
type abandonedRuns struct {
	list []abandonedRun
	// heldUntil is until when all of them count.
	heldUntil time.Time
}

func (a *abandonedRuns) add(r abandonedRun) {
	if len(a.list) < maxAbandoned {
		a.list = append(a.list, r)
	}
}

// load returns the load of those whose room counts as taken.
func (a *abandonedRuns) load(now time.Time) (sum Load) {
	kept := a.list[:0]
	for _, r := range a.list {
		if !now.Before(r.until) {
			continue
		}
		kept = append(kept, r)
		if now.Before(a.heldUntil) || now.Before(r.free) {
			sum.Add(r.load)
		}
	}
	a.list = kept
	return sum
}

// recordRejection records that the server had no room for a call, and reports whether it may have gone on
// with abandoned runs.
func (a *abandonedRuns) recordRejection(now time.Time) (runsOn bool) {
	a.load(now) // drops those that are over
	if len(a.list) == 0 {
		return false
	}
	a.heldUntil = now.Add(holdTime)
	return true
}

// Abandon records the end of a call on a server which may go on with it until a time.
func (b *Balancer) Abandon(now time.Time, t Ticket, until time.Time) {
	b.End(t)
	s := b.servers[t.server]
	if s == nil || !now.Before(until) {
		return
	}
	p := b.pool(s.Pool)
	if !p.brittle.Limited {
		return
	}
	r := abandonedRun{load: t.load, free: now.Add(dropTime), until: until}
	if now.Before(p.runsOnUntil) {
		r.free = now.Add(holdTime)
	}
	s.brittle.abandoned.add(r)
}

// ownUse returns this instance's use of a server, with its abandoned runs.
func (s *server) ownUse(now time.Time) Load {
	l := s.own
	l.Add(s.brittle.abandoned.load(now))
	return l
}
