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

// DutyName is the duty of closing and exporting windows.
const DutyName = "usage"

// ExporterOptions configures an Exporter.
type ExporterOptions struct {
	// Window is the length of the windows; Within is the time after its end in which a
	// window must be acknowledged; Keep is how long acknowledged windows are kept.
	Window, Within, Keep time.Duration
	// MinInterval is the minimum time between two calls to the provider.
	MinInterval time.Duration
	// Reporters returns the processes that observe runs.
	Reporters func() []string
	// Now returns the agreed time of day.
	Now   func() (time.Time, bool)
	State func() state.Duties
	// Provider has no address if usage is not requested: windows are then only recorded.
	Provider provider.Client
}

// Limits of an exporter.
const (
	// waitShare is the share of Within for which the exporter waits for the last reports on
	// a window. The rest is for the export, including a change of the duty's holder.
	waitShare = 0.55
	// maxGap is the maximum number of consecutive empty windows that are exported.
	maxGap = 12
	// retryDelay follows a call that was not acknowledged.
	retryDelay = 400 * time.Millisecond
)

// Exporter implements the usage duty: it closes windows in the log and exports them to the
// provider.
type Exporter struct {
	opt ExporterOptions

	term uint64
	// next is the next window to close, as far as known in this tenure.
	next usage.Window
	// notBefore is the earliest time of the next call to the provider.
	notBefore    time.Time
	reachability provider.Reachability
}

// NewExporter returns an exporter.
func NewExporter(o ExporterOptions) *Exporter { return &Exporter{opt: o} }

// Do implements duties.Work.
func (e *Exporter) Do(ctx context.Context, t *duties.Tenure) {
	now := time.Now()
	if t.Term != e.term {
		e.term, e.next, e.notBefore = t.Term, 0, time.Time{}
		e.reachability.Reset(now)
	}
	d := e.opt.State()
	if record, ok := d.Usage.FirstUnacknowledged(); ok {
		if !now.Before(e.notBefore) {
			e.export(ctx, t, record.Window, &d.Usage)
		}
		return
	}
	agreed, ok := e.opt.Now()
	if !ok {
		return
	}
	if w := e.nextWindow(agreed, &d.Usage); e.due(agreed, w, &d.Usage) {
		e.export(ctx, t, w, &d.Usage)
	}
}

// nextWindow returns the next window to close. After a long time without runs, or without
// the replica group, empty windows are skipped.
func (e *Exporter) nextWindow(agreed time.Time, v *usage.View) usage.Window {
	current := usage.WindowAt(agreed, e.opt.Window)
	if e.next == 0 {
		e.next = current
	}
	if v.Through > 0 {
		e.next = v.Through + 1
	} else if v.FirstOpen > 0 {
		e.next = min(e.next, v.FirstOpen)
	}
	if current-e.next <= maxGap {
		return e.next
	}
	e.next = current - 1
	if v.FirstOpen > 0 {
		e.next = min(e.next, v.FirstOpen)
	}
	return e.next
}

// due reports whether a window is to be closed: all live reporters have reported all its
// runs, or it can't wait any longer.
func (e *Exporter) due(agreed time.Time, w usage.Window, v *usage.View) bool {
	late := agreed.Sub(w.End(e.opt.Window))
	if late <= settleTime {
		return false
	}
	return late >= time.Duration(waitShare*float64(e.opt.Within)) || v.Missing(e.opt.Reporters(), w) == 0
}

// export closes a window unless it is closed already, and sends its counts to the provider.
func (e *Exporter) export(ctx context.Context, t *duties.Tenure, w usage.Window, v *usage.View) {
	e.notBefore = time.Now().Add(retryDelay)
	effect := state.EffectCommand{Close: w}
	if agreed, ok := e.opt.Now(); ok {
		effect.Forget = usage.WindowAt(agreed.Add(-e.opt.Keep), e.opt.Window)
	}
	missing := v.Missing(e.opt.Reporters(), w)
	res, err := t.Record(ctx, effect)
	if err != nil || res.Window == nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "close window", "window": w}).Warn("will be tried again")
		return
	}
	outcome := provider.Accepted
	if e.opt.Provider.Address != "" {
		outcome = e.opt.Provider.Report(ctx, t, res.Fence, *res.Window)
	}
	fields := log.Fields{"step": "report usage", "window": w, "customers": len(res.Window.Counts), "fence": res.Fence,
		"outcome": outcome, "missing": missing, "late": v.Late}
	if agreed, ok := e.opt.Now(); ok {
		fields["age_ms"] = agreed.Sub(w.End(e.opt.Window)).Milliseconds()
	}
	log.WithFields(fields).Info("window closed")
	e.handleOutcome(ctx, t, w, outcome)
}

// handleOutcome records that a window was acknowledged, or releases the duty if this
// instance can't perform it.
func (e *Exporter) handleOutcome(ctx context.Context, t *duties.Tenure, w usage.Window, outcome provider.Outcome) {
	now := time.Now()
	unreachable := e.reachability.Record(now, outcome)
	switch {
	case outcome == provider.Accepted:
		e.notBefore = now.Add(e.opt.MinInterval)
		if _, err := t.Record(ctx, state.EffectCommand{Taken: w}); err != nil {
			log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "note taken window", "window": w}).Warn("acknowledgement not recorded; the window will be reported again with the same counts")
		}
	case outcome == provider.Refused:
		// Reports are only refused after a higher fencing token: another instance has the duty.
		t.Release(ctx, "the provider has seen a higher fence")
	case unreachable:
		t.Release(ctx, provider.ReasonUnreachable)
	}
}
