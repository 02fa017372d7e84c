package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/replica"
)

// A replica waits after a change before it tells the entries that watch: while every
// engine is replaced, changes come some ten milliseconds apart, and each would wake all
// of them.
const (
	// gatherTime is the least that it waits.
	gatherTime = 50 * time.Millisecond
	// gatherEach is what it waits for each instance that watches: an answer takes a
	// tenth of a millisecond, and all of them may take 2% of a core.
	gatherEach = 5 * time.Millisecond
	// mostGatherTime leaves most of the 2 s in which a change must be in force.
	mostGatherTime = 250 * time.Millisecond
)

// gatherFor returns how long to gather for an instance that watches beside others, of
// whose hold so much is left: it does not wait for its answer much longer than that.
func gatherFor(watching int, holdLeft time.Duration) time.Duration {
	most := min(mostGatherTime, holdLeft)
	return max(gatherTime, min(most, time.Duration(watching)*gatherEach))
}

// handleWatch answers an instance that watches, once there is something new or its
// hold is over. The leader answers from its registry, other replicas from what they
// follow of it.
func (s *Service) handleWatch(ctx context.Context, _ string, body []byte) (any, error) {
	var req watchRequest
	if err := wire.Decode(body, &req); err != nil {
		return nil, eris.Wrap(err, "decode watch")
	}
	hold := min(req.Hold, maxHold)
	holdEnd := time.Now().Add(hold)
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	if v, _ := s.replica.View(); v.Leading && !req.Relays && !req.Stale && !req.Insists && s.crowded() {
		return &watchReply{Redirect: elsewhere()}, nil
	}
	defer s.noteWatching()()
	var outOfTouch <-chan time.Time
	for gathered := req.atOnce(); ; {
		v, viewChanged := s.replica.View()
		s.follow(v)
		if req.Brief && v.Ready {
			return &watchReply{Members: v.Members, InForce: v.Routing.Declared.Version}, nil
		}
		if !v.Leading && req.Stale && v.Ready {
			return s.staleNews(v)
		}
		if !v.Leading && req.Relays {
			return &watchReply{Redirect: replica.NotLeaderReply(v)}, nil
		}
		reply, changed, news := s.news(&req, v)
		if news && (gathered || reply.begins(&req)) {
			return withHolds(reply, &req, v), nil
		}
		if news {
			gathered = true
			if !wait(ctx, s.gatherTime(time.Until(holdEnd))) {
				return nil, ctx.Err()
			}
			continue
		}
		if reply.NotLeader && outOfTouch == nil {
			outOfTouch = time.After(outOfTouchHold)
		}
		select {
		case <-changed:
		case <-viewChanged:
		case <-outOfTouch:
			return reply, nil
		case <-timeout.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// mostAtLeader bounds the entries that watch the leader while others relay its fleet: at
// hundreds of entries they take the time in which it must hear of heartbeats, and servers
// that it has not heard of change the fleet again.
const mostAtLeader = 12

// crowded reports whether so many instances watch this leader that another one has to
// watch a replica that follows it.
func (s *Service) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching >= mostAtLeader
}

// noteWatching counts an instance that watches until the function returned is called.
func (s *Service) noteWatching() (done func()) {
	add := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watching += n
	}
	add(1)
	return func() { add(-1) }
}

func (s *Service) gatherTime(holdLeft time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return gatherFor(s.watching, holdLeft)
}

// atOnce reports whether the first change is told without waiting for more: an entry
// without a declaration serves nobody, and who passes changes on gathers itself.
func (r *watchRequest) atOnce() bool { return r.Relays || r.Stale || r.Declaration == 0 }

// begins reports whether the reply is the first of a leader's term to the asking
// instance, or brings a declaration.
func (r *watchReply) begins(req *watchRequest) bool {
	return r.Declaration != nil || r.Listing != nil && r.Listing.Term != req.Term
}

// wait reports whether the time passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// news returns what the asking instance lacks, what to wait for otherwise, and whether
// it lacks anything. The reply of a replica that is out of touch with the leader sends
// the asking instance on to another one.
func (s *Service) news(req *watchRequest, v replica.View) (reply *watchReply, changed <-chan struct{}, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = &watchReply{Members: v.Members, InForce: v.Routing.Declared.Version}
	if !v.Leading && !s.relay.inTouch(v) {
		reply.Redirect = elsewhere()
		return reply, s.changed, false
	}
	if v.Routing.Declared.Version > req.Declaration {
		reply.Declaration = v.Routing.Declared.Declaration
	}
	reply.Listing = s.shared.share(s.listing(req, v))
	return reply, s.changed, reply.Declaration != nil || reply.Listing != nil
}

// listing returns what an instance lacks of the fleet. Call it with the lock held.
func (s *Service) listing(req *watchRequest, v replica.View) *fleet.Listing {
	if v.Leading && req.Relays {
		return s.leaderListing(req.at(), req.Differences, v)
	}
	if v.Leading {
		// Who leads relays its own fleet: entries that knew the leader before get the
		// difference from it as from any other replica.
		if l := s.leaderListing(s.relay.fleet.Position(), true, v); l != nil {
			s.relay.fleet.Apply(*l)
		}
	}
	return s.relay.fleet.Listing(req.at(), req.AcrossTerms)
}

// leaderListing returns what a replica lacks of the leader's registry.
func (s *Service) leaderListing(at fleet.Position, differences bool, v replica.View) *fleet.Listing {
	sameTerm := at.Term == v.Term
	if sameTerm && at.Version == s.registry.Version() {
		return nil
	}
	l := s.registry.Listing(sameTerm && differences, at.Version)
	l.Term = v.Term
	if !l.Delta {
		l.Withdrawals = v.Routing.Withdrawals
	}
	return l
}

// withHolds adds the requests that are held, for an entry that has just started.
func withHolds(reply *watchReply, req *watchRequest, v replica.View) *watchReply {
	if req.Declaration > 0 {
		return reply
	}
	now := time.Now().UnixMilli()
	for _, h := range v.Holds {
		reply.Holds = append(reply.Holds, h.DecisionAt(now))
	}
	return reply
}

// packedNews is an encoded answer. The load pattern it answers: after a loss of everything
// hundreds of entries ask for the same 236 KB at once, and encoding it for each takes 3.6
// milliseconds, of a quarter of a core.
type packedNews struct {
	body           msgpack.RawMessage
	routing, holds uint64
	at             time.Time
}

// packedTime is how long an encoded answer is used: the ages of holds in it grow old.
const packedTime = time.Second

// staleNews is what a replica without a leader knows: enough for an entry that
// has just started to serve calls until the group is back.
func (s *Service) staleNews(v replica.View) (msgpack.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.packed
	now := time.Now()
	if p.body != nil && p.routing == v.Routing.Revision && p.holds == v.HoldsRevision && now.Sub(p.at) < packedTime {
		return p.body, nil
	}
	reply := &watchReply{Declaration: v.Routing.Declared.Declaration, Members: v.Members,
		Listing: &sharedListing{Listing: &fleet.Listing{Version: v.Routing.Revision, Servers: v.Routing.Servers}}}
	body, err := msgpack.Marshal(withHolds(reply, &watchRequest{}, v))
	if err != nil {
		return nil, eris.Wrap(err, "encode what an entry begins with")
	}
	*p = packedNews{body, v.Routing.Revision, v.HoldsRevision, now}
	return body, nil
}

// shared are listings that were encoded lately, the newest last.
type shared []*sharedListing

// mostShared bounds them: 300 KB each at 3,000 servers. Those who ask lack the same, but
// for those that have just come.
const mostShared = 4

// share returns a listing in the form in which it is encoded once for all who get it; nil
// for nil.
func (x *shared) share(l *fleet.Listing) *sharedListing {
	if l == nil {
		return nil
	}
	for _, s := range *x {
		if s.Listing == l {
			return s
		}
	}
	s := &sharedListing{Listing: l}
	packed, err := msgpack.Marshal(l)
	if err != nil {
		log.WithError(err).WithField("step", "encode listing").Error("it is encoded with each answer")
		return s
	}
	s.packed = packed
	*x = append(*x, s)
	if extra := len(*x) - mostShared; extra > 0 {
		*x = append(shared(nil), (*x)[extra:]...)
	}
	return s
}
