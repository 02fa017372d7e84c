//go:build prove

package prove

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

func TestMain(m *testing.M) {
	logx.Disable()
	caller.ConfigureTransport()
	os.Exit(m.Run())
}

func ms(n int) bundle.Duration { return bundle.Duration(time.Duration(n) * time.Millisecond) }

// declarations is the proofs' bundle: two model classes of unlike tiers, plain
// calls that may not run twice, and calls that must not be lost.
func declarations(version uint64) *bundle.Bundle {
	class := func(tier int, first, deadline int) bundle.Class {
		return bundle.Class{Tier: tier, Idempotent: true, FirstTokenTarget: ms(first), Deadline: ms(deadline), Share: 0.05,
			Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}
	}
	b := &bundle.Bundle{Version: version, Classes: map[string]bundle.Class{
		"mood": class(1, 400, 60000), "scene": class(3, 5000, 120000), "summary": class(4, 5000, 120000),
		"dim": class(2, 1000, 8000), "sync": class(2, 2000, 8000)},
		Pools: map[string]bundle.Pool{"lumen": {Kind: bundle.PoolModel, DefaultClass: "mood"}, "fixtures": {Kind: bundle.PoolService, DefaultClass: "dim"}}}
	dim := b.Classes["dim"]
	dim.Idempotent = false
	b.Classes["dim"] = dim
	sync := b.Classes["sync"]
	sync.Durable = true
	b.Classes["sync"] = sync
	return b
}

// world is a running cluster of one proof.
type world struct {
	*harness.Cluster
	t   *testing.T
	ctx context.Context
}

// begin starts instances, three of them replicas, publishes version 1 and
// starts engines and services.
func begin(t *testing.T, instances, engines int) *world {
	t.Helper()
	dir := t.TempDir()
	if keep := os.Getenv("PROVE_KEEP"); keep != "" {
		dir = filepath.Join(keep, t.Name())
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	bin, err := filepath.Abs("../../bin")
	must(t, err)
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: dir, InstanceCount: instances, ReplicaCount: 3, Zones: []string{"a", "b"}, Customers: []string{"hotel", "villa"}})
	must(t, err)
	t.Cleanup(func() { cancel(); c.Close() })
	must(t, c.StartAll())
	must(t, c.WaitInstancesReady(ctx, 0))
	w := &world{c, t, ctx}
	w.publish(1)
	w.startServers(engines)
	return w
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (w *world) publish(version uint64) {
	w.t.Helper()
	res, err := w.Client.Publish(w.ctx, w.CompleteBundle(declarations(version)))
	must(w.t, err)
	if res.Code != state.CodeOK {
		w.t.Fatalf("publish %d: %s %s", version, res.Code, res.Message)
	}
	must(w.t, w.Client.WaitInForce(w.ctx, res.Order.Generation, nil))
}

const slots = 8

func (w *world) startServers(engines int) {
	w.t.Helper()
	var cfg fake.Config
	for n := range engines {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: fmt.Sprintf("e%d", n+1), Address: w.ServerAddress(n + 1), Zone: "a", Pool: "lumen", Slots: slots,
			StepBaseMicros: 8000, StepPerCallMicros: 300, PrefillTokensPerSecond: 20000, CachePrefixes: 64, ReportLagMillis: 1000, CacheEventLossPercent: 20})
	}
	for n := range 2 {
		cfg.Services = append(cfg.Services, fake.ServiceConfig{ID: fmt.Sprintf("s%d", n+1), Address: w.ServerAddress(40 + n), Zone: "b", Pool: "fixtures", Slots: 64, DelayMillis: 20})
	}
	must(w.t, w.StartFakeServers(cfg))
	must(w.t, w.WaitServersReady(w.ctx, engines+2))
}

func (w *world) chat(entry int, class, prompt string, output int) *caller.Result {
	return caller.Do(w.ctx, &caller.Request{Address: w.Instances[entry].CallerAddress, Customer: w.CustomerKeys["hotel"], Class: class, Model: "lumen",
		Prompt: []string{prompt}, OutputTokens: output, Stream: true})
}

func (w *world) dim(entry int, key, body string) *caller.Result {
	return w.call(entry, "dim", key, body)
}

func (w *world) call(entry int, class, key, body string) *caller.Result {
	return caller.Do(w.ctx, &caller.Request{Address: w.Instances[entry].CallerAddress, Customer: w.CustomerKeys["hotel"], Class: class, IdempotencyKey: key,
		Service: "fixtures", Path: "/dim", Body: []byte(body)})
}

func (w *world) runs(key string) int {
	w.t.Helper()
	list, err := w.Executions(key)
	must(w.t, err)
	return len(list)
}

func (w *world) leader() *harness.Instance {
	w.t.Helper()
	var l *harness.Instance
	must(w.t, harness.WaitFor(w.ctx, "a leader", func() bool {
		var err error
		l, err = w.Leader(w.ctx)
		return err == nil
	}))
	return l
}

func (w *world) index(i *harness.Instance) int {
	for k, x := range w.Instances {
		if x == i {
			return k
		}
	}
	return -1
}

// others returns the indices of the instances that are not named.
func (w *world) others(not ...*harness.Instance) []int {
	var out []int
	for k, x := range w.Instances {
		named := false
		for _, n := range not {
			named = named || x == n
		}
		if !named {
			out = append(out, k)
		}
	}
	return out
}

// operateBy leaves only the named entries to the operators' client.
func (w *world) operateBy(entries ...int) {
	w.Client.Addresses = nil
	for _, k := range entries {
		w.Client.Addresses = append(w.Client.Addresses, w.Instances[k].CallerAddress)
	}
}

// flow makes calls from several callers until stopped, and gathers results.
type flow struct {
	mu      sync.Mutex
	results []*caller.Result
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

func (w *world) flow(callers int, call func(worker, n int) *caller.Result) *flow {
	ctx, cancel := context.WithCancel(w.ctx)
	f := &flow{stop: cancel}
	for k := range callers {
		f.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := call(k, n)
				f.mu.Lock()
				f.results = append(f.results, r)
				f.mu.Unlock()
				if r.Transport != nil || r.Error != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return f
}

// end stops the flow and waits for the calls in flight.
func (f *flow) end() []*caller.Result {
	f.stop()
	f.wg.Wait()
	return f.results
}

// whole reports what is wrong with a call that should have completed.
func whole(r *caller.Result) error {
	switch {
	case r.Transport != nil:
		return r.Transport
	case r.Error != nil:
		return fmt.Errorf("%s %s: %s", r.Error.Outcome, r.Error.Type, r.Error.Message)
	case !r.Correct || r.Outcome != state.OutcomeCompleted:
		return fmt.Errorf("answer not whole: %d tokens, outcome %q, status %d", r.Tokens, r.Outcome, r.Status)
	}
	return nil
}

// tally counts outcomes, for the figures in the log.
func tally(list []*caller.Result) map[string]int {
	out := map[string]int{}
	for _, r := range list {
		k := string(r.Outcome)
		if r.Transport != nil {
			k = "no answer"
		}
		out[k]++
	}
	return out
}
