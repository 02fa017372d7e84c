// Package duties lets one instance at a time do a job that must not be done twice: it
// holds the duty's lease in the replicated log, and does the work meanwhile.
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
	// leasePeriod is how often the lease is looked at: a tenth of the shortest renewal.
	leasePeriod = 100 * time.Millisecond
	// workPeriod is the pause between two rounds of work.
	workPeriod = 100 * time.Millisecond
	// proposeTimeout bounds a commit; it is shorter than a lease is valid.
	proposeTimeout = 1500 * time.Millisecond
	// releaseTimeout bounds the release of the lease while stopping.
	releaseTimeout = 600 * time.Millisecond
)

// ErrNotHolder: the duty has another holder, or its lease has run out.
var ErrNotHolder = eris.New("not the holder of the duty")

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, c *state.Command) (state.Result, error)
}

// Work is what the holder of a duty does. It is called again and again while the lease is
// held, by one goroutine, and returns soon.
type Work interface {
	Do(ctx context.Context, t *Tenure)
}

// Options sets up a Runner.
type Options struct {
	Duty string
	// Owner is this process; Instance is its name towards the outside.
	Owner, Instance string
	Rules           duty.Timing
	Log             Log
	// State is what this replica's log holds.
	State func() state.Duties
	Work  Work
}

// Runner is a suture service.
type Runner struct {
	opt Options

	mu        sync.Mutex
	contender *duty.Claimant
	tenure    *Tenure
}

// New returns the runner of a duty.
func New(o Options) *Runner {
	return &Runner{opt: o, contender: duty.NewClaimant(o.Owner, o.Rules, boottime.Now(), rand.Float64)}
}

// String names the service in the supervisor's log.
func (r *Runner) String() string { return "duty " + r.opt.Duty }

// Duty is the name of the duty.
func (r *Runner) Duty() string { return r.opt.Duty }

// Holds reports whether this instance may act.
func (r *Runner) Holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contender.Holds(boottime.Now())
}

// Serve holds the lease when it can, until the context ends; then it gives it back.
func (r *Runner) Serve(ctx context.Context) error {
	worked := make(chan struct{})
	go func() {
		defer close(worked)
		_ = loop.Every(ctx, workPeriod, func(time.Time) { r.work(ctx) }) // ends with the context
	}()
	err := loop.Every(ctx, leasePeriod, func(time.Time) { r.hold(ctx) })
	<-worked
	r.giveBack(context.WithoutCancel(ctx), "instance stops")
	return err
}

// hold looks at the lease, and renews or claims it when that is due.
func (r *Runner) hold(ctx context.Context) {
	now := boottime.Now()
	r.mu.Lock()
	r.contender.Observe(now, r.opt.State().Duties[r.opt.Duty].Lease)
	claim, ok := r.contender.Claim(now)
	r.mu.Unlock()
	if ok {
		r.claim(ctx, now, claim)
	}
}

// claim asks the log, and reports whether it was granted.
func (r *Runner) claim(ctx context.Context, sent time.Time, claim duty.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := r.opt.Log.Propose(ctx, &state.Command{Type: state.CommandDuty, Duty: &state.DutyCommand{Duty: r.opt.Duty, Claim: claim}})
	if err != nil || res.Lease == nil {
		log.WithFields(log.Fields{"step": "claim duty", "duty": r.opt.Duty, "seen": claim.Expected.Holder}).Debug("no answer; will be tried again")
		return false
	}
	r.take(sent, res)
	if res.Code == state.CodeOK && claim.Expected.Holder != r.opt.Owner && !claim.Release {
		log.WithFields(log.Fields{"step": "claim duty", "duty": r.opt.Duty, "term": res.Lease.Term, "before": claim.Expected.Holder}).Info("duty taken")
	}
	return res.Code == state.CodeOK
}

// take takes the lease that a command has left behind.
func (r *Runner) take(sent time.Time, res state.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := boottime.Now()
	if res.Code == state.CodeOK {
		r.contender.Granted(now, sent, *res.Lease)
		return
	}
	r.contender.Observe(now, *res.Lease)
}

func (r *Runner) work(ctx context.Context) {
	r.mu.Lock()
	if !r.contender.Holds(boottime.Now()) {
		r.tenure = nil
		r.mu.Unlock()
		return
	}
	term := r.contender.LastLease().Term
	if r.tenure == nil || r.tenure.Term != term {
		r.tenure = &Tenure{Term: term, Since: boottime.Now(), runner: r}
	}
	t := r.tenure
	r.mu.Unlock()
	r.opt.Work.Do(ctx, t)
}

// giveBack releases the lease, so that another instance can take it at once.
func (r *Runner) giveBack(ctx context.Context, reason string) {
	now := boottime.Now()
	r.mu.Lock()
	claim, ok := r.contender.Release(now)
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	given := r.claim(ctx, now, claim)
	entry := log.WithFields(log.Fields{"step": "release duty", "duty": r.opt.Duty, "term": claim.Expected.Term, "reason": reason})
	if !given {
		entry.Info("nothing is done any more; the lease runs out by itself")
		return
	}
	entry.Info("duty given back")
}

// Tenure is one instance's time as the holder of a duty.
type Tenure struct {
	// Term is the lease's.
	Term uint64
	// Since is when it began, on the clock that is never set.
	Since  time.Time
	runner *Runner
}

// Instance is the holder's name towards the outside.
func (t *Tenure) Instance() string { return t.runner.opt.Instance }

// Holds reports whether the holder may act now. Ask right before each effect: the process
// may have been suspended since.
func (t *Tenure) Holds() bool {
	r := t.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contender.Holds(boottime.Now()) && r.contender.LastLease().Term == t.Term
}

// Record puts an effect into the log and returns its fence. Nothing may be sent that was
// not recorded.
func (t *Tenure) Record(ctx context.Context, act state.EffectCommand) (state.Result, error) {
	r := t.runner
	act.Duty, act.Holder, act.Term = r.opt.Duty, r.opt.Owner, t.Term
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	sent := boottime.Now()
	res, err := r.opt.Log.Propose(ctx, &state.Command{Type: state.CommandEffect, Effect: &act})
	if err != nil {
		return res, eris.Wrapf(err, "record effect of duty %s", r.opt.Duty)
	}
	if res.Lease != nil {
		r.take(sent, res)
	}
	if res.Code == state.CodeStale || !t.Holds() {
		return res, ErrNotHolder
	}
	if res.Code != state.CodeOK {
		return res, eris.Errorf("record effect of duty %s: %s", r.opt.Duty, res.Message)
	}
	return res, nil
}

// Sending notes that an effect is about to be sent, and reports whether it may be.
func (t *Tenure) Sending() bool {
	if !t.Holds() {
		return false
	}
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.runner.contender.RecordAction(boottime.Now())
	return true
}

// GiveUp gives the duty to another instance, once the rules allow it.
func (t *Tenure) GiveUp(ctx context.Context, reason string) { t.runner.giveBack(ctx, reason) }
