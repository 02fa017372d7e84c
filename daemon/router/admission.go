package router

import (
	"math/rand/v2"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/routing"
)

// Limits of the time after which a refused caller may come back.
const (
	// leastComeBack is the least, two exchanges of load counts.
	leastComeBack = 200 * time.Millisecond
	// comeBackSpread of the time to room is added by lot, so that not all come back
	// at once.
	comeBackSpread = 0.5
)

// admitted forecasts the call and reports whether it is taken.
func (c *call) admitted() bool {
	r := c.router
	r.mu.Lock()
	c.forecast = r.balancer.Forecast(time.Now(), c.pool.Name, c.size, time.Until(c.arrived.Add(c.route.EventTimeout())), time.Until(c.until))
	r.mu.Unlock()
	if c.forecast.Admission != balance.Infeasible {
		return true
	}
	room := max(leastComeBack, c.forecast.RetryAfter)
	c.comeBack = room + time.Duration(comeBackSpread*rand.Float64()*float64(room))
	return false
}

// urgency ranks the call for waiting at a model engine. One that has lost its
// target goes behind all that can still be in time.
func (c *call) urgency() int {
	if c.forecast.Admission == balance.Late {
		return routing.LowestPriority
	}
	return c.route.Priority(c.customer)
}
