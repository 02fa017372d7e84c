package control

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/replica"
)

const (
	// relayTime is how long a replica passes on what it last heard of the leader: one
	// round of 0.45 s and a good part of another. An entry that watches at a replica
	// which has just been cut off leaves it after this time and one hold, 1.4 s at most:
	// a change must be in force within 2 s.
	relayTime = 800 * time.Millisecond
	// heartbeatGrace is how long a replica without a leader goes on taking heartbeats of
	// servers that it knows. It is well below the time after which they count as overdue.
	heartbeatGrace = 2 * time.Second
	// outOfTouchHold is how long an entry is kept waiting for a replica that is out of
	// touch: the leader of a group that has lost its own is there after half a second,
	// and the entries must not ask all replicas in turn meanwhile.
	outOfTouchHold = 150 * time.Millisecond
	// relayPause is the pause between two rounds; what changes meanwhile comes together.
	relayPause = 10 * time.Millisecond
)

// relay is the leader's fleet as this replica follows it. The load pattern it answers:
// hundreds of entries watch the fleet, and a leader that answers each of them has no
// time left for what it alone can do while engines leave. Guarded by Service.mu.
type relay struct {
	fleet fleet.Relay
	// heard is when the leader last answered, on the clock that goes on while an
	// instance is suspended; inForce is the declaration that it named then.
	heard   time.Time
	inForce uint64
	// led is when this replica was last seen to lead, on the same clock.
	led time.Time
	// began is when this replica started, on the same clock.
	began time.Time
}

// inTouch reports whether others may go by what this replica has: it has heard of the
// leader lately, and its log has the declaration that the leader named.
func (r *relay) inTouch(v replica.View) bool {
	return !r.heard.IsZero() && boottime.Now().Sub(r.heard) < relayTime && v.Routing.Declared.Version >= r.inForce
}

// lately reports whether the replica is or was in touch a short time ago, or has just started:
// a heartbeat that it takes reaches the leader before its server counts as overdue.
func (r *relay) lately() bool {
	now := boottime.Now()
	return now.Sub(r.heard) < heartbeatGrace || now.Sub(r.led) < heartbeatGrace || now.Sub(r.began) < heartbeatGrace
}

// elsewhere sends an instance on to any other replica.
func elsewhere() replica.Redirect { return replica.Redirect{NotLeader: true} }

// followLeader keeps the relay up to date while this replica does not lead.
func (s *Service) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		if v, _ := s.replica.View(); v.Ready && !v.Leading {
			s.relayRound(ctx)
		}
		wait(ctx, relayPause)
	}
}

// relayRound asks the leader for what is new.
func (s *Service) relayRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	s.mu.Lock()
	at := s.relay.fleet.Position()
	s.mu.Unlock()
	// The declaration comes with the log.
	req := watchRequest{Hold: watchHold, Differences: true, Relays: true, Declaration: math.MaxUint64, Term: at.Term, Version: at.Version}
	reply, err := replica.CallLeader[watchReply](ctx, s.client, methodWatch, &req)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "follow fleet").Debug("the leader does not answer")
		return
	}
	v, _ := s.replica.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.relay.inTouch(v)
	s.relay.heard, s.relay.inForce = boottime.Now(), reply.InForce
	if reply.Listing != nil {
		s.relay.fleet.Apply(*reply.Listing.Listing)
	}
	if reply.Listing != nil || !before {
		s.wake()
	}
}
