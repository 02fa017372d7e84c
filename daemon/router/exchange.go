package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/collect"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
)

// Frame methods of the exchange.
const (
	// methodMember carries an entry's counts to its collector, methodSum a
	// collector's to others or its answer to an entry.
	methodMember = "router.member"
	methodSum    = "router.sum"
)

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
	t.HandleOneWay(methodMember, x.handleMember)
	t.HandleOneWay(methodSum, x.handleSum)
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
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(plan.Period):
		}
	}
}

// tell sends this entry's counts, or its zone's. A lost report is made good by
// the next one.
func (x *Exchange) tell(now time.Time, plan collect.Plan) {
	if plan.Collects || x.router.collects(now) {
		sum := x.router.report(now, (*balance.Balancer).Sum)
		for _, peer := range plan.Peers {
			_ = x.transport.Send(peer.Address, methodSum, &sum)
		}
		return
	}
	collector, ok := x.pick(now, plan)
	if !ok {
		return
	}
	own := x.router.report(now, (*balance.Balancer).Own)
	_ = x.transport.Send(collector.Address, methodMember, &own)
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

func (x *Exchange) handleMember(from string, body []byte) {
	report, ok := decodeReport(from, body)
	if !ok {
		return
	}
	answer := x.router.answerMember(time.Now(), report)
	_ = x.transport.Send(from, methodSum, &answer)
}

func (x *Exchange) handleSum(from string, body []byte) {
	report, ok := decodeReport(from, body)
	if !ok {
		return
	}
	now := time.Now()
	if report.Answer {
		x.mu.Lock()
		x.reporter.Heard(now)
		x.mu.Unlock()
	}
	x.router.mu.Lock()
	defer x.router.mu.Unlock()
	x.router.balancer.TakeSum(now, report)
}

func decodeReport(from string, body []byte) (balance.Report, bool) {
	var report balance.Report
	if err := wire.Decode(body, &report); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode load report", "peer": from}).Warn("report dropped")
		return balance.Report{}, false
	}
	return report, true
}

// report returns counts for others, without those that are out of date.
func (r *Router) report(now time.Time, counts func(*balance.Balancer, time.Time) balance.Report) balance.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Forget(now)
	return counts(r.balancer, now)
}

func (r *Router) collects(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Collects(now)
}

func (r *Router) answerMember(now time.Time, report balance.Report) balance.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.TakeMember(now, report)
	return r.balancer.AnswerTo(now, report.Name)
}

// logMoves logs the boundaries that this entry has moved.
func (r *Router) logMoves() {
	r.mu.Lock()
	moves := r.balancer.Moves()
	r.mu.Unlock()
	for _, m := range moves {
		log.WithFields(log.Fields{"step": "move boundary", "pool": m.Pool, "from": rounded(m.From), "to": rounded(m.To), "engines": m.Engines,
			"short_need": rounded(m.Short), "long_need": rounded(m.Long), "tokens_per_second": int(m.TokensPerSecond)}).Info("more engines for one side of a pool")
	}
}
