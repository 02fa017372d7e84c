package control

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/replica"
)

const (
	// relayMaxAge is how long a replica relays the fleet after the leader's last reply: one
	// round of 0.45 s and most of another. An entry that watches a replica which has just
	// been cut off leaves it after this time and one hold, 1.4 s at most; a change must be
	// in force within 2 s.
	relayMaxAge = 800 * time.Millisecond
	// heartbeatGrace is how long a replica without contact to a leader accepts heartbeats. It is
	// well below the time after which servers count as overdue.
	heartbeatGrace = 2 * time.Second
	// noLeaderHold is how long a replica without a leader holds a watch request before
	// it redirects the entry: a new leader is elected after half a second, and the entries
	// must not ask all replicas in turn meanwhile.
	noLeaderHold = 150 * time.Millisecond
	// relayPause is the pause between two requests to the leader, which batches changes.
	relayPause = 10 * time.Millisecond
)

// relay is this replica's copy of the leader's fleet. Hundreds of entries watch the
// fleet; a leader that answered all of them would have no time left for the work that
// only it can do while engines leave. The leader has one of its own, from which it answers
// watch requests, so that these don't delay announcements. Safe for concurrent use.
type relay struct {
	// knowsLeader is set once a leader's listing was applied. Only until then the fleet comes
	// from the log.
	knowsLeader atomic.Bool
	mu          sync.Mutex
	fleet       fleet.Relay
	// listings caches encoded listings for replies to several instances.
	listings listingCache
	// published is the notification up to which the leader has published its registry.
	published uint64
	// lastReply is when the leader last replied, by boottime, which includes suspension;
	// inForce is the version of the declaration in force that it named.
	lastReply time.Time
	inForce   uint64
	// lastLed is when this replica was last known to be the leader, lastContact when the leader
	// last answered anything, by boottime.
	lastLed, lastContact time.Time
	// startedAt is when this replica started, by boottime.
	startedAt time.Time
}

// isCurrent reports whether this replica's fleet and declaration are recent enough to relay:
// the leader replied within relayMaxAge, and the log has the declaration that it named. The
// caller holds r.mu.
func (r *relay) isCurrent(v replica.View) bool {
	return !r.lastReply.IsZero() && boottime.Now().Sub(r.lastReply) < relayMaxAge && v.Routing.Declared.Version >= r.inForce
}

// recentlyConnected reports whether the replica started, led or heard from the leader within
// heartbeatGrace. A heartbeat accepted then reaches the leader before its server counts as
// overdue. A leader that is slow counts as heard: if all its followers refused heartbeats, each
// server would try one after the other, each time over a new connection, and the replicas would
// have no time left to recover.
func (r *relay) recentlyConnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := boottime.Now()
	return now.Sub(r.lastReply) < heartbeatGrace || now.Sub(r.lastLed) < heartbeatGrace ||
		now.Sub(r.lastContact) < heartbeatGrace || now.Sub(r.startedAt) < heartbeatGrace
}

// isUpToDate reports whether the leader already lists a server with everything it announces.
func (r *relay) isUpToDate(server fleet.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.IsUpToDate(server)
}

// recordLed records that this replica is the leader.
func (r *relay) recordLed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLed = boottime.Now()
}

// recordContact records when the leader last answered anything, be it a probe.
func (r *relay) recordContact(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.lastContact) {
		r.lastContact = at
	}
}

// applyLog applies the content of the log, until a leader's fleet is known. After that it does
// not wait for watch requests, since the messages of other replicas wait for it.
func (r *relay) applyLog(v replica.View) {
	if r.knowsLeader.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.ApplyLog(v.Routing.Servers, v.Routing.Withdrawals, v.Routing.Revision)
}

// servers lists the servers of the copy; fresh is false without contact to the leader.
func (r *relay) servers(v replica.View) (list []fleet.Server, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Servers(), r.isCurrent(v)
}

// position returns the position of the copy.
func (r *relay) position() fleet.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Position()
}

// apply applies a leader's listing. The caller holds r.mu.
func (r *relay) apply(l *fleet.Listing) {
	r.fleet.Apply(*l)
	r.knowsLeader.Store(r.fleet.Position().Term > 0)
}

// applyReply applies the leader's reply to a request from this replica. It reports whether
// watch requests can be answered that could not before.
func (r *relay) applyReply(reply *watchReply, v replica.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.isCurrent(v)
	r.lastReply, r.inForce = boottime.Now(), reply.InForce
	if reply.Listing != nil {
		r.apply(reply.Listing.Listing)
	}
	return reply.Listing != nil || !before
}

// redirectToAny redirects an instance to any other replica.
func redirectToAny() replica.Redirect { return replica.Redirect{NotLeader: true} }

// followLeader keeps the copy of the fleet up to date while another replica is the leader.
func (s *Service) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		if v, _ := s.replica.View(); v.Ready && !v.Leading {
			s.pollLeader(ctx)
		}
		wait(ctx, relayPause)
	}
}

// pollLeader requests the changes since the last reply from the leader.
func (s *Service) pollLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	at := s.relay.position()
	// No declaration is requested: it comes with the log.
	req := watchRequest{Hold: watchHold, Deltas: true, AcrossTerms: true, Compressed: true, ForRelay: true, Declaration: math.MaxUint64, Term: at.Term, Version: at.Version}
	reply, err := replica.CallLeaderWithin[watchReply](ctx, s.client, methodWatch, &req, watchTimeout)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "follow fleet").Debug("no reply from the leader")
		return
	}
	if v, _ := s.replica.View(); s.relay.applyReply(&reply, v) {
		s.notifier.notify()
	}
}
