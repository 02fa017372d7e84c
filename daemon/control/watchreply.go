package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/replica"
)

// Changes are batched before watch requests are answered: while every engine is replaced,
// changes come some ten milliseconds apart, and each would cause an answer to every
// watcher.
const (
	// minBatchDelay is the minimum delay.
	minBatchDelay = 50 * time.Millisecond
	// batchDelayPerWatcher is the delay per watcher: an answer takes 0.1 ms of CPU time, and all
	// answers together may take 2% of a core.
	batchDelayPerWatcher = 5 * time.Millisecond
	// maxBatchDelay leaves most of the 2 s in which a change must be in force.
	maxBatchDelay = 250 * time.Millisecond
)

// batchDelayFor returns the delay for one of the given number of watchers. It exceeds the
// rest of the watcher's hold by minBatchDelay at most.
func batchDelayFor(watchers int, holdLeft time.Duration) time.Duration {
	limit := min(maxBatchDelay, holdLeft)
	return max(minBatchDelay, min(limit, time.Duration(watchers)*batchDelayPerWatcher))
}

// handleWatch answers a watch request once there are changes or its hold is over. The
// leader answers from its registry, other replicas from their copy of the leader's fleet.
func (s *Service) handleWatch(ctx context.Context, _ string, body []byte) (any, error) {
	var req watchRequest
	if err := wire.Decode(body, &req); err != nil {
		return nil, eris.Wrap(err, "decode watch")
	}
	hold := min(req.Hold, maxHold)
	holdEnd := time.Now().Add(hold)
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	if v, _ := s.replica.View(); v.Leading && !req.ForRelay && !req.Stale && !s.admitsWatcher(req.LeaderRequired) {
		return &watchReply{Redirect: redirectToAny()}, nil
	}
	defer s.addWatcher()()
	var noLeaderTimeout <-chan time.Time
	for batched := req.skipsBatching(); ; {
		v, viewChanged := s.replica.View()
		s.follow(v)
		if req.Brief && v.Ready {
			return &watchReply{Members: v.Members, InForce: v.Routing.Declared.Version}, nil
		}
		if !v.Leading && req.Stale && v.Ready {
			return s.encodeStaleReply(v, req.Compressed)
		}
		if !v.Leading && req.ForRelay {
			return &watchReply{Redirect: replica.NotLeaderReply(v)}, nil
		}
		reply, changed, lacking := s.changesFor(&req, v)
		if lacking && (batched || reply.isUrgent(&req)) {
			return withDecisions(reply, &req, v), nil
		}
		if lacking {
			batched = true
			if !wait(ctx, s.batchDelay(time.Until(holdEnd))) {
				return nil, ctx.Err()
			}
			continue
		}
		if reply.NotLeader && noLeaderTimeout == nil {
			noLeaderTimeout = time.After(noLeaderHold)
		}
		select {
		case <-changed:
		case <-viewChanged:
		case <-noLeaderTimeout:
			return reply, nil
		case <-timeout.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// maxLeaderWatchers bounds the entries that watch the leader; the others are redirected to
// replicas that relay its fleet. Hundreds of watchers delay the leader's handling of
// heartbeats, which makes servers overdue and thereby causes further changes.
const maxLeaderWatchers = 12

// admitsWatcher reports whether this leader answers another entry. Beyond maxLeaderWatchers it
// answers only entries that got no answer from the other replicas, and none while it is slow:
// the other replicas then don't answer because they wait for the leader.
func (s *Service) admitsWatcher(leaderRequired bool) bool {
	if s.watchers.Load() < maxLeaderWatchers {
		return true
	}
	slow := s.lastSlow.Load()
	return leaderRequired && (slow == nil || time.Since(*slow) > slowLeaderPeriod)
}

// slowLeaderPeriod is how long a leader counts as slow after it was late with a message of a
// replica: several times the period in which each replica sends one.
const slowLeaderPeriod = 2 * time.Second

// addWatcher counts a watch request until the returned function is called.
func (s *Service) addWatcher() (done func()) {
	s.watchers.Add(1)
	return func() { s.watchers.Add(-1) }
}

func (s *Service) batchDelay(holdLeft time.Duration) time.Duration {
	return batchDelayFor(int(s.watchers.Load()), holdLeft)
}

// skipsBatching reports whether the request is answered without batching: an entry without a
// declaration can't serve calls, and a relaying replica batches changes itself.
func (r *watchRequest) skipsBatching() bool { return r.ForRelay || r.Stale || r.Declaration == 0 }

// isUrgent reports whether the reply brings a declaration or the first listing of a new
// term; such replies are not delayed.
func (r *watchReply) isUrgent(req *watchRequest) bool {
	return r.Declaration != nil || r.Listing != nil && r.Listing.Term != req.Term
}

// wait pauses for d and reports whether the context is still open.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// changesFor returns the reply with what the requesting instance lacks, a channel that is closed
// at the next change, and whether the instance lacks anything. A replica without contact
// to the leader redirects the instance to another replica.
func (s *Service) changesFor(req *watchRequest, v replica.View) (reply *watchReply, changed <-chan struct{}, lacking bool) {
	notifications, changed := s.notifier.next()
	reply = &watchReply{Members: v.Members, InForce: v.Routing.Declared.Version}
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if !v.Leading && !s.relay.isCurrent(v) {
		reply.Redirect = redirectToAny()
		return reply, changed, false
	}
	if v.Leading {
		s.publishFleet(v, notifications)
	}
	if v.Routing.Declared.Version > req.Declaration {
		reply.Declaration = v.Routing.Declared.Declaration
	}
	reply.Listing = s.relay.listings.share(s.relay.fleet.Listing(req.position(), req.AcrossTerms), req.Compressed)
	return reply, changed, reply.Declaration != nil || reply.Listing != nil
}

// publishFleet brings the fleet that a leader relays up to date with its registry, once after
// each notification of the watchers. Requests in between get the same listing: the registry
// changes with each message, and a listing of thousands of servers for each relaying replica
// takes all of the leader's CPU time. The caller holds s.relay.mu.
func (s *Service) publishFleet(v replica.View, notifications uint64) {
	at := s.relay.fleet.Position()
	if at.Term == v.Term && s.relay.published >= notifications {
		return
	}
	s.relay.published = notifications
	if l := s.leaderListing(at, v); l != nil {
		s.relay.apply(l)
	}
}

// leaderListing returns the changes of the leader's registry since a position, nil for none.
func (s *Service) leaderListing(at fleet.Position, v replica.View) *fleet.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	sameTerm := at.Term == v.Term
	if sameTerm && at.Version == s.registry.Version() {
		return nil
	}
	l := s.registry.Listing(sameTerm, at.Version)
	l.Term = v.Term
	if !l.Delta {
		l.Withdrawals = v.Routing.Withdrawals
	}
	return l
}

// withDecisions adds the quarantine decisions in force, for an entry that has just started.
func withDecisions(reply *watchReply, req *watchRequest, v replica.View) *watchReply {
	if req.Declaration > 0 {
		return reply
	}
	now := time.Now().UnixMilli()
	for _, decision := range v.Decisions {
		reply.QuarantineDecisions = append(reply.QuarantineDecisions, decision.DecisionAt(now))
	}
	return reply
}

// staleReplyCache holds an encoded reply to stale reads. After a full restart hundreds of
// entries request the same 236 KB simultaneously, and encoding it takes 3.6 ms each time on a
// quarter of a core. Safe for concurrent use.
type staleReplyCache struct {
	mu                 sync.Mutex
	body               msgpack.RawMessage
	routing, decisions uint64
	at                 time.Time
}

// staleReplyMaxAge bounds the use of an encoded reply, since it contains the ages of quarantine
// decisions.
const staleReplyMaxAge = time.Second

// encodeStaleReply returns the encoded state of a replica without a leader: enough for an entry
// that has just started to serve calls until the replica group has a leader.
func (s *Service) encodeStaleReply(v replica.View, compressed bool) (msgpack.RawMessage, error) {
	cached := &s.staleReply
	if compressed {
		cached = &s.compressedStaleReply
	}
	cached.mu.Lock()
	defer cached.mu.Unlock()
	now := time.Now()
	if cached.body != nil && cached.routing == v.Routing.Revision && cached.decisions == v.DecisionsRevision && now.Sub(cached.at) < staleReplyMaxAge {
		return cached.body, nil
	}
	reply := &watchReply{Declaration: v.Routing.Declared.Declaration, Members: v.Members,
		Listing: &encodedListing{Listing: &fleet.Listing{Version: v.Routing.Revision, Servers: v.Routing.Servers}, compressed: compressed}}
	body, err := msgpack.Marshal(withDecisions(reply, &watchRequest{}, v))
	if err != nil {
		return nil, eris.Wrap(err, "encode stale watch reply")
	}
	cached.body, cached.routing, cached.decisions, cached.at = body, v.Routing.Revision, v.DecisionsRevision, now
	return body, nil
}

// listingCache caches recently shared listings, the newest last.
type listingCache []*encodedListing

// maxCachedListings bounds the cache: a listing has 300 KB at 3,000 servers. Few are needed,
// since most watchers lack the same changes.
const maxCachedListings = 4

// share returns the cached form of a listing, whose encoding is shared by all replies that
// contain it, and adds it to the cache if necessary; nil for nil.
func (c *listingCache) share(l *fleet.Listing, compressed bool) *encodedListing {
	if l == nil {
		return nil
	}
	for _, s := range *c {
		if s.Listing == l && s.compressed == compressed {
			return s
		}
	}
	s := &encodedListing{Listing: l, compressed: compressed}
	*c = append(*c, s)
	if extra := len(*c) - maxCachedListings; extra > 0 {
		*c = append(listingCache(nil), (*c)[extra:]...)
	}
	return s
}
