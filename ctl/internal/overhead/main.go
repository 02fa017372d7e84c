// Command overhead measures what the path through an entry adds to a call,
// against calling the stand-in directly, in one run: at 1, 16 and 128 callers,
// for an idempotent class and for one whose keys are claimed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

const (
	limit       = 3 * time.Minute
	perMeasure  = 3 * time.Second
	serverSlots = 1024
	maxMicros   = int64(10 * time.Second / time.Microsecond)
)

func main() {
	logx.Disable()
	caller.ConfigureTransport()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: overhead BIN-FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "overhead: failed:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "cardamomwick-overhead-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: 3, ReplicaCount: 3, Zones: []string{"a"}, Customers: []string{"hotel"}, LogLevel: "warn"})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := setUp(ctx, c); err != nil {
		return err
	}
	return measure(ctx, c)
}

func setUp(ctx context.Context, c *harness.Cluster) error {
	second := bundle.Duration(time.Second)
	class := bundle.Class{Tier: 1, Idempotent: true, FirstTokenTarget: second, Deadline: 10 * second, Order: bundle.QueueFIFO,
		GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}
	once := class
	once.Idempotent = false
	b := &bundle.Bundle{Version: 1, Classes: map[string]bundle.Class{"plain": class, "once": once},
		Pools: map[string]bundle.Pool{"fixtures": {Kind: bundle.PoolService, DefaultClass: "plain"}}}
	if err := c.StartWithBundle(ctx, b); err != nil {
		return err
	}
	err := c.StartFakeServers(fake.Config{Services: []fake.ServiceConfig{{ID: "s", Address: c.ServerAddress(1), Zone: "a", Pool: "fixtures", Slots: serverSlots}}})
	if err != nil {
		return err
	}
	return c.WaitServersReady(ctx, 1)
}

// ways are the compared ways to the server.
func ways(c *harness.Cluster) map[string]func(ctx context.Context, worker int) error {
	body := []byte(`{"lamp":7,"level":40}`)
	via := func(class string, keyed bool) func(context.Context, int) error {
		return func(ctx context.Context, worker int) error {
			r := &caller.Request{Address: c.Instances[worker%3].CallerAddress, Customer: c.CustomerKeys["hotel"], Class: class, Service: "fixtures", Path: "/dim", Body: body}
			if keyed {
				r.IdempotencyKey = caller.NewIdempotencyKey()
			}
			res := caller.Do(ctx, r)
			if res.Transport != nil || res.Error != nil || !res.Correct {
				return eris.Errorf("%+v", res)
			}
			return nil
		}
	}
	direct := func(ctx context.Context, _ int) error {
		resp, err := http.Post("http://"+c.ServerAddress(1)+"/dim", "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return map[string]func(context.Context, int) error{"direct": direct, "idempotent": via("plain", false), "claimed": via("once", true)}
}

// pacedRate is the calls per second of the paced measure, over all callers:
// about the peak that the users expect.
const pacedRate = 1000

// measure makes two tables: closed loops, which fill the machine with many
// callers, and a paced one, which shows the path's own time.
func measure(ctx context.Context, c *harness.Cluster) error {
	fmt.Println("closed loops")
	if err := table(ctx, c, func(int) time.Duration { return 0 }); err != nil {
		return err
	}
	fmt.Printf("\npaced at %d calls/s over all callers\n", pacedRate)
	return table(ctx, c, func(callers int) time.Duration { return time.Duration(callers) * time.Second / pacedRate })
}

func table(ctx context.Context, c *harness.Cluster, interval func(callers int) time.Duration) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "callers\tway\tcalls/s\tp50 ms\tp95 ms\tp99 ms\tadded at p50 ms\t")
	for _, callers := range []int{1, 16, 128} {
		base := int64(0)
		for _, way := range []string{"direct", "idempotent", "claimed"} {
			h, err := drive(ctx, callers, interval(callers), ways(c)[way])
			if err != nil {
				return err
			}
			p50 := h.ValueAtQuantile(50)
			if way == "direct" {
				base = p50
			}
			fmt.Fprintf(w, "%d\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", callers, way, float64(h.TotalCount())/perMeasure.Seconds(),
				float64(p50)/1e3, float64(h.ValueAtQuantile(95))/1e3, float64(h.ValueAtQuantile(99))/1e3, float64(p50-base)/1e3)
		}
	}
	return w.Flush()
}

// drive calls for a fixed time, each caller at most once per interval.
func drive(ctx context.Context, callers int, interval time.Duration, call func(context.Context, int) error) (*hdrhistogram.Histogram, error) {
	total := hdrhistogram.New(1, maxMicros, 3)
	var mu sync.Mutex
	var failure error
	var wg sync.WaitGroup
	end := time.Now().Add(perMeasure)
	for k := range callers {
		wg.Go(func() {
			h := hdrhistogram.New(1, maxMicros, 3)
			next := time.Now().Add(interval * time.Duration(k) / time.Duration(callers))
			for time.Now().Before(end) {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				start := time.Now()
				if err := call(ctx, k); err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			total.Merge(h)
			mu.Unlock()
		})
	}
	wg.Wait()
	return total, failure
}
