//go:build prove

package prove

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// testBundle returns the bundle of the tests: three classes of model calls in different
// tiers, the non-idempotent class dim and the durable class sync for plain services.
func testBundle(version uint64) *bundle.Bundle {
	class := func(tier int, firstTokenTarget, deadline int) bundle.Class {
		return bundle.Class{Tier: tier, Idempotent: true, FirstTokenTarget: ms(firstTokenTarget), Deadline: ms(deadline), Share: 0.05,
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

// testCluster is the running cluster of one test.
type testCluster struct {
	*harness.Cluster
	t   *testing.T
	ctx context.Context
}

// startCluster starts instances, three of them replicas, publishes version 1 of the test
// bundle, and starts fake engines and two fake services.
func startCluster(t *testing.T, instances, engines int) *testCluster {
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
	tc := &testCluster{c, t, ctx}
	tc.publish(1)
	tc.startServers(engines)
	return tc
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (tc *testCluster) publish(version uint64) {
	tc.t.Helper()
	res, err := tc.Client.Publish(tc.ctx, tc.CompleteBundle(testBundle(version)))
	must(tc.t, err)
	if res.Code != state.CodeOK {
		tc.t.Fatalf("publish %d: %s %s", version, res.Code, res.Message)
	}
	must(tc.t, tc.Client.WaitInForce(tc.ctx, res.Order.Generation, nil))
}

// engineSlots is the number of calls that a fake engine runs at once.
const engineSlots = 8

func (tc *testCluster) startServers(engines int) {
	tc.t.Helper()
	var cfg fake.Config
	for n := range engines {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: fmt.Sprintf("e%d", n+1), Address: tc.ServerAddress(n + 1), Zone: "a", Pool: "lumen", Slots: engineSlots,
			StepBaseMicros: 8000, StepPerCallMicros: 300, PrefillTokensPerSecond: 20000, CachePrefixes: 64, ReportLagMillis: 1000, CacheEventLossPercent: 20})
	}
	for n := range 2 {
		cfg.Services = append(cfg.Services, fake.ServiceConfig{ID: fmt.Sprintf("s%d", n+1), Address: tc.ServerAddress(40 + n), Zone: "b", Pool: "fixtures", Slots: 64, DelayMillis: 20})
	}
	must(tc.t, tc.StartFakeServers(cfg))
	must(tc.t, tc.WaitServersReady(tc.ctx, engines+2))
}

// chat makes a streaming chat call through an entry.
func (tc *testCluster) chat(entry int, class, prompt string, output int) *caller.Result {
	return caller.Do(tc.ctx, &caller.Request{Address: tc.Instances[entry].CallerAddress, CustomerKey: tc.CustomerKeys["hotel"], Class: class, Model: "lumen",
		Prompt: []string{prompt}, OutputTokens: output, Stream: true})
}

// callNonIdempotent makes a call that must run at most once.
func (tc *testCluster) callNonIdempotent(entry int, key, body string) *caller.Result {
	return tc.callService(entry, "dim", key, body)
}

// callService makes a call of a plain service through an entry.
func (tc *testCluster) callService(entry int, class, key, body string) *caller.Result {
	return caller.Do(tc.ctx, &caller.Request{Address: tc.Instances[entry].CallerAddress, CustomerKey: tc.CustomerKeys["hotel"], Class: class, IdempotencyKey: key,
		Service: "fixtures", Path: "/dim", Body: []byte(body)})
}

// executionCount returns how often the services have run a key.
func (tc *testCluster) executionCount(key string) int {
	tc.t.Helper()
	list, err := tc.Executions(key)
	must(tc.t, err)
	return len(list)
}

func (tc *testCluster) leader() *harness.Instance {
	tc.t.Helper()
	var leader *harness.Instance
	must(tc.t, harness.WaitFor(tc.ctx, "a leader", func() bool {
		var err error
		leader, err = tc.Leader(tc.ctx)
		return err == nil
	}))
	return leader
}

func (tc *testCluster) index(i *harness.Instance) int {
	for k, x := range tc.Instances {
		if x == i {
			return k
		}
	}
	return -1
}

// indexesExcept returns the indexes of all instances but the excluded ones.
func (tc *testCluster) indexesExcept(excluded ...*harness.Instance) []int {
	var out []int
	for k, x := range tc.Instances {
		if !slices.Contains(excluded, x) {
			out = append(out, k)
		}
	}
	return out
}

// setClientInstances makes the operators' client use only the instances with the given
// indexes.
func (tc *testCluster) setClientInstances(indexes ...int) {
	tc.Client.Addresses = nil
	for _, k := range indexes {
		tc.Client.Addresses = append(tc.Client.Addresses, tc.Instances[k].CallerAddress)
	}
}

// traffic is a number of concurrent callers and the results of their calls.
type traffic struct {
	mu      sync.Mutex
	results []*caller.Result
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// startTraffic starts callers that make one call after another until finish or cancel.
func (tc *testCluster) startTraffic(callers int, call func(worker, n int) *caller.Result) *traffic {
	ctx, cancel := context.WithCancel(tc.ctx)
	f := &traffic{cancel: cancel}
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

// finish stops the callers, waits for the calls in flight and returns all results.
func (f *traffic) finish() []*caller.Result {
	f.cancel()
	f.wg.Wait()
	return f.results
}

// checkCompleted returns an error if a call did not complete with the full, correct answer.
func checkCompleted(r *caller.Result) error {
	switch {
	case r.Transport != nil:
		return r.Transport
	case r.Error != nil:
		return fmt.Errorf("%s %s: %s", r.Error.Outcome, r.Error.Type, r.Error.Message)
	case !r.Correct || r.Outcome != state.OutcomeCompleted:
		return fmt.Errorf("incomplete or wrong answer: %d tokens, outcome %q, status %d", r.Tokens, r.Outcome, r.Status)
	}
	return nil
}

// countOutcomes counts the results by outcome.
func countOutcomes(list []*caller.Result) map[string]int {
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
