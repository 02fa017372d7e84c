package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/collect"
	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
)

// methodCounts is the frame method for load counts; see package counts.
const methodCounts = "router.counts"

// Exchange sends this entry's load counts to other entries and receives theirs,
// following the plan of package collect. It is a suture service.
type Exchange struct {
	router    *Router
	transport *frame.Transport
	plan      func() collect.Plan

	mu       sync.Mutex
	reporter collect.Reporter
	// collector is the address of the entry that was last reported to.
	collector string
}

// NewExchange registers the frame handler; plan returns this entry's current plan.
func NewExchange(r *Router, t *frame.Transport, plan func() collect.Plan) *Exchange {
	x := &Exchange{router: r, transport: t, plan: plan}
	t.HandleOneWay(methodCounts, x.handle)
	return x
}

// String names the service in the supervisor's log.
func (x *Exchange) String() string { return "load exchange" }

// Serve sends load counts periodically until the context ends.
func (x *Exchange) Serve(ctx context.Context) error {
	for {
		plan := x.plan()
		x.send(time.Now(), plan)
		x.router.logBoundaryMoves()
		x.router.logLimits()
		x.router.logBrittle()
		x.router.returnExpiredSlots()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(plan.Period):
		}
	}
}

// send sends this entry's counts, with those reported to it, as the plan requires.
func (x *Exchange) send(now time.Time, plan collect.Plan) {
	for _, m := range x.messages(now, plan) {
		_ = x.transport.Send(m.to.Address, methodCounts, &m.Message) // the receiver detects a lost message
	}
}

// outgoingMessage is a message and its receiver.
type outgoingMessage struct {
	counts.Message
	to collect.Member
}

func (x *Exchange) messages(now time.Time, plan collect.Plan) []outgoingMessage {
	collector, hasCollector := x.pickCollector(now, plan)
	r := x.router
	owners := r.opt.SlotOwners()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.SetLevel(plan.Level)
	r.balancer.SetInstances(r.opt.ShareHolders())
	r.balancer.SetSlotOwners(now, owners)
	r.balancer.DropSilentPeers(now)
	var out []outgoingMessage
	for _, peer := range plan.Peers {
		out = append(out, outgoingMessage{r.balancer.CollectorReport(now, peer.Name), peer})
	}
	if hasCollector {
		out = append(out, outgoingMessage{r.balancer.MemberReport(now, collector.Name), collector})
	}
	return out
}

// Demands returns the demand of each model pool with scaling. It returns nil unless this
// instance knows the load of all others.
func (r *Router) Demands() []capacity.Demand {
	table := r.opt.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	if table == nil || !r.balancer.SeesAllLoad() {
		return nil
	}
	now := time.Now()
	var out []capacity.Demand
	for _, p := range table.Pools() {
		if p.Scaling != nil && p.Engine != nil {
			out = append(out, r.balancer.Demand(now, p.Name))
		}
	}
	return out
}

func (x *Exchange) pickCollector(now time.Time, plan collect.Plan) (collect.Member, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.reporter.Pick(now, plan)
	if c.Address != x.collector {
		log.WithFields(log.Fields{"step": "pick collector", "peer": c.Address, "before": x.collector, "entries": x.router.opt.Entries()}).Info("load counts are reported to another entry")
		x.collector = c.Address
	}
	return c, ok
}

func (x *Exchange) handle(from string, body []byte) {
	var m counts.Message
	if err := wire.Decode(body, &m); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode load counts", "peer": from}).Warn("message dropped")
		return
	}
	now := time.Now()
	if m.Kind == counts.MemberReply {
		x.mu.Lock()
		x.reporter.RecordAnswer(now)
		x.mu.Unlock()
	}
	if answer, asked := x.router.receiveCounts(now, &m); asked {
		_ = x.transport.Send(from, methodCounts, &answer) // the receiver detects a lost message
	}
}

// receiveCounts applies a message. Only a member's report is answered.
func (r *Router) receiveCounts(now time.Time, m *counts.Message) (answer counts.Message, asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Receive(now, m)
	if m.Kind != counts.MemberReport {
		return counts.Message{}, false
	}
	return r.balancer.MemberReply(now, m.Name), true
}

// CountsAge returns the age of other entries' counts at the time they are used for
// placement, averaged over their calls.
func (r *Router) CountsAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CountsAge(time.Now())
}

// logBoundaryMoves logs the changes that this entry has made to the boundaries between
// the short and long sides of pools.
func (r *Router) logBoundaryMoves() {
	r.mu.Lock()
	moves := r.balancer.BoundaryMoves()
	r.mu.Unlock()
	for _, m := range moves {
		log.WithFields(log.Fields{"step": "move boundary", "pool": m.Pool, "from": rounded(m.From), "to": rounded(m.To), "engines": m.Engines,
			"short_need": rounded(m.Short), "long_need": rounded(m.Long), "tokens_per_second": int(m.TokensPerSecond), "counts_age_ms": r.CountsAge().Milliseconds()}).Info("more engines for one side of a pool")
	}
}
