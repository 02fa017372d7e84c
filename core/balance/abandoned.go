package balance

import "time"

// Times of runs whose end was not seen.
const (
	// dropTime is how long a server may take to drop a run whose connection was closed.
	dropTime = 30 * time.Millisecond
	// holdTime is how long the room of an abandoned run stays taken after a rejection has shown
	// that the server may go on with it. It bounds what holding costs where the run has ended.
	holdTime = time.Second
	// runsOnTime is how long a server is expected to go on with abandoned runs after such a
	// rejection.
	runsOnTime = 30 * time.Second
	// maxAbandoned bounds the abandoned runs that are kept of a server.
	maxAbandoned = 256
)

// abandonedRun is a run at a brittle server whose end this instance has not seen: its caller left, its
// time was over, or its connection broke. Some servers go on with it.
type abandonedRun struct {
	load Load
	at   time.Time
	// until is when the server stops at the latest, by the time limit that it was sent.
	until time.Time
}

// abandonedRuns are those at one server. Their room counts as taken for as long as the server may go
// on with them.
type abandonedRuns struct {
	list []abandonedRun
	// heldUntil is until when all of them count, and runsOnUntil until when the server is expected to
	// go on with new ones.
	heldUntil, runsOnUntil time.Time
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
		if now.Before(a.heldUntil) || now.Before(r.at.Add(a.holdTime(r))) {
			sum.Add(r.load)
		}
	}
	a.list = kept
	return sum
}

// holdTime returns for how long a run counts after it was abandoned.
func (a *abandonedRuns) holdTime(r abandonedRun) time.Duration {
	if r.at.Before(a.runsOnUntil) {
		return holdTime
	}
	return dropTime
}

// recordRejection records that the server had no room for a call.
func (a *abandonedRuns) recordRejection(now time.Time) {
	a.load(now) // drops those that are over
	if len(a.list) > 0 {
		a.heldUntil, a.runsOnUntil = now.Add(holdTime), now.Add(runsOnTime)
	}
}

// Abandon records the end of a call on a server which may go on with it until a time.
func (b *Balancer) Abandon(now time.Time, t Ticket, until time.Time) {
	b.End(t)
	if s := b.servers[t.server]; s != nil && b.pool(s.Pool).brittle.Limited && now.Before(until) {
		s.brittle.abandoned.add(abandonedRun{load: t.load, at: now, until: until})
	}
}

// ownUse returns this instance's use of a server, with its abandoned runs.
func (s *server) ownUse(now time.Time) Load {
	l := s.own
	l.Add(s.brittle.abandoned.load(now))
	return l
}
