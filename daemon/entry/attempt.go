package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"cardamomwick.example/core/api"

	"github.com/apex/log"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/backend"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/scheduler"
)

// maxResumes bounds how often one attempt's broken stream is taken up again.
const maxResumes = 3

// execution is one call's way through its attempts.
type execution struct {
	e   *Entry
	c   *call
	out *sink
	// wait ends the waiting for a slot; run ends what was dispatched.
	wait, run context.Context
	// before is asked right before a dispatch; its reply, if any, ends the call.
	before func() *reply
	// exclude lists the servers that failed the call.
	exclude []string
	// uncertain: an attempt failed that may have run.
	uncertain bool
}

// attempts runs a call until it is answered or given up.
func (e *Entry) attempts(wait, run context.Context, c *call, out *sink, before func() *reply) *reply {
	x := &execution{e: e, c: c, out: out, wait: wait, run: run, before: before}
	for n := 1; ; n++ {
		if r := x.attempt(n); r != nil {
			return r
		}
	}
}

// attempt makes the n-th attempt; nil asks for another one.
func (x *execution) attempt(n int) *reply {
	// Attempts, repeats and rounds of recorded calls all come here: without this, one
	// that ends its servers would end one after the other.
	if left, held := x.e.keeper.Held(x.c.requestDigest); held {
		return failed(giveUp(http.StatusServiceUnavailable, api.ErrorRequestQuarantined, quarantine.HeldMessage, x.uncertain).after(left))
	}
	t := x.c.ticket()
	t.Attempt = n
	t.Exclude = x.exclude
	slot, grant, err := x.e.scheduler.Acquire(x.wait, x.c.pool, t, x.c.arrived, x.c.deadline)
	if err != nil {
		return x.e.notGranted(x.c, err, x.uncertain)
	}
	if !x.e.mayDispatch(x.c, grant.Server) {
		slot.Finish(dispatch.Usage{})
		return x.blocked(grant.Server, n)
	}
	if r := x.confirm(grant.Server); r != nil {
		slot.Finish(dispatch.Usage{})
		return r
	}
	x.out.attempt(n)
	run := quarantine.Run{Server: grant.Server, KeepsID: true, Address: grant.Address, Began: time.Now()}
	rep, failure := x.e.try(x.run, x.c, x.target(&grant, n), slot, x.out)
	if failure != nil {
		x.noteBroken(failure, run)
		return x.failed(failure, grant.Server, n)
	}
	x.e.keeper.RecordSuccess(run, x.c.requestDigest())
	return rep
}

// noteBroken tells the quarantine of a run that may have begun and has no answer.
func (x *execution) noteBroken(f *backend.CallError, r quarantine.Run) {
	if f.Failure == retry.FailureUncertain && f.Status == 0 && x.run.Err() == nil {
		r.Reached = f.Reached
		x.e.keeper.RecordBroken(r, x.c.requestDigest())
	}
}

// blocked answers a grant that may not be used: the server was retired since,
// or the lease is gone.
func (x *execution) blocked(server string, n int) *reply {
	if x.e.mayServe(x.c) && n < retry.MaxAttempts {
		x.exclude = append(x.exclude, server)
		return nil
	}
	return failed(giveUp(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry lost its configuration lease", x.uncertain).
		after(time.Second).elsewhere(x.e.otherAddresses(x.c.customer)))
}

// confirm claims what must be claimed, and checks once more after the time
// that this has taken.
func (x *execution) confirm(server string) *reply {
	if x.before == nil {
		return nil
	}
	if r := x.before(); r != nil {
		return r
	}
	if !x.e.mayDispatch(x.c, server) {
		return failed(notRun(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry lost its configuration lease").after(time.Second))
	}
	return nil
}

func (x *execution) target(g *dispatch.Grant, n int) *backend.Target {
	t := &backend.Target{RequestID: x.c.id, Attempt: n, Tier: x.c.policy.Tier, Customer: x.c.customer, Server: g.Server, Address: g.Address}
	if x.e.flatTiers {
		t.Tier = 0
	}
	return t
}

// failed decides about another attempt; nil asks for it.
func (x *execution) failed(f *backend.CallError, server string, n int) *reply {
	x.uncertain = x.uncertain || f.Failure == retry.FailureUncertain
	log.WithError(f).WithFields(log.Fields{"request_id": x.c.id, "class": x.c.class, "step": f.Step, "peer": f.Peer, "attempt": n}).Warn("attempt failed")
	if !x.e.mayRetry(x.run, x.c, f, n) {
		return x.e.gaveUp(x.run, x.c, f, x.uncertain)
	}
	x.exclude = append(x.exclude, server)
	sleep(x.run, retry.Backoff(n+1, rand.Float64()))
	x.e.keeper.AwaitDecision(x.run, x.c.requestDigest) // the end of the context ends the next attempt
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (e *Entry) mayRetry(ctx context.Context, c *call, f *backend.CallError, attempt int) bool {
	if ctx.Err() != nil || !time.Now().Before(c.deadline) || !retry.Allowed(f.Failure, c.policy.Idempotent, attempt) {
		return false
	}
	if f.Status >= 400 && f.Status < 500 {
		return false
	}
	b, unlock := e.budget(c.pool)
	defer unlock()
	return b.Take()
}

func giveUp(status int, t api.ErrorType, message string, uncertain bool) *callError {
	if uncertain {
		return unknown(status, t, message)
	}
	return notRun(status, t, message)
}

// gaveUp is the final answer after a failed attempt, sent at once.
func (e *Entry) gaveUp(ctx context.Context, c *call, f *backend.CallError, uncertain bool) *reply {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.deadline):
		return failed(giveUp(http.StatusGatewayTimeout, api.ErrorDeadlineExpired, "the deadline passed while the call ran", uncertain))
	case f.Status >= 400 && f.Status < 500:
		return failed(giveUp(http.StatusBadGateway, api.ErrorBackendFailed, f.Error(), uncertain))
	}
	return failed(giveUp(http.StatusBadGateway, api.ErrorBackendFailed, f.Error(), uncertain).after(time.Second))
}

// notGranted is the final answer when no slot was given.
func (e *Entry) notGranted(c *call, err error, uncertain bool) *reply {
	var refused *scheduler.RefusedError
	if !errors.As(err, &refused) {
		return failed(giveUp(http.StatusServiceUnavailable, api.ErrorRefused, "the caller left while the call waited", uncertain))
	}
	status, kind := http.StatusServiceUnavailable, api.ErrorRefused
	if refused.Reason == dispatch.ReasonCustomerRate {
		status, kind = http.StatusTooManyRequests, api.ErrorRateLimited
	}
	x := giveUp(status, kind, "not dispatched: "+string(refused.Reason), uncertain).after(refused.RetryAfter)
	x.Reason = string(refused.Reason)
	return failed(x)
}

// try makes one attempt and gives the slot back.
func (e *Entry) try(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot, out *sink) (*reply, *backend.CallError) {
	b, unlock := e.budget(c.pool)
	if t.Attempt == 1 {
		b.RecordAttempt()
	}
	unlock()
	if c.kind == bundle.PoolService {
		return e.tryService(ctx, c, t, slot)
	}
	return e.tryModel(ctx, c, t, slot, out)
}

func (e *Entry) tryService(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot) (*reply, *backend.CallError) {
	key := ""
	if c.key != nil {
		key = c.key.Key
	}
	a, err := backend.Call(ctx, t, c.method, c.path, c.contentType, key, c.body)
	if err != nil {
		f := asCallError(err, t)
		slot.Finish(dispatch.Usage{Fault: ctx.Err() == nil && f.Status == 0})
		return nil, f
	}
	slot.Finish(dispatch.Usage{Completed: true, OutputTokens: 1})
	return &reply{status: a.Status, contentType: a.ContentType, body: a.Body, outcome: state.OutcomeCompleted}, nil
}

func asCallError(err error, t *backend.Target) *backend.CallError {
	var f *backend.CallError
	if errors.As(err, &f) {
		return f
	}
	return &backend.CallError{Failure: retry.FailureUncertain, Step: "attempt", Peer: t.Server, Err: err}
}

// tryModel generates, behind what earlier attempts have generated already.
func (e *Entry) tryModel(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot, out *sink) (*reply, *backend.CallError) {
	text, before := out.partial()
	body, err := c.engineBody(text, before)
	if err != nil {
		slot.Finish(dispatch.Usage{})
		return nil, &backend.CallError{Failure: retry.FailureNotSent, Step: "build engine request", Peer: t.Server, Err: err}
	}
	repeats, f := e.generate(ctx, t, body, slot, out)
	_, now := out.partial()
	if f == nil {
		slot.Finish(dispatch.Usage{Completed: true, OutputTokens: now - before, ExtraRequests: repeats})
		return out.whole(), nil
	}
	if ctx.Err() != nil {
		go backend.Cancel(t)
		e.metrics.Abandoned(c.class, now)
		slot.Finish(dispatch.Usage{OutputTokens: now - before, ExtraRequests: repeats + 1})
		return nil, f
	}
	slot.Finish(dispatch.Usage{Fault: f.Status == 0 || f.Status >= 500, OutputTokens: now - before, ExtraRequests: repeats})
	return nil, f
}

// generate pumps one attempt's stream, resuming it when the connection breaks. It returns
// how often it asked the server for that.
func (e *Entry) generate(ctx context.Context, t *backend.Target, body []byte, slot scheduler.Slot, out *sink) (resumes int, f *backend.CallError) {
	s, err := backend.Open(ctx, t, body)
	if err != nil {
		return 0, asCallError(err, t)
	}
	events := 0
	for {
		n, err := pump(s, slot, out)
		s.Close()
		events += n
		if err == nil && out.complete() {
			return resumes, nil
		}
		if err == nil {
			err = errors.New("stream ended without a finish reason")
		}
		f := asCallError(err, t)
		if ctx.Err() != nil || resumes >= maxResumes {
			return resumes, f
		}
		resumes++
		if s, err = backend.Resume(ctx, t, events); err != nil {
			return resumes, f
		}
	}
}

// pump copies events until the stream ends; nil means the engine's end marker.
func pump(s *backend.Stream, slot scheduler.Slot, out *sink) (int, error) {
	n := 0
	for {
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		n++
		slot.ObserveToken(time.Now())
		out.event(ev)
	}
}
