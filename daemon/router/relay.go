package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/membudget"
	core "cardamomwick.example/core/relay"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/heldbody"
	"cardamomwick.example/daemon/relay"
	"cardamomwick.example/daemon/upstream"
)

// servedFor describes a call that this instance serves for a peer.
type servedFor struct {
	peer string
	// pool is the pool that the peer has selected.
	pool string
	// runs is the number of attempts that may have run before.
	runs int
	// counted is set if the call has earned retries at the peer already.
	counted bool
	// lastEventID is the last event of the stream that the caller has.
	lastEventID string
	// declined is set if the call goes back to the peer; it was sent to no server.
	declined *core.Decline
	end      relay.End
}

// decline gives a call back to its peer, and reports whether that is possible: a server that has
// rejected the call has received it, and the next attempt would have to be taken from the budget.
func (c *call) decline(reason core.Decline) bool {
	if c.servedFor == nil || c.runs > c.servedFor.runs || c.rejected {
		return false
	}
	c.servedFor.declined = &reason
	c.logEntry().WithField("reason", reason.String()).Info("call goes back to the peer")
	return true
}

// AcceptsOffer implements relay.Handler.
func (r *Router) AcceptsOffer(o *relay.Offer) (core.Decline, bool) {
	switch {
	case !r.shutdownDeadline().IsZero():
		return core.Draining, false
	case r.paths.unreachable(o.Pool):
		return core.NoServer, false
	case !r.awaitVersion(o.MinVersion):
		return core.Outdated, false
	}
	return 0, true
}

const (
	// versionWait bounds the wait for a declaration that a peer has already: it reaches all
	// instances within some tens of milliseconds of each other. It is shorter than a peer
	// waits for the response to an offer.
	versionWait = 150 * time.Millisecond
	versionPoll = 5 * time.Millisecond
)

// awaitVersion waits until the declaration in force is not older than the given version, and
// reports whether it is not.
func (r *Router) awaitVersion(version uint64) bool {
	for limit := time.Now().Add(versionWait); ; time.Sleep(versionPoll) {
		if t := r.opt.Table(); t != nil && t.Version() >= version {
			return true
		}
		if time.Now().After(limit) {
			return false
		}
	}
}

// ServeRelayed implements relay.Handler. The call is never relayed again.
func (r *Router) ServeRelayed(w http.ResponseWriter, req *http.Request, peer string, rc *relay.Call) (relay.End, *core.Decline) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	elapsed := max(0, min(rc.Elapsed, maxElapsed))
	c := &call{router: r, w: w, req: req, arrived: time.Now().Add(-elapsed), runs: rc.Runs, servedFor: &servedFor{peer: peer, pool: rc.Pool, runs: rc.Runs, counted: rc.Counted || rc.Runs > 0, lastEventID: rc.LastEventID}}
	c.origin.Store(rc.Origin)
	c.originStart, c.originSince = rc.OriginStart, time.Now().Add(-max(0, min(rc.OriginAge, maxElapsed)))
	if c.accept() {
		c.serve()
	}
	end := c.servedFor.end
	end.Runs, end.Version = c.runs, c.declarationVersion()
	return end, c.servedFor.declined
}

// maxElapsed bounds the age of a call that a peer states.
const maxElapsed = time.Hour

// needsPeer reports whether the call is to be served by a peer because this instance can't reach
// the servers.
func (c *call) needsPeer() bool {
	return c.mayRelay() && !c.router.paths.usesOwnPath(c.pool.Name)
}

// mayRelay reports whether a peer may serve the call at all. A call takes one hop at most.
func (c *call) mayRelay() bool {
	return c.servedFor == nil && c.router.opt.Relays != nil && len(c.body) <= relay.MaxBodyBytes
}

// offerToPeers offers the call to peers and forwards the answer of the one that takes it. It returns
// false if none does; the call has not run then, and has no final answer.
func (c *call) offerToPeers(ctx context.Context) bool {
	var offered []string
	for range core.MaxPeers {
		peer, ok := c.router.choosePeer(c.pool.Name, offered)
		if !ok || time.Until(c.deadline) < minRemaining {
			return false
		}
		offered = append(offered, peer.Address)
		if c.offerTo(ctx, peer) {
			return true
		}
		if peer.LastChoice {
			return false
		}
	}
	return false
}

// offerTo offers the call to one peer. It returns false if the peer has not taken it.
func (c *call) offerTo(ctx context.Context, peer core.Peer) bool {
	r := c.router
	defer r.endRelay(peer)
	answer, err := r.opt.Relays.Send(ctx, peer.Address, c.offer(), c.relayedCall())
	var declined *relay.DeclinedError
	switch {
	case errors.As(err, &declined) && ctx.Err() != nil:
		c.abortIfCallerLeft()
		c.giveUp("time is over")
		return true
	case errors.As(err, &declined):
		r.recordDecline(peer, c.pool.Name, declined)
		return false
	}
	c.servedBy = peer.Name
	r.recordAcceptance(peer)
	if err == nil {
		defer answer.Close()
		err = c.forwardRelayed(answer)
	}
	if err != nil {
		c.abortIfCallerLeft()
		// The peer may have used all attempts that the route allows.
		c.runs = max(c.runs+1, c.route.MaxAttempts)
		c.last = &upstream.Error{MayHaveRun: true, Step: "relay", Server: peer.Name, Err: err}
		c.router.opt.Metrics.Relayed("lost")
		c.giveUp("the exchange with the peer was lost")
	}
	return true
}

// abortIfCallerLeft ends the call if its caller has disconnected.
func (c *call) abortIfCallerLeft() {
	if c.req.Context().Err() != nil {
		c.abortRelayed()
	}
}

// abortRelayed ends the call of a caller that has disconnected.
func (c *call) abortRelayed() {
	c.logInfo("caller left")
	c.count(0, "caller left", 0)
	panic(http.ErrAbortHandler)
}

func (c *call) offer() *relay.Offer {
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	return &relay.Offer{Pool: c.pool.Name, MinVersion: max(c.declarationVersion(), r.peerVersion), BodyBytes: len(c.body)}
}

// relayedCall returns the call for a peer.
func (c *call) relayedCall() *relay.Call {
	lastEventID := c.info.LastEventID
	if c.stream != nil {
		lastEventID = c.stream.lastID
	}
	return &relay.Call{LastEventID: lastEventID, Method: c.req.Method, URI: requestURI(c.req), Host: c.req.Host, Header: endToEndHeaders(c.req.Header), Body: c.body,
		Pool: c.pool.Name, Elapsed: time.Since(c.arrived), Runs: c.runs, Counted: c.counted, Origin: c.origin.Load(), OriginStart: c.originStart, OriginAge: time.Since(c.originSince)}
}

// forwardRelayed sends a peer's answer to the caller: a stream and a long answer part by part,
// anything else once it is complete. An error means that the answer broke off; nothing was sent
// then unless c.stream.started or c.begun.
func (c *call) forwardRelayed(a *relay.Answer) error {
	streams := c.route.Semantics == routing.Stream && a.Status < http.StatusMultipleChoices
	if !streams && c.stream != nil && c.stream.started {
		return errNoStream
	}
	var held [][]byte
	holding := membudget.Holding{Pool: c.router.opt.AnswerMemory}
	defer holding.Release()
	for length := 0; ; {
		part, done, err := a.Next()
		length += len(part)
		switch {
		case err != nil:
			return err
		case done:
			c.endRelayed(a, held)
			return nil
		case streams:
			c.forwardPart(a, part)
		case length > maxAnswerBytes:
			return errAnswerTooLarge
		case !c.begun && length <= maxHeldBytes && (length <= heldbody.FreeBytes || holding.GrowTo(int64(length))):
			held = append(held, part)
		default:
			c.forwardLongPart(a, append(held, part))
			held = nil
		}
	}
}

// forwardLongPart forwards the next parts of an answer that is too long to be held.
func (c *call) forwardLongPart(a *relay.Answer, parts [][]byte) {
	if !c.begun {
		c.beginLong(a.Status, a.Header, -1)
	}
	if err := c.writeParts(parts); err != nil {
		c.abortRelayed()
	}
}

var (
	errNoStream = errors.New("the stream that has begun was not continued")
)

// forwardPart forwards a part of a stream.
func (c *call) forwardPart(a *relay.Answer, part []byte) {
	if c.stream == nil {
		c.stream = &streamState{}
	}
	if !c.stream.started {
		c.startStream(a.Status, a.Header)
		c.stream.first = time.Now()
	}
	_, err := c.w.Write(part)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		c.abortRelayed()
	}
}

// endRelayed completes an answer and records it.
func (c *call) endRelayed(a *relay.Answer, body [][]byte) {
	first := time.Since(c.arrived)
	switch {
	case c.stream != nil && c.stream.started:
		first = c.stream.first.Sub(c.arrived)
	case !c.begun:
		c.sendComplete(a.Status, a.Header, body)
	}
	c.runs = a.End.Runs
	c.router.recordRelayed(c.pool.Name, &a.End)
	entry := c.logEntry().WithFields(log.Fields{"status": a.Status, "server": a.End.Server})
	if a.End.Server == "" {
		entry.WithField("reason", a.End.Reason).Info("call failed")
		first = 0
	} else {
		entry.WithField(answeredField, true).Info("call answered")
	}
	c.count(a.Status, a.End.Reason, first)
}

// choosePeer returns the peer to offer a call to next, and counts the call there.
func (r *Router) choosePeer(pool string, offered []string) (core.Peer, bool) {
	peers := r.opt.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers.Choose(time.Now(), pool, peers, func(address string) bool { return slices.Contains(offered, address) }, rand.Float64)
	if ok {
		r.peers.Start(p.Address)
	}
	return p, ok
}

// expirePeers closes idle streams and forgets what is no longer known of peers.
func (r *Router) expirePeers() {
	if r.opt.Relays == nil {
		return
	}
	r.opt.Relays.CloseExpired()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.Expire(time.Now())
}

func (r *Router) endRelay(p core.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.End(p.Address)
}

func (r *Router) recordAcceptance(p core.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.Accepted(p.Address)
}

func (r *Router) recordDecline(p core.Peer, pool string, e *relay.DeclinedError) {
	log.WithError(e).WithFields(log.Fields{"step": "offer call", "peer": p.Name, "pool": pool, "reason": e.Reason.String(), "last_choice": p.LastChoice}).Info("peer takes no call")
	r.opt.Metrics.Relayed(e.Reason.String())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.Declined(time.Now(), p.Address, pool, e.Reason)
}

// recordRelayed records an answer by a peer. Servers that answer a peer while this instance
// can't reach any show that the instance is partitioned, and not the pool down.
func (r *Router) recordRelayed(pool string, end *relay.End) {
	r.mu.Lock()
	r.peerVersion = max(r.peerVersion, end.Version)
	r.mu.Unlock()
	r.opt.Metrics.Relayed("answered")
	if end.Server != "" {
		r.paths.reachedByPeer(pool)
	}
}
