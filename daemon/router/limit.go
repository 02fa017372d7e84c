package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/daemon/upstream"
)

// Bounds on the wait for a server with a request limit.
const (
	// maxWaitShare is the fraction of a call's remaining time that may be spent on waiting
	// for a token; the rest is for its run. A call that must wait longer is refused as soon
	// as that is known, so that its caller can try another instance.
	maxWaitShare = 0.25
	// maxPollInterval is the longest time until a waiting call looks for a server again:
	// limits may be lifted, and new servers may appear.
	maxPollInterval = 250 * time.Millisecond
	// minPollInterval is the shortest time between two looks.
	minPollInterval = 5 * time.Millisecond
)

// recordAnnouncements records the request limit and the brittleness that an answer names for its
// server.
func (c *call) recordAnnouncements(s fleet.Server, a upstream.Answer) {
	if a.WrongServer {
		return // another server answered
	}
	if a.BadLimit {
		c.logEntry().WithFields(log.Fields{"step": "read limit", "server": s.ID}).Warn("server names a limit that can't be read; its previous limit stays")
	}
	if a.BadBrittle {
		c.logEntry().WithFields(log.Fields{"step": "read brittleness", "server": s.ID}).Warn("server names a number of rejections that can't be read; its previous one stays")
	}
	r, now := c.router, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.BadLimit {
		r.balancer.RecordLimit(now, s.ID, a.Limit)
	}
	if !a.BadBrittle {
		r.balancer.RecordBrittle(now, s.ID, a.Brittle)
	}
	if a.Load != nil && !a.NotRun {
		r.balancer.RecordCalls(s.ID, a.Load.Running+a.Load.Waiting)
	}
}

// logBrittle logs the changes of pools' brittleness.
func (r *Router) logBrittle() {
	r.mu.Lock()
	changes := r.balancer.BrittleChanges()
	r.mu.Unlock()
	for _, x := range changes {
		entry := log.WithFields(log.Fields{"step": "read brittleness", "server": x.Server, "pool": x.Pool, "told_by": x.From})
		if x.Limited {
			entry.WithField("rejections_per_second", x.PerSecond).Warn("servers are brittle: more rejections than that end them")
		} else {
			entry.Info("servers are no longer brittle")
		}
	}
}

// BrittlePools returns the pools whose servers have announced that they are brittle.
func (r *Router) BrittlePools() []balance.PoolBrittleness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Brittle(time.Now())
}

// logLimits logs the changes of servers' request limits.
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

// acquireServer returns the server for the call's next attempt. If all servers that may
// take the call are at their request limits, it waits for a token within the call's share
// of time. If there is no server, it sends the final answer and returns false.
func (c *call) acquireServer(ctx context.Context) (balance.Choice, bool) {
	w := &ratelimit.Waiter{Rank: c.route.Priority(c.customer)}
	defer c.router.leaveQueue(c, w)
	began := time.Now()
	waitUntil := began.Add(time.Duration(maxWaitShare * float64(c.deadline.Sub(began))))
	for {
		s, wait, ok := c.router.chooseServer(c, w)
		if wait > 0 || c.waited > 0 {
			c.waited = max(time.Since(began), time.Millisecond)
		}
		if ok {
			return s, true
		}
		if wait == 0 {
			c.giveUp(c.noServerReason())
			return balance.Choice{}, false
		}
		if time.Now().Add(wait).After(waitUntil) {
			after := wait
			if c.waitsForRoom {
				after = max(after, minRetryAfter) // the wait is only the time until the next look
			}
			c.retryAfter = after + time.Duration(retryAfterJitter*rand.Float64()*float64(after))
			c.giveUp("servers take no more requests")
			return balance.Choice{}, false
		}
		if c.waitsForRoom {
			c.router.requestSlots(c.pool.Name)
		}
		select {
		case <-time.After(min(wait, maxPollInterval)):
		case <-c.woken:
		case <-ctx.Done():
			if c.req.Context().Err() != nil {
				c.logInfo("caller left while its call waited")
				panic(http.ErrAbortHandler)
			}
			c.giveUp("time is over")
			return balance.Choice{}, false
		}
	}
}

// chooseServer returns a server for the call's next attempt and counts the attempt there.
// If there is none, wait is how long the call has to wait for one, at least
// minPollInterval, or zero when waiting can't help.
func (r *Router) chooseServer(c *call, w *ratelimit.Waiter) (s balance.Choice, wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	exclude := c.exclusion()
	q := r.queue(c.pool.Name)
	if late := now.Sub(c.arrived) >= c.route.TargetLatency; late != w.Late {
		w.Late = late
		defer q.WakeFirst() // calls that were behind this one go before it now
	}
	ahead := q.Ahead(w)
	size := c.size
	size.SkipLimited = ahead > 0
	if s, ok = r.balancer.Choose(now, c.pool.Name, size, exclude, rand.Float64); ok {
		c.ticket = r.balancer.Start(now, s.ID, c.size)
		c.choice = s
		return s, 0, true
	}
	wait, limited := r.balancer.TokenWait(now, c.pool.Name, exclude, ahead)
	roomWait, brittle := r.balancer.RoomWait(now, c.pool.Name, c.size, exclude)
	switch {
	case !limited && !brittle:
		return s, 0, false
	case !limited || brittle && roomWait < wait:
		wait = roomWait
		c.waitForRoom(w)
	}
	q.Join(w)
	return s, max(wait, minPollInterval), false
}

// waitForRoom lets the end of another call wake this one. The caller must hold r.mu.
func (c *call) waitForRoom(w *ratelimit.Waiter) {
	c.waitsForRoom = true
	if w.Wake != nil {
		return
	}
	woken := make(chan struct{}, 1)
	c.woken = woken
	w.Wake = func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	}
}

// leaveQueue ends a call's wait; the next one may go now.
func (r *Router) leaveQueue(c *call, w *ratelimit.Waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queue(c.pool.Name)
	q.Leave(w)
	q.WakeFirst()
}

// queue returns the queue of calls that wait for a pool's limited servers. The caller
// must hold r.mu.
func (r *Router) queue(pool string) *ratelimit.Queue {
	q := r.queues[pool]
	if q == nil {
		q = &ratelimit.Queue{}
		r.queues[pool] = q
	}
	return q
}

// WaitingForLimits returns the number of calls that wait for servers with request limits.
func (r *Router) WaitingForLimits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, q := range r.queues {
		n += q.Len()
	}
	return n
}
