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
	// outcomeTimeout is how long after the deadline, when the caller has its answer, the
	// entry still waits for an outcome to record.
	outcomeTimeout = time.Minute
	// deadlineGrace is how long after the deadline the caller's answer waits for the
	// result of a call that is just ending.
	deadlineGrace = 100 * time.Millisecond
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 3 * time.Second
	// claimTimeout bounds a claim.
	claimTimeout = 3 * time.Second
	// durableRetryInterval is the wait between two rounds of a durable call.
	durableRetryInterval = 500 * time.Millisecond
	// maxQuarantineWait bounds the wait of a quarantined durable call until its next
	// round: the request may be cleared before its hold ends.
	maxQuarantineWait = 30 * time.Second
	// durableRoundTimeout bounds one round's wait for a slot.
	durableRoundTimeout = 30 * time.Second
)

// execute runs a validated call and returns its final answer.
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

// runDetached runs f, which may continue after the caller has its answer. If the context
// ends before f, the caller gets the reply that deadlineReply returns.
func (e *Entry) runDetached(ctx context.Context, out *sink, f func() *reply, deadlineReply func() *reply) *reply {
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
	// A call that ends by itself at the deadline has a more precise outcome than
	// deadlineReply.
	select {
	case r := <-done:
		return r
	case <-time.After(deadlineGrace):
		out.detach()
		return deadlineReply()
	}
}

// executeOnce runs a call that must not run twice. Its key is claimed in the replicated
// log at dispatch, not on arrival, so that a call that is never dispatched leaves no
// claim.
func (e *Entry) executeOnce(ctx context.Context, c *call, out *sink) *reply {
	wait, cancelWait := context.WithCancelCause(ctx)
	defer cancelWait(nil)
	known := make(chan *reply, 1)
	go func() {
		if rec, found, err := e.replicas.Lookup(wait, *c.key); err == nil && found && rec.CallID != c.callID {
			known <- e.replyToRetry(c, &rec)
			cancelWait(errKnownCall)
		}
	}()
	r := e.runDetached(ctx, out, func() *reply { return e.claimAndRun(wait, c, out) }, func() *reply {
		return errorReply(unknown(http.StatusGatewayTimeout, api.ErrorCallInProgress, "the deadline passed; ask again with the same key").withRetryAfter(time.Second))
	})
	select {
	case rep := <-known:
		return rep
	default:
		return r
	}
}

var errKnownCall = eris.New("the call is known already")

// replyToRetry answers a retry, a call whose key is already recorded.
func (e *Entry) replyToRetry(c *call, rec *state.CallRecord) *reply {
	if rec.RequestDigest != c.digest {
		return errorReply(notRun(http.StatusUnprocessableEntity, api.ErrorIdempotencyConflict, "the idempotency key was used for another request"))
	}
	return recordedReply(rec)
}

func (e *Entry) claimAndRun(wait context.Context, c *call, out *sink) *reply {
	run, cancel := context.WithDeadline(context.WithoutCancel(wait), c.deadline.Add(outcomeTimeout))
	defer cancel()
	claimed := false
	r := e.attempts(wait, run, c, out, func() *reply {
		if claimed {
			return nil
		}
		// The call of a caller that has left is not claimed, so that it can be sent again.
		if wait.Err() != nil {
			return errorReply(notRun(http.StatusServiceUnavailable, api.ErrorRefused, "the caller left while the call waited"))
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

// claim claims the call's key in the replicated log. It returns nil if the call may be
// dispatched.
func (e *Entry) claim(c *call) *reply {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	res, err := e.replicas.Propose(ctx, e.command(state.CommandClaim, c))
	if err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "claim"}).Warn("claim failed")
		go e.release(c) // the claim may have been committed all the same
		return errorReply(notRun(http.StatusServiceUnavailable, api.ErrorReplicasUnavailable, "the replicas can't be reached; the call was not sent").
			withRetryAfter(time.Second).withAddresses(e.otherAddresses(c.customer)))
	}
	return e.claimResult(c, &res)
}

func (e *Entry) claimResult(c *call, res *state.Result) *reply {
	switch res.Code {
	case state.CodeOK:
		return nil
	case state.CodeExpired:
		return errorReply(notRun(http.StatusBadRequest, api.ErrorIdempotencyKey, "the key's time is older than what is remembered, or ahead of the clock; make a new key"))
	case state.CodeConflict:
		return errorReply(notRun(http.StatusUnprocessableEntity, api.ErrorIdempotencyConflict, res.Message))
	case state.CodeExists:
		return recordedReply(res.Record)
	}
	return errorReply(notRun(http.StatusServiceUnavailable, api.ErrorReplicasUnavailable, "the claim was refused: "+string(res.Code)).withRetryAfter(time.Second))
}

func (e *Entry) command(t state.CommandType, c *call) *state.Command {
	return &state.Command{Type: t, Call: &state.CallCommand{Key: *c.key, CallID: c.callID, Owner: e.owner,
		RequestDigest: c.digest, Class: c.class, Idempotent: c.policy.Idempotent}}
}

func (e *Entry) release(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := e.replicas.Propose(ctx, e.command(state.CommandRelease, c)); err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "release claim"}).Warn("retries with this key will be told unknown")
	}
}

// record stores a claimed call's outcome before its caller gets it, so that retries get
// the same answer. The claim of a call that was not run is released.
func (e *Entry) record(c *call, r *reply) {
	if r.outcome == state.OutcomeNotRun {
		e.release(c)
		return
	}
	cmd := e.command(state.CommandFinish, c)
	cmd.Call.Answer = r.storedAnswer()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := e.replicas.Propose(ctx, cmd); err != nil {
		log.WithError(err).WithFields(log.Fields{"request_id": c.id, "step": "record outcome"}).Warn("retries with this key will be told unknown")
	}
}
