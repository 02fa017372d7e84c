package router

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Limits of one call's attempts.
const (
	// maxRefusals bounds the servers that are asked in vain by one call, where
	// each has certainly not run it.
	maxRefusals = 4
	// refusalPause is when a caller may come back after a refusal for want of
	// room, and its spread, so that not all come back at once.
	refusalPause  = 400 * time.Millisecond
	refusalSpread = 600 * time.Millisecond
	// leastTime is the least time left that a second attempt is worth.
	leastTime = 30 * time.Millisecond
)

// mayTryAgain reports whether another attempt is allowed and worth it.
func (c *call) mayTryAgain(v verdict) bool {
	if time.Until(c.until) < leastTime {
		return false
	}
	switch v {
	case notRun:
		if c.refusals >= maxRefusals {
			return false
		}
		if c.last != nil && c.last.Step == "connect" {
			return true // nothing arrived there
		}
	case failed:
		if !c.route.Repeatable() || c.runs >= c.route.MaxAttempts {
			return false
		}
	default:
		return false
	}
	if c.paid {
		c.paid = false
		return true
	}
	return c.router.takeRepeat(c.pool.Name)
}

func (r *Router) takeRepeat(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(pool).Take(time.Now(), r.opt.Entries())
}

// giveUp gives the final answer of a call that has none from a server.
func (c *call) giveUp(reason string) {
	if c.stream != nil && c.stream.started {
		c.logFailure(0, "stream broken: "+reason)
		panic(http.ErrAbortHandler) // the stream must not look complete
	}
	switch {
	case c.runs == 0:
		if c.comeBack == 0 {
			c.comeBack = refusalPause + time.Duration(rand.Float64()*float64(refusalSpread))
		}
		c.refuse(http.StatusServiceUnavailable, reason, c.comeBack)
	case !time.Now().Before(c.until):
		c.refuse(http.StatusGatewayTimeout, "time is over", 0)
	default:
		c.refuse(http.StatusBadGateway, "the server's answer is lost", 0)
	}
}

// refuse answers the call with a failure of this system's own.
func (c *call) refuse(status int, reason string, after time.Duration) {
	if after > 0 {
		c.router.opt.Protocol.SetRetryAfter(c.w.Header(), after)
	}
	c.logFailure(status, reason)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	_, err := io.WriteString(c.w, `{"error":"`+reason+`"}`+"\n")
	if err != nil {
		c.logEnd("caller left during the answer")
	}
}
