package router

import (
	"time"

	"cardamomwick.example/core/routing"
)

// bodyLimit bounds a call's body, in bytes.
func (r *Router) bodyLimit() int64 {
	if t := r.opt.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return defaultMaxBody
}

// awaitTable returns the declaration in force. At an instance that has just
// started it waits for the first one, and for the servers that come with it; nil
// means that the call is refused.
func (c *call) awaitTable() *routing.Table {
	r := c.router
	select {
	case <-r.equipped:
		return r.opt.Table()
	default:
	}
	wait, ok := r.enterWarmup(len(c.body), c.said.Patience)
	if !ok {
		return nil
	}
	defer r.leaveWarmup(len(c.body))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.equipped:
		return r.opt.Table()
	case <-timer.C:
	case <-c.req.Context().Done():
	}
	return nil
}

func (r *Router) enterWarmup(bytes int, patience time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting.Admit(time.Now(), r.started, bytes, patience)
}

func (r *Router) leaveWarmup(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting.Release(bytes)
}
