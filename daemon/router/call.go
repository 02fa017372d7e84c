package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/reachability"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/core/routing"
	kept "cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/upstream"
)

// maxBackoff, two exchanges of load counts, and backoffShare, a fraction of the target
// latency, bound the random wait before another attempt.
const (
	maxBackoff   = 200 * time.Millisecond
	backoffShare = 0.15
)

// call is one request of a caller, from its arrival to its final answer. The router may
// make several attempts at servers for it.
type call struct {
	router  *Router
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time
	info    upstream.Call
	// resumes is set if the caller resumes the stream of an earlier call.
	resumes  bool
	body     []byte
	route    *routing.Route
	customer *routing.Customer
	pool     *routing.Pool
	// table is the declaration that the call was routed by, nil before.
	table    *routing.Table
	deadline time.Time
	// size describes the call to the balancer, the same for all attempts.
	size balance.Call

	// runs counts the attempts that may have run, refusals those that certainly
	// did not.
	runs     int
	refusals int
	// rejected is set once a server has received the call and said that it did not run it.
	rejected bool
	// tried are the IDs of the servers of all attempts, software their versions.
	tried    []string
	software []fleet.SoftwareVersion
	ticket   balance.Ticket
	choice   balance.Choice
	watchdog *watchdog
	// unframed is set if only the end of the connection ends the last answer.
	unframed bool
	// forecast is the latency forecast made on arrival.
	forecast balance.Forecast
	// retryAfter is sent with a refusal; zero selects the default.
	retryAfter time.Duration
	// waited is how long the call waited for servers with request limits.
	waited time.Duration
	// waitsForRoom is set once the call has waited for room at brittle servers.
	waitsForRoom bool
	// woken gets a value when the call may look for room again; nil before it waits for room.
	woken chan struct{}
	// begun is set once the head of a long answer is sent; only its body may follow.
	begun bool
	// retryReserved is set when the next attempt is already taken from the retry budget.
	retryReserved bool
	// counted is set once the call has been recorded in this instance's retry budget.
	counted bool
	// overBudget is the use of the retry budget when it last had no retry left. The watchdog
	// sets it too.
	overBudget atomic.Pointer[retry.Usage]
	stream     *streamState
	// origin is where the stream began; nil before its first event. The watchdog reads it too.
	origin atomic.Pointer[resumption.Origin]
	// originStart is the start of the server that sent the stream's first event, at originSince
	// or later; zero if the server's name identifies it.
	originStart fleet.Start
	originSince time.Time
	// recordEnded is called when the stream, whose origin was recorded, has ended here.
	recordEnded func()
	last        *upstream.Error
	// attemptStart is when the last attempt began.
	attemptStart time.Time
	// runOver is set once the server has certainly ended its work on the last attempt.
	runOver bool
	// answerBegan is the time of the last attempt's first event. answerProven is set once the
	// attempt has shown that no part of the prompt crashes the server.
	answerBegan  time.Time
	answerProven bool
	// runBroke is set if the server broke off the last attempt, serverFailed if it answered
	// with an error.
	runBroke, serverFailed bool
	// identity caches the result of digest, sharedPrompt that of prompt.
	identity     *quarantine.Digest
	sharedPrompt *kept.Prompt
	// isTrial is set if the call may make one attempt after a hold.
	isTrial bool
	// heldPart is the part of the prompt for which the call was refused.
	heldPart string
	// servedFor is set if a peer has passed the call on; servedBy is the name of the peer
	// that this instance has passed it on to.
	servedFor *servedFor
	servedBy  string
}

// attemptResult is how an attempt ended.
type attemptResult uint8

const (
	// answered: the caller has its final answer.
	answered attemptResult = iota
	// notRun: the server certainly did not run the call.
	notRun
	// failed: the call may have run, and there is no answer to forward.
	failed
	// callerGone: the caller has disconnected.
	callerGone
)

func (c *call) serve() {
	c.deadline = c.latestEnd()
	ctx, cancel := context.WithDeadline(c.req.Context(), c.deadline)
	defer cancel()
	defer c.endRecord()
	// No state of a call remains after its final answer. Without this check, retries by
	// the caller of a request that crashes servers would crash them one after another,
	// together with all other calls in flight there.
	if c.refuseQuarantined() {
		return
	}
	if !c.findOrigin(ctx) {
		return
	}
	c.size = c.placement()
	if c.needsPeer() && c.offerToPeers(ctx) {
		return
	}
	c.router.recordArrival(c)
	if c.origin.Load() == nil && !c.admit() {
		c.giveUp("can't be answered in time")
		return
	}
	for {
		server, ok := c.acquireServer(ctx)
		if !ok {
			return
		}
		// A decision may have been made while the call waited.
		if c.refuseQuarantined() {
			c.runOver = true
			c.router.endAttempt(c)
			return
		}
		result := c.attempt(ctx, server.Server)
		if result == answered {
			return
		}
		if c.req.Context().Err() != nil {
			c.logCallerLeft(server.Server)
			panic(http.ErrAbortHandler)
		}
		if !c.mayRetry(result) {
			if !(c.isUnreached(result) && c.mayRelay() && c.offerToPeers(ctx)) {
				c.giveUp("attempts used up")
			}
			return
		}
		if result == failed && !(c.backoff(ctx) && c.router.opt.Quarantine.AwaitDecision(ctx, c.digest, c.prompt())) {
			c.giveUp("time is over")
			return
		}
		if c.needsPeer() && c.offerToPeers(ctx) {
			return
		}
	}
}

// latestEnd returns when the call ends at the latest, by its route and its caller.
func (c *call) latestEnd() time.Time {
	end := c.arrived.Add(c.route.Timeout)
	if c.info.Timeout > 0 {
		end = minTime(end, c.arrived.Add(c.info.Timeout))
	}
	return end
}

// isUnreached reports whether an attempt failed because its server could not be reached from
// this instance.
func (c *call) isUnreached(result attemptResult) bool {
	return result == notRun && c.last != nil && c.last.Step == "connect" && !errors.Is(c.last.Err, upstream.ErrConnections)
}

// backoff waits a short random time before another attempt, and returns false if the
// context ends. When a server dies, all its calls are retried simultaneously, and without
// the wait every instance would place them by the same load counts.
func (c *call) backoff(ctx context.Context) bool {
	limit := min(maxBackoff, time.Duration(backoffShare*float64(c.route.TargetLatency)))
	select {
	case <-time.After(time.Duration(rand.Float64() * float64(limit))):
		return true
	case <-ctx.Done():
		return false
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// declarationVersion returns the version of the declaration that the call was routed by, 0 before.
func (c *call) declarationVersion() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version()
}

// placement describes the call to the balancer.
func (c *call) placement() balance.Call {
	p := &c.info.Prompt
	out := balance.Call{Tokens: p.Tokens, Unshared: p.Tokens, MaxOutput: p.MaxOutput, TargetLatency: c.route.TargetLatency, TargetGap: c.route.TargetGap, Tier: c.route.Tier}
	if n := len(p.Parts); n > 0 {
		out.Unshared = p.Parts[n-1].Tokens
		if n > 1 {
			out.AffinityKey = p.Parts[n-2].ID
			for _, part := range p.Parts[:n-1] {
				out.Prefixes = append(out.Prefixes, balance.Prefix{ID: part.ID, Tokens: part.Tokens})
			}
		}
	}
	return out
}

func (r *Router) recordArrival(c *call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordArrival(now, c.pool.Name, c.size)
	if c.servedFor == nil || !c.servedFor.counted {
		r.budget(c.pool.Name).RecordCall(r.budgetTime())
		c.counted = true
	}
}

// attempt makes one attempt at a server, under the watchdog and the attempt tracker.
func (c *call) attempt(ctx context.Context, s fleet.Server) attemptResult {
	c.tried = append(c.tried, s.ID)
	c.software = append(c.software, s.Software)
	defer c.router.endAttempt(c)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.router.attempts.add(s.ID, cancel)()
	c.attemptStart, c.answerBegan, c.answerProven = time.Now(), time.Time{}, false
	c.runOver, c.runBroke, c.serverFailed = false, false, false
	c.watchdog = c.startWatchdog(func() { cancel(nil) })
	result := c.send(ctx, s)
	c.recordSurvival(result)
	if c.watchdog.stop() && result == failed {
		c.retryReserved = true
	}
	return result
}

// send sends the call and forwards the answer.
func (c *call) send(ctx context.Context, s fleet.Server) attemptResult {
	target := c.router.target(s, c.pool.MaxConnections)
	stopWatching := c.watchSilence(s.ID)
	resp, err := c.router.upstream.Send(ctx, target, c.request(s))
	stopWatching()
	if err != nil {
		return c.recordError(ctx, s, err)
	}
	defer resp.Close()
	c.unframed = resp.EndsWithConnection
	c.router.paths.responded(c.pool.Name)
	c.recordAnnouncements(s, resp.Answer)
	return c.forward(ctx, s, resp)
}

// target returns the server with this instance's share of the connections that the server
// accepts from all instances. Where there are fewer connections than instances, each
// instance may open one for a call but keeps none.
func (r *Router) target(s fleet.Server, maxConnections int) upstream.Target {
	t := upstream.Target{ID: s.ID, Pool: s.Pool, Address: s.Address}
	if maxConnections > 0 {
		part := maxConnections / max(1, r.opt.ShareHolders())
		t.MaxConnections, t.CloseAfterUse = max(1, part), part == 0
	}
	return t
}

func (r *Router) endAttempt(c *call) {
	r.mu.Lock()
	if c.runOver {
		r.balancer.End(c.ticket)
	} else {
		r.balancer.Abandon(time.Now(), c.ticket, c.deadline)
	}
	r.mu.Unlock()
	r.shareSlots(c.pool.Name)
}

// recordFirstEvent notifies the balancer that the server has read the call's prompt.
func (r *Router) recordFirstEvent(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFirstEvent(time.Now(), &c.ticket)
}

func (c *call) recordError(ctx context.Context, s fleet.Server, err error) attemptResult {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{MayHaveRun: true, Step: "send", Server: s.ID, Err: err}
	}
	c.last = e
	c.countFailure(e)
	c.reportBroken(ctx, s, e)
	callerLeft := c.req.Context().Err() != nil
	inTime := time.Now().Before(c.deadline)
	if !errors.Is(e.Err, upstream.ErrConnections) && !callerLeft && inTime {
		c.router.recordFailure(s.ID, !c.watchdog.hasFired())
	}
	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		c.router.recordRefusedConnection(s.ID)
	}
	if ctx.Err() == nil && isConnectionError(e) {
		c.router.paths.failed(c.pool.Name, s.ID, reachability.Broken)
	}
	if e.MayHaveRun {
		c.runs++
		return failed
	}
	c.runOver = true
	c.refusals++
	return notRun
}

func (r *Router) recordFailure(id string, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFailure(time.Now(), id, unreachable)
}

func (r *Router) recordRefusedConnection(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordRefusedConnection(time.Now(), id)
}

func (r *Router) recordSuccess(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordSuccess(time.Now(), id)
}
