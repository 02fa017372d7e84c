// Package placement orders engines to load what the bundle names. One instance
// at a time holds the order lease in the replicated log; its orders carry the
// lease's fencing number and are recorded before they are sent.
package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/placement"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/lease"
	"cardamomwick.example/daemon/loop"
	"cardamomwick.example/daemon/replica"
)

// Timing of the order lease.
const (
	period = 500 * time.Millisecond
	// validity counts from the sending of a renewal, on the holder's clock.
	validity = 4 * time.Second
	// takeOverAfter is how long a contender must have seen the lease unchanged,
	// on its own clock. It is longer than validity by more than clocks drift
	// apart in that time.
	takeOverAfter = 6 * time.Second
	// orderTimeout is the longest an order can be on its way.
	orderTimeout = 3 * time.Second
	// quiet is how long a new holder leaves engines alone that ignore fencing
	// numbers: the former holder's validity is over by then, and so is every
	// order that it had on its way.
	quiet          = orderTimeout + time.Second
	proposeTimeout = 2 * time.Second
	role           = "role/placement"
)

// Service is a suture service.
type Service struct {
	Owner    string
	Gossip   *gossip.Service
	Holder   *lease.Holder
	Replicas *replica.Client
	// Servers lists all backend servers.
	Servers func(context.Context) []api.ServerEntry

	seen       state.OrderLease
	seenAt     time.Time
	validUntil time.Time
	heldSince  time.Time
	planner    *placement.Planner
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "engine orders" }

// Serve holds the lease while this instance has the role, and gives orders.
func (s *Service) Serve(ctx context.Context) error {
	return loop.Every(ctx, period, func(time.Time) {
		if s.wanted() && s.hold(ctx) {
			s.give(ctx)
		}
	})
}

// wanted reports whether there is anything to order and this instance is the
// one to do it.
func (s *Service) wanted() bool {
	b := s.Holder.Config().Bundle
	if b == nil || !s.Holder.Fresh() || s.Gossip.Draining() {
		return false
	}
	managed := false
	for _, p := range b.Pools {
		managed = managed || p.EngineVersion != ""
	}
	return managed && s.Gossip.Holds(role)
}

// hold renews the lease, or takes it over when it has been still long enough.
func (s *Service) hold(ctx context.Context) bool {
	sent := boottime.Now()
	owner := s.Owner
	if s.seen.Owner != s.Owner && s.seen.Fence != 0 && sent.Sub(s.seenAt) < takeOverAfter {
		owner = "" // only look
	}
	res, err := s.propose(ctx, &state.Command{Type: state.CommandOrderLease, Lease: &state.LeaseCommand{Owner: owner, Expected: s.seen}})
	if err != nil || res.Lease == nil {
		return boottime.Now().Before(s.validUntil)
	}
	if *res.Lease != s.seen {
		if res.Lease.Owner == s.Owner && s.seen.Owner != s.Owner {
			s.heldSince = boottime.Now()
			s.planner = placement.NewPlanner()
			log.WithFields(log.Fields{"step": "engine orders", "fence": res.Lease.Fence}).Info("order lease taken")
		}
		s.seen, s.seenAt = *res.Lease, boottime.Now()
	}
	if res.Code == state.CodeOK && owner != "" && res.Lease.Owner == s.Owner {
		s.validUntil = sent.Add(validity)
	}
	return s.seen.Owner == s.Owner && boottime.Now().Before(s.validUntil)
}

func (s *Service) propose(ctx context.Context, c *state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.Replicas.Propose(ctx, c)
}

func (s *Service) give(ctx context.Context) {
	b := s.Holder.Config().Bundle
	var engines []placement.Engine
	addresses := map[string]string{}
	for _, x := range s.Servers(ctx) {
		engines = append(engines, placement.Engine{ID: x.ID, Pool: x.Pool, Version: x.Version, Adapters: x.Adapters, Usable: x.Usable, Retired: x.Retired})
		addresses[x.ID] = x.Address
	}
	for _, o := range s.planner.Next(time.Now(), b, engines) {
		if !b.Pools[o.Pool].ChecksFencing && boottime.Now().Sub(s.heldSince) < quiet {
			continue
		}
		o.Fence = s.seen.Fence
		if err := s.order(ctx, &o, addresses[o.Server]); err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "order engine", "peer": o.Server, "fence": o.Fence}).Warn("will be tried again")
		}
	}
}

// order records an order and sends it, unless the lease has run out meanwhile.
func (s *Service) order(ctx context.Context, o *state.EngineOrder, address string) error {
	res, err := s.propose(ctx, &state.Command{Type: state.CommandEngineOrder, Engine: o})
	if err != nil {
		return eris.Wrap(err, "record order")
	}
	if res.Code == state.CodeRefused {
		return nil // the weight store's rate; next round
	}
	if res.Code != state.CodeOK {
		return eris.Errorf("record order: %s %s", res.Code, res.Message)
	}
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+api.PathEngineOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	if !boottime.Now().Before(s.validUntil) {
		return eris.New("the order lease has run out")
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return eris.Wrapf(err, "order engine %s", o.Server)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("engine %s answered %d", o.Server, resp.StatusCode)
	}
	s.planner.Given(time.Now(), o)
	log.WithFields(log.Fields{"step": "order engine", "peer": o.Server, "fence": o.Fence, "version": o.Version}).Info("engine ordered")
	return nil
}
