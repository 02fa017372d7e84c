// Package lease keeps an instance's configuration up to date. A lease is granted by
// a request that a quorum of replicas confirmed. Its validity counts from the time at
// which the request was sent, on a clock that includes suspension of the machine. A
// request sent after a change was committed returns the change, and a lease requested
// before that expires within one lease length. So no instance acts on a configuration
// that was replaced more than one lease length ago.
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
	// renewPeriod is the interval between two renewals.
	renewPeriod = 300 * time.Millisecond
	// renewTimeout bounds one renewal: a later reply would be valid for too short a time,
	// since a lease counts from the sending of its request.
	renewTimeout = 1200 * time.Millisecond
)

// fullUpdate requests the full configuration: no instance has a generation that high.
const fullUpdate = math.MaxUint64

// Source grants leases; replica.Client implements it.
type Source interface {
	Lease(ctx context.Context, generation uint64) (replica.Lease, error)
}

// Holder holds the lease of one instance. It implements suture.Service.
type Holder struct {
	source   Source
	onChange []func(state.Config)
	isolated func(bool)

	mu     sync.Mutex
	group  uint64
	lapsed bool
	// now is boottime.Now; tests replace it to simulate suspension.
	now func() time.Time
	// history holds the configuration and the updates that children request.
	history    state.History
	config     atomic.Pointer[state.Config]
	validUntil atomic.Pointer[time.Time]
}

// New returns a holder without a lease. It calls isolated with true when the lease
// lapses and with false when it is fresh again.
func New(source Source, isolated func(bool)) *Holder {
	h := &Holder{source: source, isolated: isolated, lapsed: true, now: boottime.Now, history: state.NewHistory()}
	h.publish()
	return h
}

// publish updates the configuration that readers load without a lock.
func (h *Holder) publish() state.Config {
	c := h.history.Current()
	h.config.Store(&c)
	return c
}

// SetSource replaces the source of leases.
func (h *Holder) SetSource(s Source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.source = s
}

// request asks the source for a lease and the updates since a generation.
func (h *Holder) request(ctx context.Context, generation uint64) (replica.Lease, error) {
	h.mu.Lock()
	s := h.source
	h.mu.Unlock()
	return s.Lease(ctx, generation)
}

// OnChange registers a function that is called with each new configuration. Call
// it before Serve.
func (h *Holder) OnChange(f func(state.Config)) { h.onChange = append(h.onChange, f) }

// String names the service in the supervisor's log.
func (h *Holder) String() string { return "configuration lease" }

// Serve renews the lease until the context ends.
func (h *Holder) Serve(ctx context.Context) error {
	return loop.Every(ctx, renewPeriod, func(time.Time) {
		h.renew(ctx)
		h.reportFreshness()
	})
}

func (h *Holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := h.now()
	l, err := h.request(ctx, h.Config().Generation)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "renew lease").Debug("no lease")
		return
	}
	if err := h.accept(sent, l); err != nil {
		log.WithError(err).WithField("step", "renew lease").Warn("update rejected; requesting the full configuration")
		sent = h.now()
		if l, err = h.request(ctx, fullUpdate); err == nil {
			err = h.accept(sent, l)
		}
		if err != nil {
			log.WithError(err).WithField("step", "renew lease").Error("no configuration")
		}
	}
}

// accept applies a granted lease. It rejects leases with an older generation and
// leases from another replica group.
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

// reportFreshness reports a change between fresh and lapsed.
func (h *Holder) reportFreshness() {
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

// Config returns the latest known configuration, whether the lease is fresh or not.
func (h *Holder) Config() state.Config { return *h.config.Load() }

// Fresh reports whether the lease is valid, so that the configuration may be acted on.
func (h *Holder) Fresh() bool {
	until := h.validUntil.Load()
	return until != nil && h.now().Before(*until)
}

// StaleFor returns the time since the lease lapsed, 0 for a fresh one and the maximum
// duration if there never was one.
func (h *Holder) StaleFor() time.Duration {
	until := h.validUntil.Load()
	if until == nil {
		return math.MaxInt64
	}
	return max(0, h.now().Sub(*until))
}

// Delegate returns a lease for an instance with the given generation, valid for the
// remaining time of this instance's lease. The requesting instance counts that time
// from the sending of its request, which was earlier, so its lease never outlasts
// this one. ok is false without a fresh lease.
func (h *Holder) Delegate(generation uint64) (l replica.Lease, ok bool) {
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
