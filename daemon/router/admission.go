package router

import (
	"math/rand/v2"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/routing"
)

// Bounds on the Retry-After of a refused call.
const (
	// minRetryAfter spans two exchanges of load counts.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterJitter is the largest random addition, as a fraction of the expected
	// wait, so that refused callers don't all retry at once.
	retryAfterJitter = 0.5
)

// admit forecasts the call's latency and reports whether it is accepted. For a
// refused call it sets retryAfter.
func (c *call) admit() bool {
	r := c.router
	r.mu.Lock()
	c.forecast = r.balancer.Forecast(time.Now(), c.pool.Name, c.size, time.Until(c.arrived.Add(c.route.EventTimeout())), time.Until(c.deadline))
	r.mu.Unlock()
	if c.forecast.Admission != balance.Infeasible {
		return true
	}
	wait := max(minRetryAfter, c.forecast.RetryAfter)
	c.retryAfter = wait + time.Duration(retryAfterJitter*rand.Float64()*float64(wait))
	return false
}

// priority returns the call's priority in a model engine's queue. A call that is
// expected to miss its target gets the lowest, behind all that can still meet theirs.
func (c *call) priority() int {
	if c.forecast.Admission == balance.Late {
		return routing.LowestPriority
	}
	return c.route.Priority(c.customer)
}
