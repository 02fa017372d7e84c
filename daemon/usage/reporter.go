package usage

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/state"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/provider"
)

// DutyName is the duty of closing and reporting windows.
const DutyName = "usage"

// ReporterOptions sets up a Reporter.
type ReporterOptions struct {
	// Window is the length of the windows; Within is how long after its end a window must
	// be taken; Keep is how long taken windows are kept.
	Window, Within, Keep time.Duration
	// Pause is the least time between two calls to the provider.
	Pause time.Duration
	// Tellers returns the processes that see runs.
	Tellers func() []string
	// Now is the agreed time of day.
	Now   func() (time.Time, bool)
	State func() state.Duties
	// Provider has no address where nobody asks for usage: windows are then only recorded.
	Provider provider.Client
}

// Limits of a reporter.
const (
	// waitShare of Within is waited for the last reports of a window; the rest is for the
	// report, also through a change of the holder.
	waitShare = 0.55
	// mostGap is how many windows in a row are reported although nothing ran in them.
	mostGap = 12
	// retryPause is the pause after a call that was not taken.
	retryPause = 400 * time.Millisecond
)

// Reporter is the work of the usage duty: it closes windows in the log and reports them.
type Reporter struct {
	opt ReporterOptions

	term uint64
	// next is the window that is closed next, as far as this tenure knows.
	next usage.Window
	// notBefore is when the provider may be called again.
	notBefore time.Time
	reach     provider.Reach
}

// NewReporter returns the work of the usage duty.
func NewReporter(o ReporterOptions) *Reporter { return &Reporter{opt: o} }

// Do implements duties.Work.
func (r *Reporter) Do(ctx context.Context, t *duties.Tenure) {
	now := time.Now()
	if t.Term != r.term {
		r.term, r.next, r.notBefore = t.Term, 0, time.Time{}
		r.reach.Begin(now)
	}
	d := r.opt.State()
	if record, ok := d.Usage.FirstUnacknowledged(); ok {
		if !now.Before(r.notBefore) {
			r.report(ctx, t, record.Window, &d.Usage)
		}
		return
	}
	agreed, ok := r.opt.Now()
	if !ok {
		return
	}
	if w := r.nextWindow(agreed, &d.Usage); r.due(agreed, w, &d.Usage) {
		r.report(ctx, t, w, &d.Usage)
	}
}

// nextWindow returns the window to be closed next. Where nothing ran for long, or the
// group was away, empty windows are passed over.
func (r *Reporter) nextWindow(agreed time.Time, v *usage.View) usage.Window {
	current := usage.WindowAt(agreed, r.opt.Window)
	if r.next == 0 {
		r.next = current
	}
	if v.Through > 0 {
		r.next = v.Through + 1
	} else if v.FirstOpen > 0 {
		r.next = min(r.next, v.FirstOpen)
	}
	if current-r.next <= mostGap {
		return r.next
	}
	r.next = current - 1
	if v.FirstOpen > 0 {
		r.next = min(r.next, v.FirstOpen)
	}
	return r.next
}

// due reports whether a window is to be closed: all that live have told everything, or it
// can't wait any longer.
func (r *Reporter) due(agreed time.Time, w usage.Window, v *usage.View) bool {
	late := agreed.Sub(w.End(r.opt.Window))
	if late <= settleTime {
		return false
	}
	return late >= time.Duration(waitShare*float64(r.opt.Within)) || v.Missing(r.opt.Tellers(), w) == 0
}

// report closes a window, unless it is closed, and reports what it then holds.
func (r *Reporter) report(ctx context.Context, t *duties.Tenure, w usage.Window, v *usage.View) {
	r.notBefore = time.Now().Add(retryPause)
	act := state.EffectCommand{Close: w}
	if agreed, ok := r.opt.Now(); ok {
		act.Forget = usage.WindowAt(agreed.Add(-r.opt.Keep), r.opt.Window)
	}
	missing := v.Missing(r.opt.Tellers(), w)
	res, err := t.Record(ctx, act)
	if err != nil || res.Window == nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "close window", "window": w}).Warn("will be tried again")
		return
	}
	outcome := provider.Accepted
	if r.opt.Provider.Address != "" {
		outcome = r.opt.Provider.Report(ctx, t, res.Fence, *res.Window)
	}
	fields := log.Fields{"step": "report usage", "window": w, "customers": len(res.Window.Counts), "fence": res.Fence,
		"outcome": outcome, "missing": missing, "late": v.Late}
	if agreed, ok := r.opt.Now(); ok {
		fields["age_ms"] = agreed.Sub(w.End(r.opt.Window)).Milliseconds()
	}
	log.WithFields(fields).Info("window closed")
	r.note(ctx, t, w, outcome)
}

// note records that a window was taken, or gives the duty away where this instance can't
// do it.
func (r *Reporter) note(ctx context.Context, t *duties.Tenure, w usage.Window, outcome provider.Outcome) {
	now := time.Now()
	lost := r.reach.Note(now, outcome)
	switch {
	case outcome == provider.Accepted:
		r.notBefore = now.Add(r.opt.Pause)
		if _, err := t.Record(ctx, state.EffectCommand{Taken: w}); err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "note taken window", "window": w}).Warn("it will be reported once more, with the same counts")
		}
	case outcome == provider.Refused:
		// Only a higher fence refuses a report: someone else has the duty.
		t.GiveUp(ctx, "the provider has seen a higher fence")
	case lost:
		t.GiveUp(ctx, provider.OutOfReach)
	}
}
