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

// methodCounts carries counts between two entries; see package counts.
const methodCounts = "router.counts"

// Exchange tells the other entries this one's counts and takes theirs, by the
// plan of package collect. It is a suture service.
type Exchange struct {
	router    *Router
	transport *frame.Transport
	self      collect.Member
	entries   func() []collect.Member

	mu       sync.Mutex
	reporter collect.Reporter
	// collector is the address last reported to.
	collector string
}

// NewExchange registers the frame handlers; entries lists all that take calls.
func NewExchange(r *Router, t *frame.Transport, self collect.Member, entries func() []collect.Member) *Exchange {
	x := &Exchange{router: r, transport: t, self: self, entries: entries}
	t.HandleOneWay(methodCounts, x.handle)
	return x
}

// String names the service in the supervisor's log.
func (x *Exchange) String() string { return "load exchange" }

// Serve sends counts until the context ends.
func (x *Exchange) Serve(ctx context.Context) error {
	for {
		plan := collect.NewPlan(x.self, x.entries())
		x.tell(time.Now(), plan)
		x.router.logMoves()
		x.router.logLimits()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(plan.Period):
		}
	}
}

// tell sends this entry's counts and those of the entries below it.
func (x *Exchange) tell(now time.Time, plan collect.Plan) {
	for _, m := range x.messages(now, plan) {
		_ = x.transport.Send(m.to.Address, methodCounts, &m.Message) // a lost one is noticed by its receiver
	}
}

// addressed is a message with its receiver.
type addressed struct {
	counts.Message
	to collect.Member
}

func (x *Exchange) messages(now time.Time, plan collect.Plan) []addressed {
	collector, reports := x.pick(now, plan)
	r := x.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.SetLevel(plan.Level)
	r.balancer.SetInstances(r.opt.Entries())
	r.balancer.DropSilentPeers(now)
	var out []addressed
	for _, peer := range plan.Peers {
		out = append(out, addressed{r.balancer.CollectorReport(now, peer.Name), peer})
	}
	if reports {
		out = append(out, addressed{r.balancer.MemberReport(now, collector.Name), collector})
	}
	return out
}

// Demands returns the demand for the pools that servers can be ordered for, where this
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

func (x *Exchange) pick(now time.Time, plan collect.Plan) (collect.Member, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.reporter.Pick(now, plan)
	if c.Address != x.collector {
		log.WithFields(log.Fields{"step": "pick collector", "peer": c.Address, "before": x.collector, "entries": len(x.entries())}).Info("load counts are reported to another entry")
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
	if answer, asked := x.router.takeCounts(now, &m); asked {
		_ = x.transport.Send(from, methodCounts, &answer) // a lost one is noticed by its receiver
	}
}

// takeCounts takes a message and returns the answer to one of a member.
func (r *Router) takeCounts(now time.Time, m *counts.Message) (answer counts.Message, asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Receive(now, m)
	if m.Kind != counts.MemberReport {
		return counts.Message{}, false
	}
	return r.balancer.MemberReply(now, m.Name), true
}

// CountsAge is how old the counts of other entries are when calls are placed by
// them, on average over their calls.
func (r *Router) CountsAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CountsAge(time.Now())
}

// logMoves logs the boundaries that this entry has moved.
func (r *Router) logMoves() {
	r.mu.Lock()
	moves := r.balancer.BoundaryMoves()
	r.mu.Unlock()
	for _, m := range moves {
		log.WithFields(log.Fields{"step": "move boundary", "pool": m.Pool, "from": rounded(m.From), "to": rounded(m.To), "engines": m.Engines,
			"short_need": rounded(m.Short), "long_need": rounded(m.Long), "tokens_per_second": int(m.TokensPerSecond), "counts_age_ms": r.CountsAge().Milliseconds()}).Info("more engines for one side of a pool")
	}
}
