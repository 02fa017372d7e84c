package usage

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/boottime"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

// Limits of a collector.
const (
	// batchInterval is the time between two commits, each of which puts all pending reports
	// into one log entry: ten entries a second for any number of instances.
	batchInterval = 100 * time.Millisecond
	// maxPending bounds the pending reports.
	maxPending = 2048
	// commitTimeout bounds the commit of a batch.
	commitTimeout = time.Second
)

// errTooManyPending: too many reports wait for the log.
var errTooManyPending = eris.New("too many reports wait")

// Collector receives reports at the replica group's leader and commits them to the log in
// batches. It is a suture service.
type Collector struct {
	view func() replica.View
	log  duties.Log
	// instances returns the number of instances.
	instances func() int

	mu      sync.Mutex
	pending []usage.Report
	waiting []chan commitResult
	median  usage.ClockMedian
	demands capacity.Demands
}

// commitResult is the result of a batch's commit.
type commitResult struct {
	// counted holds the number of the last counted report by reporter.
	counted map[string]uint64
	err     error
}

// NewCollector returns a collector and registers its frame handlers.
func NewCollector(t *frame.Transport, view func() replica.View, log duties.Log, instances func() int) *Collector {
	c := &Collector{view: view, log: log, instances: instances}
	t.HandleRequest(methodReport, c.handleReport)
	t.HandleRequest(methodDemands, c.handleDemands)
	return c
}

// String names the service in the supervisor's log.
func (c *Collector) String() string { return "usage collector" }

// Serve commits the pending reports periodically until the context ends.
func (c *Collector) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(batchInterval):
			c.commit(ctx)
		}
	}
}

func (c *Collector) commit(ctx context.Context) {
	c.mu.Lock()
	reports, waiting := c.pending, c.waiting
	c.pending, c.waiting = nil, nil
	c.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := c.log.Propose(ctx, &state.Command{Type: state.CommandUsage, Reports: reports})
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "count usage", "reports": len(reports)}).Warn("not committed; the instances will send the reports again")
	}
	for _, w := range waiting {
		w <- commitResult{res.Counted, err}
	}
}

// handleReport processes an instance's message and answers once its report is in the log.
func (c *Collector) handleReport(ctx context.Context, _ string, body []byte) (any, error) {
	var req reportRequest
	if err := wire.Decode(body, &req); err != nil {
		return nil, eris.Wrap(err, "decode usage report")
	}
	v := c.view()
	if !v.Leading {
		return reportReply{Redirect: replica.NotLeaderReply(v)}, nil
	}
	now := boottime.Now()
	done, err := c.add(now, &req)
	if err != nil {
		return nil, err
	}
	var counted uint64
	if done != nil {
		select {
		case x := <-done:
			if x.err != nil {
				return nil, x.err
			}
			counted = x.counted[req.Report.Reporter]
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return reportReply{Counted: counted, Agreed: c.agreedTime()}, nil
}

// add records the instance's clock and demand and queues its report. The channel delivers
// the result; it is nil without a report.
func (c *Collector) add(now time.Time, req *reportRequest) (<-chan commitResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.median.Record(now, req.Instance, time.Unix(0, req.TimeOfDay))
	c.demands.Update(now, req.Demands)
	if req.Report == nil {
		return nil, nil
	}
	if len(c.pending) >= maxPending {
		return nil, errTooManyPending
	}
	done := make(chan commitResult, 1)
	c.pending = append(c.pending, *req.Report)
	c.waiting = append(c.waiting, done)
	return done, nil
}

// agreedTime returns the agreed time of day in Unix nanoseconds, zero without one.
func (c *Collector) agreedTime() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	offset, ok := c.median.Offset(now, c.instances())
	if !ok {
		return 0
	}
	return now.Add(offset).UnixNano()
}

// methodDemands requests the demands reported by the entries from the leader.
const methodDemands = "usage.demands"

type demandsReply struct {
	replica.Redirect `msgpack:",inline"`
	Demands          []capacity.Demand `msgpack:"d"`
}

func (c *Collector) handleDemands(_ context.Context, _ string, _ []byte) (any, error) {
	v := c.view()
	if !v.Leading {
		return demandsReply{Redirect: replica.NotLeaderReply(v)}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return demandsReply{Demands: c.demands.Fresh(boottime.Now())}, nil
}

// demandsTimeout bounds the request for the demands, which is sent periodically.
const demandsTimeout = 500 * time.Millisecond

// Demands requests the demand for each pool from the leader.
func Demands(ctx context.Context, client *replica.Client) ([]capacity.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, demandsTimeout)
	defer cancel()
	reply, err := replica.CallLeader[demandsReply](ctx, client, methodDemands, struct{}{})
	return reply.Demands, err
}
