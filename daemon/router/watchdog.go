package router

import (
	"context"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/routing"
)

// Limits of a server's silence, as multiples of what the operator wants. They
// answer servers that take calls and never answer, and connections that go
// silent without a reset: a call that may be repeated then goes elsewhere while
// its caller still waits.
const (
	// plainSilence of the target is waited for an idempotent call's answer.
	plainSilence = 1.3
	// firstSilence of the target is waited for a stream's first event, and on top
	// twice the time that the server needs for what it had to read before.
	firstSilence = 2.5
	aheadSilence = 2
	// gapSilence of the longest pause is waited between two events.
	gapSilence = 4
	// leastSilence bounds all of them from below.
	leastSilence = 250 * time.Millisecond
)

// watchdog ends an attempt whose server is silent, if the call may be sent
// again and the retry budget has room.
type watchdog struct {
	timer *time.Timer
	// fired: the attempt was ended, and the next one is paid for.
	fired atomic.Bool
}

// watch arms a watchdog for the call's next attempt; nil when the call may not
// be sent once more.
func (c *call) watch(end context.CancelFunc) *watchdog {
	if !c.route.Repeatable() || c.runs+1 >= c.route.MaxAttempts || c.route.TargetLatency <= 0 {
		return nil
	}
	d := &watchdog{}
	d.timer = time.AfterFunc(c.firstLimit(), func() {
		if time.Until(c.until) > leastTime && c.router.takeRepeat(c.pool.Name) {
			d.fired.Store(true)
			end()
		}
	})
	return d
}

// firstLimit is how long the server may be silent at first.
func (c *call) firstLimit() time.Duration {
	target := float64(c.route.TargetLatency)
	if c.route.Semantics != routing.Stream {
		return max(leastSilence, time.Duration(plainSilence*target))
	}
	return max(leastSilence, time.Duration(firstSilence*target)+aheadSilence*c.router.readingTime(c))
}

// event notes that the server has sent an event.
func (d *watchdog) event(gap time.Duration) {
	if d != nil && gap > 0 && !d.fired.Load() {
		d.timer.Reset(max(leastSilence, gapSilence*gap))
	}
}

func (d *watchdog) hasFired() bool { return d != nil && d.fired.Load() }

// stop ends the watch and reports whether it has ended the attempt.
func (d *watchdog) stop() bool {
	if d == nil {
		return false
	}
	d.timer.Stop()
	return d.hasFired()
}

// readingTime estimates how long the server reads before the call's first event.
func (r *Router) readingTime(c *call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.PrefillTime(c.pool.Name, c.ticket)
}
