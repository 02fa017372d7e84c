package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/daemon/upstream"
)

// Limits of the wait for a server that has named a request limit.
const (
	// waitShare of the time that a call has left may pass until its token comes. The rest
	// is for its run; a call that must wait for longer is refused as soon as that is known,
	// so that its caller can try another instance.
	waitShare = 0.25
	// longestWait passes at most until a waiting call looks for a server again: limits
	// end, and other servers come.
	longestWait = 250 * time.Millisecond
	// leastWait bounds how often it looks.
	leastWait = 5 * time.Millisecond
)

// noteLimit takes what an answer says of its server's request rate.
func (c *call) noteLimit(s fleet.Server, a upstream.Answer) {
	if a.WrongServer {
		return // the answer is another server's
	}
	if a.BadLimit {
		c.logEntry().WithFields(log.Fields{"step": "read limit", "server": s.ID}).Warn("server names a limit that can't be read; what was known of it stays")
		return
	}
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.balancer.RecordLimit(time.Now(), s.ID, a.Limit)
}

// logLimits logs the limits that have become known.
func (r *Router) logLimits() {
	r.mu.Lock()
	changes := r.balancer.LimitChanges()
	r.mu.Unlock()
	for _, x := range changes {
		entry := log.WithFields(log.Fields{"step": "read limit", "server": x.Server, "pool": x.Pool, "told_by": x.From})
		if x.Limited {
			entry.WithField("per_second", x.PerSecond).Info("server names a request limit")
		} else {
			entry.Info("server names no request limit any more")
		}
	}
}

// server returns the server for the call's next attempt. It waits where the only ones that
// may take the call have named request limits, as long as that is worth it; otherwise it
// gives the call its final answer.
func (c *call) server(ctx context.Context) (balance.Choice, bool) {
	w := &ratelimit.Waiter{Rank: c.route.Priority(c.customer)}
	defer c.router.leaveQueue(c, w)
	began := time.Now()
	patience := began.Add(time.Duration(waitShare * float64(c.until.Sub(began))))
	for {
		s, wait, ok := c.router.choose(c, w)
		if wait > 0 || c.waited > 0 {
			c.waited = max(time.Since(began), time.Millisecond)
		}
		if ok {
			return s, true
		}
		if wait == 0 {
			c.giveUp("no backend server")
			return balance.Choice{}, false
		}
		if time.Now().Add(wait).After(patience) {
			c.comeBack = wait + time.Duration(comeBackSpread*rand.Float64()*float64(wait))
			c.giveUp("servers take no more requests")
			return balance.Choice{}, false
		}
		select {
		case <-time.After(min(wait, longestWait)):
		case <-ctx.Done():
			if c.req.Context().Err() != nil {
				c.logEnd("caller left while its call waited")
				panic(http.ErrAbortHandler)
			}
			c.giveUp("time is over")
			return balance.Choice{}, false
		}
	}
}

// choose returns a server for the call's next attempt and accounts for it, or how long the
// call has to wait for one, at least leastWait; zero when there is none to wait for.
func (r *Router) choose(c *call, w *ratelimit.Waiter) (s balance.Choice, wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tried := func(id string) bool { return slices.Contains(c.tried, id) }
	now := time.Now()
	q := r.queue(c.pool.Name)
	w.Late = now.Sub(c.arrived) >= c.route.TargetLatency
	ahead := q.Ahead(w)
	size := c.size
	size.SkipLimited = ahead > 0
	if s, ok = r.balancer.Choose(now, c.pool.Name, size, tried, rand.Float64); ok {
		c.ticket = r.balancer.Start(now, s.ID, c.size)
		c.choice = s
		return s, 0, true
	}
	wait, limited := r.balancer.TokenWait(now, c.pool.Name, tried, ahead)
	if !limited {
		return s, 0, false
	}
	q.Join(w)
	return s, max(wait, leastWait), false
}

func (r *Router) leaveQueue(c *call, w *ratelimit.Waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue(c.pool.Name).Leave(w)
}

// queue returns the calls that wait for a pool's limited servers. Call with the lock held.
func (r *Router) queue(pool string) *ratelimit.Queue {
	q := r.queues[pool]
	if q == nil {
		q = &ratelimit.Queue{}
		r.queues[pool] = q
	}
	return q
}

// WaitingForLimits counts the calls that wait for servers that have named request limits.
func (r *Router) WaitingForLimits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, q := range r.queues {
		n += q.Len()
	}
	return n
}
