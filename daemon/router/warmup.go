package router

import (
	"time"

	"cardamomwick.example/core/routing"
)

// bodyLimit returns the maximum size of a call's body in bytes.
func (r *Router) bodyLimit() int64 {
	if t := r.opt.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return defaultMaxBody
}

// warmTable returns the declaration in force, nil on an instance that has just started and has no
// declaration or no servers yet.
func (r *Router) warmTable() *routing.Table {
	select {
	case <-r.warmedUp:
		return r.opt.Table()
	default:
		return nil
	}
}

// awaitTable returns the declaration in force. On an instance that has just started it
// waits for the first declaration and the servers. It returns nil if the call is to be
// refused.
func (c *call) awaitTable() *routing.Table {
	r := c.router
	if t := r.warmTable(); t != nil {
		return t
	}
	wait, ok := r.enterWarmup(len(c.body), c.info.Timeout)
	if !ok {
		return nil
	}
	defer r.leaveWarmup(len(c.body))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.warmedUp:
		return r.opt.Table()
	case <-timer.C:
	case <-c.req.Context().Done():
	}
	return nil
}

func (r *Router) enterWarmup(bytes int, patience time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.warmup.Admit(time.Now(), r.started, bytes, patience)
}

func (r *Router) leaveWarmup(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmup.Release(bytes)
}
