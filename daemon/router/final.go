package router

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	core "cardamomwick.example/core/relay"
	"cardamomwick.example/core/retry"
)

// Limits of one call's attempts.
const (
	// maxRefusals bounds one call's attempts that certainly did not run.
	maxRefusals = 4
	// refusalRetryAfter is the default Retry-After of a refusal. Up to refusalJitter
	// is added at random, so that refused callers don't all retry at once.
	refusalRetryAfter = 400 * time.Millisecond
	refusalJitter     = 600 * time.Millisecond
	// minRemaining is the least time before the deadline for another attempt.
	minRemaining = 30 * time.Millisecond
)

// mayRetry reports whether another attempt is allowed after one with this result. Unless
// the last one failed to connect or a retry is reserved already, it takes the attempt from
// the retry budget.
func (c *call) mayRetry(result attemptResult) bool {
	if c.begun || time.Until(c.deadline) < minRemaining {
		return false
	}
	switch result {
	case notRun:
		if c.refusals >= maxRefusals {
			return false
		}
		if c.last != nil && c.last.Step == "connect" {
			return true // nothing reached the server
		}
	case failed:
		if !c.route.Retryable() || c.runs >= c.route.MaxAttempts {
			return false
		}
	default:
		return false
	}
	if c.retryReserved {
		c.retryReserved = false
		return true
	}
	return c.router.takeRetry(c)
}

// takeRetry takes a retry of the call from its pool's budget, and reports whether one was left.
func (r *Router) takeRetry(c *call) bool {
	r.mu.Lock()
	now, b, instances := r.budgetTime(), r.budget(c.pool.Name), r.opt.ShareHolders()
	taken := b.Take(now, instances)
	if !taken {
		u := b.Usage(now, instances)
		c.overBudget.Store(&u)
	}
	r.mu.Unlock()
	r.opt.Metrics.RetryTaken(c.pool.Name, taken)
	return taken
}

// RetryBudgets returns this instance's use of the retry budgets, by pool.
func (r *Router) RetryBudgets() map[string]retry.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]retry.Usage{}
	for pool, b := range r.budgets {
		out[pool] = b.Usage(r.budgetTime(), r.opt.ShareHolders())
	}
	return out
}

// giveUp sends the final answer of a call that no server has answered.
func (c *call) giveUp(reason string) {
	if c.begun || c.stream != nil && c.stream.started {
		c.logFailure(0, "answer broken off: "+reason)
		panic(http.ErrAbortHandler) // a normal return would make the answer look complete
	}
	if c.unreachable() && c.decline(core.NoServer) {
		return
	}
	switch {
	case c.runs == 0:
		if c.retryAfter == 0 {
			c.retryAfter = refusalRetryAfter + time.Duration(rand.Float64()*float64(refusalJitter))
		}
		c.respondError(http.StatusServiceUnavailable, reason, c.retryAfter)
	case !time.Now().Before(c.deadline):
		c.respondError(http.StatusGatewayTimeout, "time is over", 0)
	default:
		c.respondError(http.StatusBadGateway, "the server's answer is lost", 0)
	}
}

// unreachable reports whether the call failed because this instance can't reach the servers.
func (c *call) unreachable() bool {
	return c.router.paths.unreachable(c.pool.Name) || c.isUnreached(notRun)
}

// respondError answers the call with an error of the router itself.
func (c *call) respondError(status int, reason string, after time.Duration) {
	if after > 0 {
		c.router.opt.Protocol.SetRetryAfter(c.w.Header(), after)
	}
	c.logFailure(status, reason)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	_, err := io.WriteString(c.w, `{"error":"`+reason+`"}`+"\n")
	if err != nil {
		c.logInfo("caller left during the answer")
	}
}
