package entry

import (
	"context"
	"net/http"
	"time"

	"cardamomwick.example/core/api"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/state"
)

const (
	// lingerAfterDeadline is how long an outcome is still awaited for the
	// record after the caller got its answer.
	lingerAfterDeadline = time.Minute
	// deadlineGrace is how long past the deadline a call's own end is awaited.
	deadlineGrace = 100 * time.Millisecond
	// recordTimeout bounds the wait for an outcome to be recorded.
	recordTimeout = 3 * time.Second
	// claimTimeout bounds a claim.
	claimTimeout = 3 * time.Second
	// durablePause is the wait between two rounds for a durable call.
	durablePause = 500 * time.Millisecond
	// quarantinePause is the longest wait for a durable call that is kept from the
	// servers: it may be cleared sooner than its hold ends.
	quarantinePause = 30 * time.Second
	// durableRound bounds one round's wait for a slot.
	durableRound = 30 * time.Second
)

// execute runs a checked call and returns its final answer.
func (e *Entry) execute(ctx context.Context, c *call, out *sink) *reply {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	switch {
	case c.policy.Durable:
		return e.executeDurable(ctx, c, out)
	case c.key != nil:
		return e.executeOnce(ctx, c, out)
	}
	return e.attempts(ctx, ctx, c, out, nil)
}

// detached runs f, which goes on after the caller has its answer; the caller
// waits until its context ends.
func (e *Entry) detached(ctx context.Context, out *sink, f func() *reply, late func() *reply) *reply {
	done := make(chan *reply, 1)
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		done <- f()
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
	}
	// A call that ends by itself at the deadline knows more than "unknown".
	select {
	case r := <-done:
		return r
	case <-time.After(deadlineGrace):
		out.detach()
		return late()
	}
}

// executeOnce runs a call that must not run twice. The key is claimed in the
// log at dispatch, not at arrival: a call that dies in a queue was never
// claimed.
func (e *Entry) executeOnce(ctx context.Context, c *call, out *sink) *reply {
	wait, stopWaiting := context.WithCancelCause(ctx)
	defer stopWaiting(nil)
	known := make(chan *reply, 1)
	go func() {
		if rec, found, err := e.replicas.Lookup(wait, *c.key); err == nil && found && rec.CallID != c.callID {
			known <- e.repeat(c, &rec)
			stopWaiting(errRepeat)
		}
	}()
	r := e.detached(ctx, out, func() *reply { return e.claimAndRun(wait, c, out) }, func() *reply {
		return failed(unknown(http.StatusGatewayTimeout, api.ErrorCallInProgress, "the deadline passed; ask again with the same key").after(time.Second))
	})
	select {
	case rep := <-known:
		return rep
	default:
		return r
	}
}

var errRepeat = eris.New("the call is known already")

// repeat answers a call whose key is recorded.
func (e *Entry) repeat(c *call, rec *state.CallRecord) *reply {
	if rec.RequestDigest != c.digest {
		return failed(notRun(http.StatusUnprocessableEntity, api.ErrorIdempotencyConflict, "the idempotency key was used for another request"))
	}
	return recorded(rec)
}

func (e *Entry) claimAndRun(wait context.Context, c *call, out *sink) *reply {
	run, cancel := context.WithDeadline(context.WithoutCancel(wait), c.deadline.Add(lingerAfterDeadline))
	defer cancel()
	claimed := false
	r := e.attempts(wait, run, c, out, func() *reply {
		if claimed {
			return nil
		}
		// A dead caller's call is not claimed: it can be sent again safely.
		if wait.Err() != nil {
			return failed(notRun(http.StatusServiceUnavailable, api.ErrorRefused, "the caller left while the call waited"))
		}
		rep := e.claim(c)
		claimed = rep == nil
		return rep
	})
	if claimed {
		e.record(c, r)
	}
	return r
}

// claim asks for the right to dispatch; nil means granted.
func (e *Entry) claim(c *call) *reply {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	res, err := e.replicas.Propose(ctx, e.command(state.CommandClaim, c))
	if err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "claim"}).Warn("no claim")
		go e.release(c) // the claim may be committed; this entry will not use it
		return failed(notRun(http.StatusServiceUnavailable, api.ErrorReplicasUnavailable, "the replicas can't be reached; the call was not sent").
			after(time.Second).elsewhere(e.otherAddresses(c.customer)))
	}
	return e.claimResult(c, &res)
}

func (e *Entry) claimResult(c *call, res *state.Result) *reply {
	switch res.Code {
	case state.CodeOK:
		return nil
	case state.CodeExpired:
		return failed(notRun(http.StatusBadRequest, api.ErrorIdempotencyKey, "the key's time is older than what is remembered, or ahead of the clock; make a new key"))
	case state.CodeConflict:
		return failed(notRun(http.StatusUnprocessableEntity, api.ErrorIdempotencyConflict, res.Message))
	case state.CodeExists:
		return recorded(res.Record)
	}
	return failed(notRun(http.StatusServiceUnavailable, api.ErrorReplicasUnavailable, "the claim was refused: "+string(res.Code)).after(time.Second))
}

func (e *Entry) command(t state.CommandType, c *call) *state.Command {
	return &state.Command{Type: t, Call: &state.CallCommand{Key: *c.key, CallID: c.callID, Owner: e.owner,
		RequestDigest: c.digest, Class: c.class, Idempotent: c.policy.Idempotent}}
}

func (e *Entry) release(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := e.replicas.Propose(ctx, e.command(state.CommandRelease, c)); err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "release claim"}).Warn("repeats of this key will be told unknown")
	}
}

// record writes a claimed call's outcome before its caller learns it, so that
// a repeat gets the same. A call that was not run gives its claim back.
func (e *Entry) record(c *call, r *reply) {
	if r.outcome == state.OutcomeNotRun {
		e.release(c)
		return
	}
	cmd := e.command(state.CommandFinish, c)
	cmd.Call.Answer = r.stored()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := e.replicas.Propose(ctx, cmd); err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "record outcome"}).Warn("repeats of this key will be told unknown")
	}
}
