// Package placement orders engines to load what the bundle names. One instance
// at a time holds the order lease in the replicated log; its orders carry the
// lease's fencing number and are recorded before they are sent.
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
	period = 500 * time.Millisecond
	// orderTimeout is the longest an order can be on its way.
	orderTimeout = 3 * time.Second
	// quiet is how long a new holder leaves engines alone that ignore fencing
	// numbers: the former holder's validity is over by then, and so is every
	// order that it had on its way.
	quiet          = orderTimeout + time.Second
	proposeTimeout = 2 * time.Second
	role           = "role/placement"
)

// leaseRules are the order lease's. A contender must have seen it unchanged for longer
// than it is valid, by more than clocks drift apart in that time.
var leaseRules = duty.Timing{Validity: 4 * time.Second, TakeOver: 6 * time.Second}

// Service is a suture service.
type Service struct {
	Owner    string
	Gossip   *gossip.Service
	Holder   *lease.Holder
	Replicas *replica.Client
	// Servers lists all backend servers.
	Servers func(context.Context) []api.ServerEntry

	contender *duty.Claimant
	// looked: the lease has been read; before that it looks as if nobody ever had it.
	looked    bool
	heldSince time.Time
	planner   *placement.Planner
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "engine orders" }

// Serve holds the lease while this instance has the role, and gives orders.
func (s *Service) Serve(ctx context.Context) error {
	s.contender = duty.NewClaimant(s.Owner, leaseRules, boottime.Now(), rand.Float64)
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
	before := s.contender.LastLease()
	cmd := state.LeaseCommand{} // only looks
	if claim, ok := s.contender.Claim(sent); ok && s.looked {
		cmd = state.LeaseCommand{Owner: claim.Holder, Expected: claim.Expected}
	}
	res, err := s.propose(ctx, &state.Command{Type: state.CommandOrderLease, Lease: &cmd})
	if err != nil || res.Lease == nil {
		return s.contender.Holds(boottime.Now())
	}
	s.looked = true
	now := boottime.Now()
	s.contender.Observe(now, *res.Lease)
	if res.Lease.Holder == s.Owner && before.Holder != s.Owner {
		s.heldSince = now
		s.planner = placement.NewPlanner()
		log.WithFields(log.Fields{"step": "engine orders", "fence": res.Lease.Term}).Info("order lease taken")
	}
	if res.Code == state.CodeOK && cmd.Owner != "" {
		s.contender.Granted(now, sent, *res.Lease)
	}
	return s.contender.Holds(now)
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
		o.Fence = s.contender.LastLease().Term
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
	if !s.contender.Holds(boottime.Now()) {
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
	s.planner.OrderSent(time.Now(), o)
	log.WithFields(log.Fields{"step": "order engine", "peer": o.Server, "fence": o.Fence, "version": o.Version}).Info("engine ordered")
	return nil
}
