package usage

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/replica"
)

// Timing of a reporter.
const (
	// windowShare is the report interval as a share of the window length. The runs counted
	// since the last report are lost if the process is killed.
	windowShare = 0.08
	// minInterval and maxInterval bound the report interval.
	minInterval = 400 * time.Millisecond
	maxInterval = 10 * time.Second
	// maxDemandInterval bounds the interval of reports with a demand, which is valid for
	// 2.5 s.
	maxDemandInterval = time.Second
	// intervalPerInstance is the minimum interval per instance. It limits the leader to two
	// hundred reports a second, which take about 2% of a processor.
	intervalPerInstance = 5 * time.Millisecond
	// reportTimeout bounds one report, including the commit.
	reportTimeout = 1500 * time.Millisecond
	// settleTime is the maximum delay from the start of a run until it is recorded: its
	// first event passes two links and waits for this process to be scheduled.
	settleTime = 150 * time.Millisecond
	// finalReportTimeout bounds the final report of a stopping instance.
	finalReportTimeout = 700 * time.Millisecond
)

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Client *replica.Client
	// Instance is the name of this instance, Process the name of its current start.
	Instance, Process string
	// Window is the length of the windows.
	Window time.Duration
	// Instances returns the number of instances.
	Instances func() int
	// ObservesRuns is set if this instance observes runs.
	ObservesRuns bool
}

// Reporter counts the runs that this instance observes, reports them to the leader, and
// keeps the agreed time of day. It is a suture service; safe for concurrent use.
type Reporter struct {
	opt ReporterOptions

	mu    sync.Mutex
	meter *usage.Meter
	clock usage.Clock
	// demands returns the demand for pools as far as this instance knows it.
	demands func() []capacity.Demand
	// failingSince is the time of the first failed report, or of the last warning about
	// failures; zero after a success.
	failingSince time.Time
}

// NewReporter returns a reporter with no counts.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{opt: o, meter: usage.NewMeter(o.Process, o.Window, settleTime),
		demands: func() []capacity.Demand { return nil }}
}

// SetDemands sets the function that returns the demand for pools. Call it before Serve.
func (r *Reporter) SetDemands(f func() []capacity.Demand) { r.demands = f }

// String names the service in the supervisor's log.
func (r *Reporter) String() string { return "usage" }

// Began counts a run that began the given time ago.
func (r *Reporter) Began(customer string, ago time.Duration) {
	if customer == "" {
		return // public routes have no customer to count for
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter.RecordRun(boottime.Now().Add(-ago), customer, time.Now().Add(-ago))
}

// Now returns the agreed time of day; ok is false while it is unknown.
func (r *Reporter) Now() (now time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.At(boottime.Now())
}

// Serve sends reports until the context ends, and then a final one.
func (r *Reporter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.reportFinal(ctx)
			return ctx.Err()
		case <-time.After(r.interval()):
			r.report(ctx, reportTimeout)
		}
	}
}

// reportFinal reports the remaining counts of a stopping instance.
func (r *Reporter) reportFinal(ctx context.Context) {
	r.mu.Lock()
	pending := r.meter.Pending()
	r.mu.Unlock()
	if pending {
		r.report(context.WithoutCancel(ctx), finalReportTimeout)
	}
}

func (r *Reporter) interval() time.Duration {
	if _, ok := r.Now(); !ok {
		return minInterval / 2 // nothing can be reported before the first response
	}
	longest := maxInterval
	if len(r.demands()) > 0 {
		longest = maxDemandInterval
	}
	share := time.Duration(windowShare * float64(r.opt.Window))
	return max(min(share, longest), minInterval, time.Duration(r.opt.Instances())*intervalPerInstance)
}

func (r *Reporter) report(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := reportRequest{Instance: r.opt.Instance, TimeOfDay: time.Now().UnixNano(), Demands: r.demands()}
	r.mu.Lock()
	if _, ok := r.clock.At(boottime.Now()); ok && r.opt.ObservesRuns {
		req.Report = r.meter.NextReport(boottime.Now(), r.agreedTime)
	}
	r.mu.Unlock()
	reply, err := replica.CallLeader[reportReply](ctx, r.opt.Client, methodReport, &req)
	r.recordResult(err)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter.Acknowledged(reply.Counted)
	if reply.Agreed != 0 {
		r.clock.Set(boottime.Now(), time.Unix(0, reply.Agreed))
	}
}

// agreedTime converts a monotonic time to the agreed time of day. Call it with the lock
// held, once the agreed time is known.
func (r *Reporter) agreedTime(monotonic time.Time) time.Time {
	at, _ := r.clock.At(monotonic)
	return at
}

// warnAfter is how long reports may fail before a warning is logged.
const warnAfter = 3 * time.Second

func (r *Reporter) recordResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		r.failingSince = time.Time{}
	case r.failingSince.IsZero():
		r.failingSince = now
	case now.Sub(r.failingSince) >= warnAfter:
		r.failingSince = now
		log.WithError(eris.Cause(err)).WithField("step", "tell usage").Warn("counts of runs are kept until the replica group answers")
	}
}
