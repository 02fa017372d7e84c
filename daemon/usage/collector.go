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
	// gatherTime is how long reports gather, so that one entry of the log has all of them:
	// ten entries a second whatever the number of instances.
	gatherTime = 100 * time.Millisecond
	// mostGathered bounds the reports that wait.
	mostGathered = 2048
	// commitTimeout bounds the commit of what has gathered.
	commitTimeout = time.Second
)

// errGathered: too many reports wait for the log.
var errGathered = eris.New("too many reports wait")

// Collector takes reports at the replica group's leader and brings them into the log. It
// is a suture service.
type Collector struct {
	view func() replica.View
	log  duties.Log
	// instances returns how many there are.
	instances func() int

	mu       sync.Mutex
	gathered []usage.Report
	waiting  []chan gathered
	median   usage.ClockMedian
	demands  capacity.Demands
}

// gathered is what became of a report.
type gathered struct {
	counted map[string]uint64
	err     error
}

// NewCollector registers the frame handlers.
func NewCollector(t *frame.Transport, view func() replica.View, log duties.Log, instances func() int) *Collector {
	c := &Collector{view: view, log: log, instances: instances}
	t.HandleRequest(methodTell, c.handleTell)
	t.HandleRequest(methodDemands, c.handleDemands)
	return c
}

// String names the service in the supervisor's log.
func (c *Collector) String() string { return "usage collector" }

// Serve commits what has gathered, until the context ends.
func (c *Collector) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(gatherTime):
			c.commit(ctx)
		}
	}
}

func (c *Collector) commit(ctx context.Context) {
	c.mu.Lock()
	reports, waiting := c.gathered, c.waiting
	c.gathered, c.waiting = nil, nil
	c.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := c.log.Propose(ctx, &state.Command{Type: state.CommandUsage, Reports: reports})
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "count usage", "reports": len(reports)}).Warn("the instances tell it again")
	}
	for _, w := range waiting {
		w <- gathered{res.Counted, err}
	}
}

// handleTell takes what an instance tells, and answers once its report is in the log.
func (c *Collector) handleTell(ctx context.Context, _ string, body []byte) (any, error) {
	var req tellRequest
	if err := wire.Decode(body, &req); err != nil {
		return nil, eris.Wrap(err, "decode usage report")
	}
	v := c.view()
	if !v.Leading {
		return tellReply{Redirect: replica.NotLeaderReply(v)}, nil
	}
	now := boottime.Now()
	done, err := c.take(now, &req)
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
	return tellReply{Counted: counted, Agreed: c.agreed()}, nil
}

// take notes the instance's clock and demand, and gathers its report; the channel is nil
// without one.
func (c *Collector) take(now time.Time, req *tellRequest) (<-chan gathered, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.median.Record(now, req.Instance, time.Unix(0, req.TimeOfDay))
	c.demands.Update(now, req.Demands)
	if req.Report == nil {
		return nil, nil
	}
	if len(c.gathered) >= mostGathered {
		return nil, errGathered
	}
	done := make(chan gathered, 1)
	c.gathered = append(c.gathered, *req.Report)
	c.waiting = append(c.waiting, done)
	return done, nil
}

// agreed returns the agreed time of day in Unix nanoseconds, zero without one.
func (c *Collector) agreed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	offset, ok := c.median.Offset(now, c.instances())
	if !ok {
		return 0
	}
	return now.Add(offset).UnixNano()
}

// methodDemands asks the leader for what entries tell of the demand.
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

// demandsTimeout bounds the question for the demand; it is asked again soon.
const demandsTimeout = 500 * time.Millisecond

// Demands asks the leader for the demand for each pool.
func Demands(ctx context.Context, client *replica.Client) ([]capacity.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, demandsTimeout)
	defer cancel()
	reply, err := replica.CallLeader[demandsReply](ctx, client, methodDemands, struct{}{})
	return reply.Demands, err
}
