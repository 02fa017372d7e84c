package router

import (
	"context"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/routing"
)

// Limits on a server's silence, as multiples of the declared targets. They cover
// servers that accept calls and never answer, and connections that go silent without a
// reset: a call that may be retried then goes to another server while its caller still
// waits.
const (
	// answerSilenceFactor multiplies the target latency for an idempotent call's answer.
	answerSilenceFactor = 1.3
	// firstEventSilenceFactor multiplies the target latency for a stream's first event;
	// prefillSilenceFactor times the estimated prefill time ahead of it is added.
	firstEventSilenceFactor = 2.5
	prefillSilenceFactor    = 2
	// gapSilenceFactor multiplies the target gap between two events.
	gapSilenceFactor = 4
	// minSilenceTimeout is the lower bound of all of them.
	minSilenceTimeout = 250 * time.Millisecond
)

// watchdog cancels an attempt whose server is silent, if the call may be retried and
// the retry budget allows it.
type watchdog struct {
	timer *time.Timer
	// fired is set when the attempt was cancelled and its retry taken from the budget.
	fired atomic.Bool
}

// startWatchdog starts a watchdog for the call's next attempt. It returns nil if the
// call may not be retried after it.
func (c *call) startWatchdog(end context.CancelFunc) *watchdog {
	if !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts || c.route.TargetLatency <= 0 {
		return nil
	}
	d := &watchdog{}
	d.timer = time.AfterFunc(c.firstSilenceTimeout(), func() {
		if time.Until(c.deadline) > minRemaining && c.router.hasOtherServer(c) && c.router.takeRetry(c) {
			d.fired.Store(true)
			end()
		}
	})
	return d
}

// firstSilenceTimeout is how long the server may take until its answer or first event.
func (c *call) firstSilenceTimeout() time.Duration {
	target := float64(c.route.TargetLatency)
	if c.route.Semantics != routing.Stream {
		return max(minSilenceTimeout, time.Duration(answerSilenceFactor*target))
	}
	return max(minSilenceTimeout, time.Duration(firstEventSilenceFactor*target)+prefillSilenceFactor*c.router.prefillTime(c))
}

// reset restarts the timer after an event.
func (d *watchdog) reset(gap time.Duration) {
	if d != nil && gap > 0 && !d.fired.Load() {
		d.timer.Reset(max(minSilenceTimeout, gapSilenceFactor*gap))
	}
}

// suspend stops the timer until the next event.
func (d *watchdog) suspend() {
	if d != nil {
		d.timer.Stop()
	}
}

func (d *watchdog) hasFired() bool { return d != nil && d.fired.Load() }

// stop stops the watchdog and reports whether it has cancelled the attempt.
func (d *watchdog) stop() bool {
	if d == nil {
		return false
	}
	d.timer.Stop()
	return d.hasFired()
}

// prefillTime estimates how long the server reads prompts before the call's first event.
func (r *Router) prefillTime(c *call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.PrefillTime(c.pool.Name, c.ticket)
}
