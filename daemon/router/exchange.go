package router

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

const (
	methodLoad = "router.load"
	// loadPeriod is how often entries tell each other their counts. A burst
	// grows over some hundred milliseconds.
	loadPeriod = 100 * time.Millisecond
)

// Exchange tells the other entries this one's counts and takes theirs. It is a
// suture service.
type Exchange struct {
	router    *Router
	transport *frame.Transport
	others    func() []string
}

// NewExchange registers the frame handler; others lists the peer addresses of
// the other entries.
func NewExchange(r *Router, t *frame.Transport, others func() []string) *Exchange {
	x := &Exchange{r, t, others}
	t.HandleOneWay(methodLoad, x.handle)
	return x
}

// String names the service in the supervisor's log.
func (x *Exchange) String() string { return "load exchange" }

// Serve sends counts until the context ends.
func (x *Exchange) Serve(ctx context.Context) error {
	return loop.Every(ctx, loadPeriod, func(now time.Time) {
		report := x.router.report(now)
		for _, address := range x.others() {
			// A lost report is made good by the next one.
			_ = x.transport.Send(address, methodLoad, &report)
		}
	})
}

func (r *Router) report(now time.Time) balance.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Forget(now)
	return r.balancer.Report(now)
}

func (x *Exchange) handle(from string, body []byte) {
	var report balance.Report
	if err := msgpack.Unmarshal(body, &report); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "decode load report", "peer": from}).Warn("report dropped")
		return
	}
	x.router.mu.Lock()
	defer x.router.mu.Unlock()
	x.router.balancer.TakeReport(time.Now(), report)
}
