package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/api"

	"github.com/apex/log"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/loop"
)

const (
	takeOverInterval = time.Second
	takeOverBatch    = 32
	takeOverRole     = "role/takeover"
)

// executeDurable records the call first. From then on it is run until it ends, by this
// instance or, if this one fails, by another.
func (e *Entry) executeDurable(ctx context.Context, c *call, out *sink) *reply {
	cmd := e.command(state.CommandAccept, c)
	cmd.Call.Request = &state.StoredRequest{Method: c.method, Path: c.path, ContentType: c.contentType, Body: c.body}
	res, err := e.replicas.Propose(ctx, cmd)
	if err != nil {
		return errorReply(unknown(http.StatusServiceUnavailable, api.ErrorReplicasUnavailable, "the replicas did not answer; ask again with the same key").
			withRetryAfter(time.Second).withAddresses(e.otherAddresses(c.customer)))
	}
	if rep := e.claimResult(c, &res); rep != nil {
		return rep
	}
	ctx, answer := context.WithCancel(ctx)
	defer answer()
	var quarantined atomic.Pointer[reply]
	onQuarantine := func(r *reply) {
		quarantined.Store(r)
		answer() // the caller gets its answer now; the call continues without it
	}
	return e.runDetached(ctx, out, func() *reply { return e.runDurable(c, out, onQuarantine) }, func() *reply {
		x := unknown(http.StatusAccepted, api.ErrorAcceptedNotFinished, "the call is recorded and will be run; ask again with the same key for its answer").withRetryAfter(time.Second)
		if r := quarantined.Load(); r != nil {
			x.Message = "the call is recorded, but " + r.err.Message
			x.RetryAfterMillis = r.err.RetryAfterMillis
		}
		return errorReply(x)
	})
}

// runDurable runs the call in rounds until it has ended. During a shutdown, a call that
// is not dispatched yet is left to another instance. onQuarantine is called whenever the
// call is in quarantine.
func (e *Entry) runDurable(c *call, out *sink, onQuarantine func(*reply)) *reply {
	for {
		r := e.durableRound(c, out)
		switch {
		case r.outcome == state.OutcomeCompleted && !r.recorded:
			e.record(c, r)
			return r
		case r.recorded || r.outcome == state.OutcomeUnknown && !c.policy.Idempotent:
			return r
		case e.draining.Load():
			return errorReply(unknown(http.StatusAccepted, api.ErrorAcceptedNotFinished, "the call is recorded; another instance will run it").withRetryAfter(time.Second))
		}
		log.WithFields(log.Fields{"request_id": c.id, "class": c.class, "step": "durable round", "outcome": string(r.outcome)}).Info("durable call will be tried again")
		if r.err == nil || r.err.Type != api.ErrorRequestQuarantined {
			time.Sleep(durableRetryInterval)
			continue
		}
		onQuarantine(r)
		e.waitInQuarantine(time.Duration(r.err.RetryAfterMillis) * time.Millisecond)
	}
}

// waitInQuarantine waits for the given time, at most maxQuarantineWait and only until a
// shutdown.
func (e *Entry) waitInQuarantine(left time.Duration) {
	for until := time.Now().Add(min(maxQuarantineWait, left)); time.Now().Before(until) && !e.draining.Load(); {
		time.Sleep(durableRetryInterval)
	}
}

func (e *Entry) durableRound(c *call, out *sink) *reply {
	round := *c
	round.deadline = time.Now().Add(durableRoundTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), round.deadline)
	defer cancel()
	if c.policy.Idempotent {
		return e.attempts(ctx, ctx, &round, out, nil)
	}
	return e.claimAndRun(ctx, &round, out)
}

// String names the take-over service in the supervisor's log.
func (e *Entry) String() string { return "take-over of durable calls" }

// Serve takes over durable calls whose instance is gone and runs them. One instance at a
// time has this role. If two have it for a while, the replicated log lets only one of
// them take over a call.
func (e *Entry) Serve(ctx context.Context) error {
	return loop.Every(ctx, takeOverInterval, func(time.Time) {
		if !e.draining.Load() && e.holder.Fresh() && e.gossip.Holds(takeOverRole) {
			e.takeOver(ctx)
		}
	})
}

func (e *Entry) takeOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeOverInterval)
	defer cancel()
	var alive []string
	for _, i := range e.gossip.Instances() {
		alive = append(alive, i.Owner())
	}
	orphans, err := e.replicas.Orphans(ctx, alive, takeOverBatch)
	if err != nil {
		return
	}
	for _, o := range orphans {
		e.adopt(ctx, o)
	}
}

// adopt takes over one call and runs it.
func (e *Entry) adopt(ctx context.Context, o state.Orphan) {
	id := newID()
	cmd := &state.Command{Type: state.CommandTakeOver, Call: &state.CallCommand{Key: o.Key, CallID: id, Owner: e.owner, PreviousOwner: o.Owner}}
	res, err := e.replicas.Propose(ctx, cmd)
	if err != nil || res.Code != state.CodeOK {
		return
	}
	c := e.rebuild(id, res.Record)
	if c == nil {
		return
	}
	log.WithFields(log.Fields{"request_id": id, "class": c.class, "step": "take over", "previous": o.Owner}).Info("durable call taken over")
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		e.runDurable(c, newSink(nil, c), func(*reply) {})
	}()
}

// rebuild reconstructs a call from its record. It returns nil if that is impossible.
func (e *Entry) rebuild(id string, rec *state.CallRecord) *call {
	cfg := e.holder.Config()
	if cfg.Bundle == nil || rec.Request == nil {
		return nil
	}
	policy, ok := cfg.Bundle.Classes[rec.Class]
	if !ok {
		policy = bundle.Class{Tier: 1, Idempotent: rec.Idempotent, Durable: true}
	}
	policy.Idempotent = rec.Idempotent
	key := rec.Key
	c := &call{id: id, callID: id, customer: key.Customer, class: rec.Class, policy: policy, pool: key.Pool, kind: cfg.Bundle.Pools[key.Pool].Kind,
		generation: cfg.Generation, arrived: time.Now(), method: rec.Request.Method, path: rec.Request.Path,
		contentType: rec.Request.ContentType, body: rec.Request.Body, key: &key, digest: rec.RequestDigest}
	if c.kind == bundle.PoolModel {
		if c.parseChat() != nil {
			return nil
		}
		c.chat.stream = false
	}
	return c
}
