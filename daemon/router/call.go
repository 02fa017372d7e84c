package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/upstream"
)

// mostPause and pauseShare (of the target) bound the wait before a second attempt: two
// exchanges of load counts, and never much of the target.
const (
	mostPause  = 200 * time.Millisecond
	pauseShare = 0.15
)

// call is one attempt of a caller, from its arrival to its final answer.
type call struct {
	router   *Router
	w        http.ResponseWriter
	req      *http.Request
	arrived  time.Time
	said     upstream.Call
	body     []byte
	route    *routing.Route
	customer *routing.Customer
	pool     *routing.Pool
	// version is that of the declaration that decided.
	version uint64
	until   time.Time
	// size is what placement knows of the call, the same for all attempts.
	size balance.Call

	// runs counts the attempts that may have run, refusals those that certainly
	// have not.
	runs     int
	refusals int
	tried    []string
	ticket   balance.Ticket
	choice   balance.Choice
	dog      *watchdog
	// forecast is what was expected of the call when it came.
	forecast balance.Forecast
	// comeBack is when the caller may come back after a refusal; zero for the
	// usual pause.
	comeBack time.Duration
	// waited is how long the call waited for servers that had named request limits.
	waited time.Duration
	// paid: the next attempt is already taken from the retry budget.
	paid   bool
	stream *stream
	last   *upstream.Error
	// began is when the last attempt began.
	began time.Time
	// identity is the request's digest; nil until it is asked for.
	identity *quarantine.Digest
}

// verdict tells how an attempt ended.
type verdict uint8

const (
	// answered: the caller has its final answer.
	answered verdict = iota
	// notRun: the server certainly has not run the call.
	notRun
	// failed: the call may have run and there is no answer to pass on.
	failed
	// gone: the caller has left.
	gone
)

func (c *call) serve() {
	c.until = c.arrived.Add(c.route.Timeout)
	if c.said.Patience > 0 {
		c.until = minTime(c.until, c.arrived.Add(c.said.Patience))
	}
	ctx, cancel := context.WithDeadline(c.req.Context(), c.until)
	defer cancel()
	// A call is forgotten with its final answer: without this, the repeats of one that
	// ends its servers end one after the other, with the calls of everybody else there.
	if c.keptBack() {
		return
	}
	c.size = c.placement()
	c.router.arrive(c)
	if !c.admitted() {
		c.giveUp("can't be answered in time")
		return
	}
	for {
		server, ok := c.server(ctx)
		if !ok {
			return
		}
		v := c.attempt(ctx, server.Server)
		if v == answered {
			return
		}
		if c.req.Context().Err() != nil {
			c.logCallerLeft(server.Server)
			panic(http.ErrAbortHandler)
		}
		if !c.mayTryAgain(v) {
			c.giveUp("attempts used up")
			return
		}
		if v == failed && !(c.pause(ctx) && c.router.opt.Quarantine.AwaitDecision(ctx, c.digest)) {
			c.giveUp("time is over")
			return
		}
		// The servers that ended under the attempts before count too.
		if c.keptBack() {
			return
		}
	}
}

// pause waits a little before a second attempt. When a server dies, all its
// calls come back at once, and every instance would place them by the same
// counts.
func (c *call) pause(ctx context.Context) bool {
	most := min(mostPause, time.Duration(pauseShare*float64(c.route.TargetLatency)))
	select {
	case <-time.After(time.Duration(rand.Float64() * float64(most))):
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

// placement returns what placement needs to know of the call.
func (c *call) placement() balance.Call {
	p := &c.said.Prompt
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

func (r *Router) arrive(c *call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordArrival(now, c.pool.Name, c.size)
	r.budget(c.pool.Name).RecordAttempt(now)
}

// attempt sends the call to one server and passes its answer on.
func (c *call) attempt(ctx context.Context, s fleet.Server) verdict {
	c.tried = append(c.tried, s.ID)
	defer c.router.end(c)
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer c.router.attempts.add(s.ID, end)()
	c.began = time.Now()
	c.dog = c.watch(func() { end(nil) })
	v := c.send(ctx, s)
	if c.dog.stop() && v == failed {
		c.paid = true
	}
	return v
}

// send sends the call and passes the answer on.
func (c *call) send(ctx context.Context, s fleet.Server) verdict {
	target := c.router.target(s, c.pool.MaxConnections)
	resp, err := c.router.upstream.Send(ctx, target, c.request(s))
	if err != nil {
		return c.noteError(ctx, s, err)
	}
	defer resp.Close()
	c.noteLimit(s, resp.Answer)
	return c.pass(ctx, s, resp)
}

// target gives this instance its part of the connections that a server takes from all. Where
// there are fewer of them than instances, each may open one for a call, but keep none.
func (r *Router) target(s fleet.Server, maxConnections int) upstream.Target {
	t := upstream.Target{ID: s.ID, Address: s.Address}
	if maxConnections > 0 {
		part := maxConnections / max(1, r.opt.Entries())
		t.MaxConnections, t.CloseAfterUse = max(1, part), part == 0
	}
	return t
}

func (r *Router) end(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(c.ticket)
}

// began notes that the server has read the call's prompt.
func (r *Router) began(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFirstEvent(time.Now(), &c.ticket)
}

func (c *call) noteError(ctx context.Context, s fleet.Server, err error) verdict {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Sent: true, Step: "send", Server: s.ID, Err: err}
	}
	c.last = e
	c.noteBroken(ctx, s, e)
	callerLeft := c.req.Context().Err() != nil
	inTime := time.Now().Before(c.until)
	if !errors.Is(e.Err, upstream.ErrConnections) && !callerLeft && inTime {
		c.router.bad(s.ID, !c.dog.hasFired())
	}
	if e.Sent {
		c.runs++
		return failed
	}
	c.refusals++
	return notRun
}

func (r *Router) bad(id string, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFailure(time.Now(), id, unreachable)
}

func (r *Router) good(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordSuccess(time.Now(), id)
}
