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

// maxResumes bounds how often one attempt's broken stream is resumed.
const maxResumes = 3

// execution is the state of a call over its attempts.
type execution struct {
	entry *Entry
	call  *call
	out   *sink
	// wait bounds the wait for a slot, run the attempts that were dispatched.
	wait, run context.Context
	// claim, if set, is called right before each dispatch; a reply ends the call.
	claim func() *reply
	// excluded lists the servers that must not be used again for this call.
	excluded []string
	// mayHaveRun is set once an attempt that may have run has failed.
	mayHaveRun bool
}

// attempts makes attempts until the call is answered or no other attempt is allowed.
func (e *Entry) attempts(wait, run context.Context, c *call, out *sink, claim func() *reply) *reply {
	x := &execution{entry: e, call: c, out: out, wait: wait, run: run, claim: claim}
	for n := 1; ; n++ {
		if r := x.attempt(n); r != nil {
			return r
		}
	}
}

// attempt makes the n-th attempt. It returns nil if another one is to be made.
func (x *execution) attempt(n int) *reply {
	// All attempts of all calls pass here, those of retries and recorded calls included.
	// Without this check, a request that crashes servers would crash one after another.
	if hold, held := x.entry.quarantine.Held(x.call.requestDigest, nil); held {
		return errorReply(callErrorFor(http.StatusServiceUnavailable, api.ErrorRequestQuarantined, hold.Message(), x.mayHaveRun).withRetryAfter(hold.Left))
	}
	t := x.call.ticket()
	t.Attempt = n
	t.Exclude = x.excluded
	slot, grant, err := x.entry.scheduler.Acquire(x.wait, x.call.pool, t, x.call.arrived, x.call.deadline)
	if err != nil {
		return x.entry.refusalReply(x.call, err, x.mayHaveRun)
	}
	if !x.entry.mayDispatch(x.call, grant.Server) {
		slot.Finish(dispatch.Usage{})
		return x.blockedReply(grant.Server, n)
	}
	if r := x.confirm(grant.Server); r != nil {
		slot.Finish(dispatch.Usage{})
		return r
	}
	x.out.setAttempt(n)
	run := quarantine.Run{Server: grant.Server, KeepsID: true, Address: grant.Address, Began: time.Now()}
	rep, failure := x.entry.runAttempt(x.run, x.call, x.target(&grant, n), slot, x.out)
	if failure != nil {
		x.reportBroken(failure, run)
		return x.handleFailure(failure, grant.Server, n)
	}
	x.entry.quarantine.RecordSuccess(run, x.call.requestDigest())
	return rep
}

// reportBroken reports a run that may have begun and has no answer to the quarantine.
func (x *execution) reportBroken(f *backend.CallError, r quarantine.Run) {
	if f.Failure == retry.FailureUncertain && f.Status == 0 && x.run.Err() == nil {
		r.Reached = f.Reached
		x.entry.quarantine.RecordBroken(r, x.call.requestDigest())
	}
}

// blockedReply handles a grant that may not be used, because the server has been retired
// since or the lease has expired. It returns nil if another attempt is to be made.
func (x *execution) blockedReply(server string, n int) *reply {
	if x.entry.mayServe(x.call) && n < retry.MaxAttempts {
		x.excluded = append(x.excluded, server)
		return nil
	}
	return errorReply(callErrorFor(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry lost its configuration lease", x.mayHaveRun).
		withRetryAfter(time.Second).withAddresses(x.entry.otherAddresses(x.call.customer)))
}

// confirm claims the call if necessary and repeats the dispatch check, since the claim
// takes time. A reply ends the call.
func (x *execution) confirm(server string) *reply {
	if x.claim == nil {
		return nil
	}
	if r := x.claim(); r != nil {
		return r
	}
	if !x.entry.mayDispatch(x.call, server) {
		return errorReply(notRun(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this entry lost its configuration lease").withRetryAfter(time.Second))
	}
	return nil
}

func (x *execution) target(g *dispatch.Grant, n int) *backend.Target {
	t := &backend.Target{RequestID: x.call.id, Attempt: n, Tier: x.call.policy.Tier, Customer: x.call.customer, Server: g.Server, Address: g.Address, Memory: x.entry.answers}
	if x.entry.ignoreTiers {
		t.Tier = 0
	}
	return t
}

// handleFailure returns the final answer after a failed attempt, or nil if another one is
// to be made.
func (x *execution) handleFailure(f *backend.CallError, server string, n int) *reply {
	x.mayHaveRun = x.mayHaveRun || f.Failure == retry.FailureUncertain
	log.WithError(f).WithFields(log.Fields{"request_id": x.call.id, "class": x.call.class, "step": f.Step, "peer": f.Peer, "attempt": n}).Warn("attempt failed")
	if !x.entry.mayRetry(x.run, x.call, f, n) {
		return x.entry.failureReply(x.run, x.call, f, x.mayHaveRun)
	}
	x.excluded = append(x.excluded, server)
	sleep(x.run, retry.Backoff(n+1, rand.Float64()))
	x.entry.quarantine.AwaitDecision(x.run, x.call.requestDigest, nil) // if the context ends, so does the next attempt
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

// callErrorFor returns an error with the outcome unknown if the call may have run, and
// not_run otherwise.
func callErrorFor(status int, t api.ErrorType, message string, mayHaveRun bool) *callError {
	if mayHaveRun {
		return unknown(status, t, message)
	}
	return notRun(status, t, message)
}

// failureReply returns the final answer after the last failed attempt.
func (e *Entry) failureReply(ctx context.Context, c *call, f *backend.CallError, mayHaveRun bool) *reply {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.deadline):
		return errorReply(callErrorFor(http.StatusGatewayTimeout, api.ErrorDeadlineExpired, "the deadline passed while the call ran", mayHaveRun))
	case f.Status >= 400 && f.Status < 500:
		return errorReply(callErrorFor(http.StatusBadGateway, api.ErrorBackendFailed, f.Error(), mayHaveRun))
	}
	return errorReply(callErrorFor(http.StatusBadGateway, api.ErrorBackendFailed, f.Error(), mayHaveRun).withRetryAfter(time.Second))
}

// refusalReply returns the final answer to a call that was granted no slot.
func (e *Entry) refusalReply(c *call, err error, mayHaveRun bool) *reply {
	var refused *scheduler.RefusedError
	if !errors.As(err, &refused) {
		return errorReply(callErrorFor(http.StatusServiceUnavailable, api.ErrorRefused, "the caller left while the call waited", mayHaveRun))
	}
	status, kind := http.StatusServiceUnavailable, api.ErrorRefused
	if refused.Reason == dispatch.ReasonCustomerRate {
		status, kind = http.StatusTooManyRequests, api.ErrorRateLimited
	}
	x := callErrorFor(status, kind, "not dispatched: "+string(refused.Reason), mayHaveRun).withRetryAfter(refused.RetryAfter)
	x.Reason = string(refused.Reason)
	return errorReply(x)
}

// runAttempt runs one dispatched attempt and releases the slot.
func (e *Entry) runAttempt(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot, out *sink) (*reply, *backend.CallError) {
	b, unlock := e.budget(c.pool)
	if t.Attempt == 1 {
		b.RecordAttempt()
	}
	unlock()
	if c.kind == bundle.PoolService {
		return e.runService(ctx, c, t, slot)
	}
	return e.runModel(ctx, c, t, slot, out)
}

func (e *Entry) runService(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot) (*reply, *backend.CallError) {
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

// runModel generates, continuing after the text that earlier attempts have generated.
func (e *Entry) runModel(ctx context.Context, c *call, t *backend.Target, slot scheduler.Slot, out *sink) (*reply, *backend.CallError) {
	text, before := out.partial()
	body, err := c.engineBody(text, before)
	if err != nil {
		slot.Finish(dispatch.Usage{})
		return nil, &backend.CallError{Failure: retry.FailureNotSent, Step: "build engine request", Peer: t.Server, Err: err}
	}
	resumes, f := e.generate(ctx, t, body, slot, out)
	_, now := out.partial()
	if f == nil {
		slot.Finish(dispatch.Usage{Completed: true, OutputTokens: now - before, ExtraRequests: resumes})
		return out.completionReply(), nil
	}
	if ctx.Err() != nil {
		go backend.Cancel(t)
		e.metrics.Abandoned(c.class, now)
		slot.Finish(dispatch.Usage{OutputTokens: now - before, ExtraRequests: resumes + 1})
		return nil, f
	}
	slot.Finish(dispatch.Usage{Fault: f.Status == 0 || f.Status >= 500, OutputTokens: now - before, ExtraRequests: resumes})
	return nil, f
}

// generate copies one attempt's stream to out and resumes it when the connection breaks.
// It returns the number of resumptions that it requested.
func (e *Entry) generate(ctx context.Context, t *backend.Target, body []byte, slot scheduler.Slot, out *sink) (resumes int, f *backend.CallError) {
	s, err := backend.Open(ctx, t, body)
	if err != nil {
		return 0, asCallError(err, t)
	}
	events := 0
	for {
		n, err := copyEvents(s, slot, out)
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

// copyEvents copies events to out until the stream ends, and returns their number. The
// error is nil only after the engine's end marker.
func copyEvents(s *backend.Stream, slot scheduler.Slot, out *sink) (int, error) {
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
		out.writeEvent(ev)
	}
}
