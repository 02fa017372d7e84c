// Package lease keeps an instance's configuration fresh. A lease is a round
// trip that a quorum of replicas stood behind, counted from the moment at which
// the request was sent, on a clock that goes on while the machine is suspended. A round trip begun
// after a change was committed carries the change; one begun before has run
// out one lease length later. So nothing older than that is ever acted on.
package lease

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/loop"
	"cardamomwick.example/daemon/replica"
)

// Timing of leases.
const (
	// renewPeriod is the pause between two round trips.
	renewPeriod = 300 * time.Millisecond
	// tryTimeout bounds one round trip, so that its late answer is still worth
	// something.
	tryTimeout = 1200 * time.Millisecond
)

// wholeUpdate asks for the full configuration: no generation is that high.
const wholeUpdate = math.MaxUint64

// Source answers lease requests; replica.Client is one.
type Source interface {
	Lease(ctx context.Context, generation uint64) (replica.Lease, error)
}

// Holder holds the lease of one instance. It is a suture service.
type Holder struct {
	source   Source
	onChange []func(state.Config)
	isolated func(bool)

	mu     sync.Mutex
	group  uint64
	lapsed bool
	// now is boottime.Now; tests suspend the machine with it.
	now func() time.Time
	// history is what this instance passes on to others.
	history    state.History
	config     atomic.Pointer[state.Config]
	validUntil atomic.Pointer[time.Time]
}

// New returns a holder without a lease. isolated is told when the lease lapses
// and when it is back.
func New(source Source, isolated func(bool)) *Holder {
	h := &Holder{source: source, isolated: isolated, lapsed: true, now: boottime.Now, history: state.NewHistory()}
	h.publish()
	return h
}

// publish refreshes the copy that readers use.
func (h *Holder) publish() state.Config {
	c := h.history.Current()
	h.config.Store(&c)
	return c
}

// SetSource replaces where leases come from.
func (h *Holder) SetSource(s Source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.source = s
}

// ask requests a lease from the source.
func (h *Holder) ask(ctx context.Context, generation uint64) (replica.Lease, error) {
	h.mu.Lock()
	s := h.source
	h.mu.Unlock()
	return s.Lease(ctx, generation)
}

// OnChange registers a function that is called with each new configuration.
// Register before Serve.
func (h *Holder) OnChange(f func(state.Config)) { h.onChange = append(h.onChange, f) }

// String names the service in the supervisor's log.
func (h *Holder) String() string { return "configuration lease" }

// Serve renews the lease until the context ends.
func (h *Holder) Serve(ctx context.Context) error {
	return loop.Every(ctx, renewPeriod, func(time.Time) {
		h.renew(ctx)
		h.noteLapse()
	})
}

func (h *Holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	sent := h.now()
	l, err := h.ask(ctx, h.Config().Generation)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "renew lease").Debug("no lease")
		return
	}
	if err := h.accept(sent, l); err != nil {
		log.WithError(err).WithField("step", "renew lease").Warn("update refused; asking for all")
		sent = h.now()
		if l, err = h.ask(ctx, wholeUpdate); err == nil {
			err = h.accept(sent, l)
		}
		if err != nil {
			log.WithError(err).WithField("step", "renew lease").Error("no configuration")
		}
	}
}

// accept takes an answer. A generation never goes back, and the replicas of
// another group are not believed.
func (h *Holder) accept(sent time.Time, l replica.Lease) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group != 0 && h.group != l.Group {
		return eris.Errorf("replicas belong to group %d, not %d: was their state lost?", l.Group, h.group)
	}
	old := h.Config()
	if l.Update.Generation < old.Generation {
		return eris.Errorf("replicas offer generation %d after %d", l.Update.Generation, old.Generation)
	}
	if l.Update.Generation != old.Generation {
		if err := h.history.Apply(&l.Update); err != nil {
			return err
		}
		next := h.publish()
		for _, f := range h.onChange {
			f(next)
		}
	}
	h.group = l.Group
	until := sent.Add(min(l.Valid, replica.LeaseLength))
	h.validUntil.Store(&until)
	return nil
}

// noteLapse tells about the change between fresh and lapsed.
func (h *Holder) noteLapse() {
	fresh := h.Fresh()
	h.mu.Lock()
	changed := h.lapsed == fresh
	h.lapsed = !fresh
	h.mu.Unlock()
	if !changed {
		return
	}
	log.WithField("fresh", fresh).WithField("generation", h.Config().Generation).Info("configuration lease")
	h.isolated(!fresh)
}

// Config returns the latest known configuration, fresh or not.
func (h *Holder) Config() state.Config { return *h.config.Load() }

// Fresh reports whether the configuration may be acted on now.
func (h *Holder) Fresh() bool {
	until := h.validUntil.Load()
	return until != nil && h.now().Before(*until)
}

// StaleFor returns for how long the lease has been lapsed; the largest
// duration when there never was one.
func (h *Holder) StaleFor() time.Duration {
	until := h.validUntil.Load()
	if until == nil {
		return math.MaxInt64
	}
	return max(0, h.now().Sub(*until))
}

// PassOn returns this instance's lease for another one that holds an older
// generation: what is left of it now. The asking instance counts it from the
// sending of its own request, which was earlier, so that its lease never
// outlasts this one. ok is false without a fresh lease.
func (h *Holder) PassOn(generation uint64) (l replica.Lease, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := h.validUntil.Load()
	if until == nil {
		return l, false
	}
	left := until.Sub(h.now())
	if left <= 0 {
		return l, false
	}
	return replica.Lease{Group: h.group, Update: h.history.Since(generation), Valid: left}, true
}
