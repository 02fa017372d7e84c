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

// Timing of a teller.
const (
	// tellShare of a window passes between two reports: what a process that ends has not
	// told is lost.
	tellShare = 0.08
	// leastPeriod and mostPeriod bound that time.
	leastPeriod = 400 * time.Millisecond
	mostPeriod  = 10 * time.Second
	// demandPeriod bounds it where the demand is told too, which counts for 2.5 s.
	demandPeriod = time.Second
	// periodEach is what each instance adds to the least time: the leader takes two hundred
	// reports a second, some 2% of a processor.
	periodEach = 5 * time.Millisecond
	// tellTimeout bounds one report, the commit included.
	tellTimeout = 1500 * time.Millisecond
	// settleTime is how long after its begin a run may be noted: its first event passes
	// two links and waits for this process to run.
	settleTime = 150 * time.Millisecond
	// lastTimeout bounds the last report of an instance that stops.
	lastTimeout = 700 * time.Millisecond
)

// TellerOptions sets up a Teller.
type TellerOptions struct {
	Client *replica.Client
	// Instance is this one's name, Process the name of its present start.
	Instance, Process string
	// Window is the length of the windows.
	Window time.Duration
	// Instances returns how many there are.
	Instances func() int
	// Counts: this instance sees runs.
	Counts bool
}

// Teller counts the runs that this instance sees, tells them to the leader, and holds the
// agreed time of day. It is a suture service; safe for concurrent use.
type Teller struct {
	opt TellerOptions

	mu    sync.Mutex
	meter *usage.Meter
	clock usage.Clock
	// demands returns the demand for pools where this instance knows it.
	demands func() []capacity.Demand
	// silentSince is when a report was first left without an answer; zero otherwise.
	silentSince time.Time
}

// NewTeller returns a teller that has counted nothing.
func NewTeller(o TellerOptions) *Teller {
	return &Teller{opt: o, meter: usage.NewMeter(o.Process, o.Window, settleTime),
		demands: func() []capacity.Demand { return nil }}
}

// OnDemands sets what knows the demand for pools. Call it before Serve.
func (t *Teller) OnDemands(f func() []capacity.Demand) { t.demands = f }

// String names the service in the supervisor's log.
func (t *Teller) String() string { return "usage" }

// Began counts a run that began some time ago.
func (t *Teller) Began(customer string, ago time.Duration) {
	if customer == "" {
		return // public routes have no customer to count for
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.RecordRun(boottime.Now().Add(-ago), customer, time.Now().Add(-ago))
}

// Now returns the agreed time of day; ok is false while none was told.
func (t *Teller) Now() (now time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.At(boottime.Now())
}

// Serve tells until the context ends, and then once more.
func (t *Teller) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			t.last(ctx)
			return ctx.Err()
		case <-time.After(t.period()):
			t.tell(ctx, tellTimeout)
		}
	}
}

// last tells what an instance that stops has not told.
func (t *Teller) last(ctx context.Context) {
	t.mu.Lock()
	pending := t.meter.Pending()
	t.mu.Unlock()
	if pending {
		t.tell(context.WithoutCancel(ctx), lastTimeout)
	}
}

func (t *Teller) period() time.Duration {
	if _, ok := t.Now(); !ok {
		return leastPeriod / 2 // nothing can be told before the first answer
	}
	most := mostPeriod
	if len(t.demands()) > 0 {
		most = demandPeriod
	}
	share := time.Duration(tellShare * float64(t.opt.Window))
	return max(min(share, most), leastPeriod, time.Duration(t.opt.Instances())*periodEach)
}

func (t *Teller) tell(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := tellRequest{Instance: t.opt.Instance, TimeOfDay: time.Now().UnixNano(), Demands: t.demands()}
	t.mu.Lock()
	if _, ok := t.clock.At(boottime.Now()); ok && t.opt.Counts {
		req.Report = t.meter.NextReport(boottime.Now(), t.agreed)
	}
	t.mu.Unlock()
	reply, err := replica.CallLeader[tellReply](ctx, t.opt.Client, methodTell, &req)
	t.note(err)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.Acknowledged(reply.Counted)
	if reply.Agreed != 0 {
		t.clock.Set(boottime.Now(), time.Unix(0, reply.Agreed))
	}
}

// agreed turns a steady time into the agreed time of day. Call it with the lock held, once
// there is one.
func (t *Teller) agreed(steady time.Time) time.Time {
	at, _ := t.clock.At(steady)
	return at
}

// lostAfter is how long reports may stay without an answer before that is logged.
const lostAfter = 3 * time.Second

func (t *Teller) note(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		t.silentSince = time.Time{}
	case t.silentSince.IsZero():
		t.silentSince = now
	case now.Sub(t.silentSince) >= lostAfter:
		t.silentSince = now
		log.WithError(eris.Cause(err)).WithField("step", "tell usage").Warn("counts of runs are kept until the replica group answers")
	}
}
