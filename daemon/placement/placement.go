// Package placement orders engines to load the model versions and adapters of the
// bundle in force. One instance at a time holds the order lease in the replicated
// log; its orders carry the lease's fencing token and are recorded before they
// are sent.
package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/duty"
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
	orderPeriod = 500 * time.Millisecond
	// orderTimeout bounds the sending of an order.
	orderTimeout = 3 * time.Second
	// unfencedDelay is how long a new holder sends no orders to engines that don't check fencing
	// tokens: by then the previous holder's lease has expired and its last orders have
	// timed out.
	unfencedDelay  = orderTimeout + time.Second
	proposeTimeout = 2 * time.Second
	role           = "role/placement"
)

// leaseTiming is the timing of the order lease. A claimant must have seen the lease
// unchanged for longer than its validity, by a margin greater than the clock drift in
// that time.
var leaseTiming = duty.Timing{Validity: 4 * time.Second, TakeOver: 6 * time.Second}

// Service gives orders to engines while this instance holds the order lease. It
// implements suture.Service.
type Service struct {
	Owner    string
	Gossip   *gossip.Service
	Holder   *lease.Holder
	Replicas *replica.Client
	// Servers lists all backend servers.
	Servers func(context.Context) []api.ServerEntry

	claimant *duty.Claimant
	// leaseRead: the lease has been read. Before that it appears to have no holder and must
	// not be claimed.
	leaseRead bool
	heldSince time.Time
	planner   *placement.Planner
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "engine orders" }

// Serve renews the lease while this instance has the role, and gives orders, until the
// context ends.
func (s *Service) Serve(ctx context.Context) error {
	s.claimant = duty.NewClaimant(s.Owner, leaseTiming, boottime.Now(), rand.Float64)
	return loop.Every(ctx, orderPeriod, func(time.Time) {
		if s.isResponsible() && s.holdLease(ctx) {
			s.sendOrders(ctx)
		}
	})
}

// isResponsible reports whether the bundle names engine versions and this instance has the
// placement role.
func (s *Service) isResponsible() bool {
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

// holdLease renews the lease, or takes it over when it has been unchanged for long enough.
// It reports whether this instance holds the lease.
func (s *Service) holdLease(ctx context.Context) bool {
	sent := boottime.Now()
	before := s.claimant.LastLease()
	cmd := state.LeaseCommand{} // only reads the lease
	if claim, ok := s.claimant.Claim(sent); ok && s.leaseRead {
		cmd = state.LeaseCommand{Owner: claim.Holder, Expected: claim.Expected}
	}
	res, err := s.propose(ctx, &state.Command{Type: state.CommandOrderLease, Lease: &cmd})
	if err != nil || res.Lease == nil {
		return s.claimant.Holds(boottime.Now())
	}
	s.leaseRead = true
	now := boottime.Now()
	s.claimant.Observe(now, *res.Lease)
	if res.Lease.Holder == s.Owner && before.Holder != s.Owner {
		s.heldSince = now
		s.planner = placement.NewPlanner()
		log.WithFields(log.Fields{"step": "engine orders", "fence": res.Lease.Term}).Info("order lease taken")
	}
	if res.Code == state.CodeOK && cmd.Owner != "" {
		s.claimant.Granted(now, sent, *res.Lease)
	}
	return s.claimant.Holds(now)
}

func (s *Service) propose(ctx context.Context, c *state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.Replicas.Propose(ctx, c)
}

// sendOrders sends the orders that are due to engines.
func (s *Service) sendOrders(ctx context.Context) {
	b := s.Holder.Config().Bundle
	var engines []placement.Engine
	addresses := map[string]string{}
	for _, x := range s.Servers(ctx) {
		engines = append(engines, placement.Engine{ID: x.ID, Pool: x.Pool, Version: x.Version, Adapters: x.Adapters, Usable: x.Usable, Retired: x.Retired})
		addresses[x.ID] = x.Address
	}
	for _, o := range s.planner.Next(time.Now(), b, engines) {
		if !b.Pools[o.Pool].ChecksFencing && boottime.Now().Sub(s.heldSince) < unfencedDelay {
			continue
		}
		o.Fence = s.claimant.LastLease().Term
		if err := s.sendOrder(ctx, &o, addresses[o.Server]); err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "order engine", "peer": o.Server, "fence": o.Fence}).Warn("order failed; will be retried")
		}
	}
}

// sendOrder records an order and sends it, unless the lease has expired in the meantime.
func (s *Service) sendOrder(ctx context.Context, o *state.EngineOrder, address string) error {
	res, err := s.propose(ctx, &state.Command{Type: state.CommandEngineOrder, Engine: o})
	if err != nil {
		return eris.Wrap(err, "record order")
	}
	if res.Code == state.CodeRefused {
		return nil // limited by the rate at which model weights may be loaded; retried in the next round
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
	if !s.claimant.Holds(boottime.Now()) {
		return eris.New("the order lease has expired")
	}
	if err := deliver(req, o.Server); err != nil {
		return err
	}
	s.planner.OrderSent(time.Now(), o)
	log.WithFields(log.Fields{"step": "order engine", "peer": o.Server, "fence": o.Fence, "version": o.Version}).Info("engine ordered")
	return nil
}

// deliver sends the request of an order to a server.
func deliver(req *http.Request, server string) error {
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return eris.Wrapf(err, "order engine %s", server)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("engine %s answered %d", server, resp.StatusCode)
	}
	return nil
}
