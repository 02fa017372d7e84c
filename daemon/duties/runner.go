// Package duties runs jobs that must be done by one instance at a time: it acquires the
// duty's lease in the replicated log and does the work while it holds the lease.
package duties

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/duty"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/loop"
)

// Timing of a runner.
const (
	// leaseInterval is the time between two checks of the lease: a tenth of the shortest
	// renewal interval.
	leaseInterval = 100 * time.Millisecond
	// workInterval is the time between two calls of Work.Do.
	workInterval = 100 * time.Millisecond
	// proposeTimeout bounds a commit; it is shorter than the validity of a lease.
	proposeTimeout = 1500 * time.Millisecond
	// releaseTimeout bounds the release of a lease.
	releaseTimeout = 600 * time.Millisecond
)

// ErrNotHolder: another instance holds the duty, or the lease has expired.
var ErrNotHolder = eris.New("not the holder of the duty")

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, c *state.Command) (state.Result, error)
}

// Work is the job of a duty's holder. Do is called periodically by one goroutine while the
// lease is held, and must return soon.
type Work interface {
	Do(ctx context.Context, t *Tenure)
}

// Options configures a Runner.
type Options struct {
	Duty string
	// Holder names this process in leases; Instance names it to external systems.
	Holder, Instance string
	Timing           duty.Timing
	Log              Log
	// State returns the duties' state in this replica's log.
	State func() state.Duties
	Work  Work
}

// Runner claims the lease of one duty and does its work. It is a suture service.
type Runner struct {
	opt Options

	mu       sync.Mutex
	claimant *duty.Claimant
	tenure   *Tenure
}

// New returns the runner of a duty.
func New(o Options) *Runner {
	return &Runner{opt: o, claimant: duty.NewClaimant(o.Holder, o.Timing, boottime.Now(), rand.Float64)}
}

// String names the service in the supervisor's log.
func (r *Runner) String() string { return "duty " + r.opt.Duty }

// Duty returns the name of the duty.
func (r *Runner) Duty() string { return r.opt.Duty }

// Holds reports whether this instance may act.
func (r *Runner) Holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimant.Holds(boottime.Now())
}

// Serve keeps the lease whenever it can until the context ends, and then releases it.
func (r *Runner) Serve(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = loop.Every(ctx, workInterval, func(time.Time) { r.work(ctx) }) // ends with the context
	}()
	err := loop.Every(ctx, leaseInterval, func(time.Time) { r.updateLease(ctx) })
	<-done
	r.release(context.WithoutCancel(ctx), "instance is stopping")
	return err
}

// updateLease reads the lease, and renews or claims it when that is due.
func (r *Runner) updateLease(ctx context.Context) {
	now := boottime.Now()
	r.mu.Lock()
	r.claimant.Observe(now, r.opt.State().Duties[r.opt.Duty].Lease)
	claim, ok := r.claimant.Claim(now)
	r.mu.Unlock()
	if ok {
		r.claim(ctx, now, claim)
	}
}

// claim proposes a claim to the log and reports whether it was granted.
func (r *Runner) claim(ctx context.Context, sent time.Time, claim duty.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := r.opt.Log.Propose(ctx, &state.Command{Type: state.CommandDuty, Duty: &state.DutyCommand{Duty: r.opt.Duty, Claim: claim}})
	if err != nil || res.Lease == nil {
		log.WithFields(log.Fields{"step": "claim duty", "duty": r.opt.Duty, "seen": claim.Expected.Holder}).Debug("no answer; will be tried again")
		return false
	}
	r.applyResult(sent, res)
	if res.Code == state.CodeOK && claim.Expected.Holder != r.opt.Holder && !claim.Release {
		log.WithFields(log.Fields{"step": "claim duty", "duty": r.opt.Duty, "term": res.Lease.Term, "before": claim.Expected.Holder}).Info("duty taken")
	}
	return res.Code == state.CodeOK
}

// applyResult updates the claimant with the lease that results from a command.
func (r *Runner) applyResult(sent time.Time, res state.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := boottime.Now()
	if res.Code == state.CodeOK {
		r.claimant.Granted(now, sent, *res.Lease)
		return
	}
	r.claimant.Observe(now, *res.Lease)
}

func (r *Runner) work(ctx context.Context) {
	r.mu.Lock()
	if !r.claimant.Holds(boottime.Now()) {
		r.tenure = nil
		r.mu.Unlock()
		return
	}
	term := r.claimant.LastLease().Term
	if r.tenure == nil || r.tenure.Term != term {
		r.tenure = &Tenure{Term: term, Since: boottime.Now(), runner: r}
	}
	t := r.tenure
	r.mu.Unlock()
	r.opt.Work.Do(ctx, t)
}

// release releases the lease, so that another instance can claim it immediately.
func (r *Runner) release(ctx context.Context, reason string) {
	now := boottime.Now()
	r.mu.Lock()
	claim, ok := r.claimant.Release(now)
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	released := r.claim(ctx, now, claim)
	entry := log.WithFields(log.Fields{"step": "release duty", "duty": r.opt.Duty, "term": claim.Expected.Term, "reason": reason})
	if !released {
		entry.Info("duty stopped; its lease could not be released and will expire")
		return
	}
	entry.Info("duty given back")
}

// Tenure is the period in which one instance holds a duty.
type Tenure struct {
	// Term is the term of the lease.
	Term uint64
	// Since is the beginning of the tenure on the monotonic clock.
	Since  time.Time
	runner *Runner
}

// Instance returns the holder's name for external systems.
func (t *Tenure) Instance() string { return t.runner.opt.Instance }

// Holds reports whether the holder may act now. Call it right before each external effect,
// as the process may have been suspended since the last call.
func (t *Tenure) Holds() bool {
	r := t.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimant.Holds(boottime.Now()) && r.claimant.LastLease().Term == t.Term
}

// Record commits an effect to the log and returns its fencing token. No effect may be sent
// without being recorded.
func (t *Tenure) Record(ctx context.Context, effect state.EffectCommand) (state.Result, error) {
	r := t.runner
	effect.Duty, effect.Holder, effect.Term = r.opt.Duty, r.opt.Holder, t.Term
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	sent := boottime.Now()
	res, err := r.opt.Log.Propose(ctx, &state.Command{Type: state.CommandEffect, Effect: &effect})
	if err != nil {
		return res, eris.Wrapf(err, "record effect of duty %s", r.opt.Duty)
	}
	if res.Lease != nil {
		r.applyResult(sent, res)
	}
	if res.Code == state.CodeStale || !t.Holds() {
		return res, ErrNotHolder
	}
	if res.Code != state.CodeOK {
		return res, eris.Errorf("record effect of duty %s: %s", r.opt.Duty, res.Message)
	}
	return res, nil
}

// BeginSend reports whether an effect may be sent now and, if so, records that it is about
// to be.
func (t *Tenure) BeginSend() bool {
	if !t.Holds() {
		return false
	}
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.runner.claimant.RecordAction(boottime.Now())
	return true
}

// Release releases the duty for another instance, unless the lease's timing forbids it for
// now.
func (t *Tenure) Release(ctx context.Context, reason string) { t.runner.release(ctx, reason) }
