// Command overhead measures the latency that an entry adds to a call, compared with calling
// the fake server directly in the same run. It uses 1, 16 and 128 callers, an idempotent
// class, and a class whose idempotency keys are claimed.
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
	runTimeout         = 3 * time.Minute
	measureDuration    = 3 * time.Second
	serverSlots        = 1024
	histogramMaxMicros = int64(10 * time.Second / time.Microsecond)
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
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: 3, ReplicaCount: 3, Zones: []string{"a"}, Customers: []string{"hotel"}, LogLevel: "warn"})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := startCluster(ctx, c); err != nil {
		return err
	}
	return measure(ctx, c)
}

func startCluster(ctx context.Context, c *harness.Cluster) error {
	second := bundle.Duration(time.Second)
	class := bundle.Class{Tier: 1, Idempotent: true, FirstTokenTarget: second, Deadline: 10 * second, Order: bundle.QueueFIFO,
		GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}
	claimed := class
	claimed.Idempotent = false
	b := &bundle.Bundle{Version: 1, Classes: map[string]bundle.Class{"plain": class, "once": claimed},
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

// paths returns the compared paths to the server.
func paths(c *harness.Cluster) map[string]func(ctx context.Context, worker int) error {
	body := []byte(`{"lamp":7,"level":40}`)
	throughEntry := func(class string, withKey bool) func(context.Context, int) error {
		return func(ctx context.Context, worker int) error {
			r := &caller.Request{Address: c.Instances[worker%3].CallerAddress, CustomerKey: c.CustomerKeys["hotel"], Class: class, Service: "fixtures", Path: "/dim", Body: body}
			if withKey {
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
	return map[string]func(context.Context, int) error{"direct": direct, "idempotent": throughEntry("plain", false), "claimed": throughEntry("once", true)}
}

// pacedCallsPerSecond is the total rate of all callers in the paced measurement, about the
// peak that the users expect.
const pacedCallsPerSecond = 1000

// measure prints two tables. In the closed loop, many callers saturate the machine; the
// paced calls show the latency of the path itself.
func measure(ctx context.Context, c *harness.Cluster) error {
	fmt.Println("closed loops")
	if err := printTable(ctx, c, func(int) time.Duration { return 0 }); err != nil {
		return err
	}
	fmt.Printf("\npaced at %d calls/s over all callers\n", pacedCallsPerSecond)
	return printTable(ctx, c, func(callers int) time.Duration { return time.Duration(callers) * time.Second / pacedCallsPerSecond })
}

func printTable(ctx context.Context, c *harness.Cluster, interval func(callers int) time.Duration) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "callers\tpath\tcalls/s\tp50 ms\tp95 ms\tp99 ms\tadded at p50 ms\t")
	for _, callers := range []int{1, 16, 128} {
		directP50 := int64(0)
		for _, path := range []string{"direct", "idempotent", "claimed"} {
			latencies, err := runCallers(ctx, callers, interval(callers), paths(c)[path])
			if err != nil {
				return err
			}
			p50 := latencies.ValueAtQuantile(50)
			if path == "direct" {
				directP50 = p50
			}
			fmt.Fprintf(w, "%d\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", callers, path, float64(latencies.TotalCount())/measureDuration.Seconds(),
				float64(p50)/1e3, float64(latencies.ValueAtQuantile(95))/1e3, float64(latencies.ValueAtQuantile(99))/1e3, float64(p50-directP50)/1e3)
		}
	}
	return w.Flush()
}

// runCallers calls for measureDuration, each caller at most once per interval, and returns
// the latencies.
func runCallers(ctx context.Context, callers int, interval time.Duration, call func(context.Context, int) error) (*hdrhistogram.Histogram, error) {
	total := hdrhistogram.New(1, histogramMaxMicros, 3)
	var mu sync.Mutex
	var failure error
	var wg sync.WaitGroup
	end := time.Now().Add(measureDuration)
	for k := range callers {
		wg.Go(func() {
			latencies := hdrhistogram.New(1, histogramMaxMicros, 3)
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
				_ = latencies.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			total.Merge(latencies)
			mu.Unlock()
		})
	}
	wg.Wait()
	return total, failure
}
