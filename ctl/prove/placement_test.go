//go:build prove

package prove

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

// TestEngineOrders updates the engines to a new version one after another under load. The
// holder of the order lease is frozen in the middle for longer than its lease, so that
// another instance takes over. When the former holder continues, no engine may get a lower
// fencing number than it has seen, not even an engine that ignores fencing numbers.
func TestEngineOrders(t *testing.T) {
	tc := startCluster(t, 5, 0)
	tc.FakeServers.Kill()
	var cfg fake.Config
	const engines = 6
	for n := range engines {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: fmt.Sprintf("e%d", n+1), Address: tc.ServerAddress(n + 1), Zone: "a", Pool: "lumen", Slots: engineSlots,
			StepBaseMicros: 8000, StepPerCallMicros: 300, PrefillTokensPerSecond: 20000, CachePrefixes: 64, LoadMillis: 400})
	}
	must(t, tc.StartFakeServers(cfg))
	must(t, tc.WaitServersReady(tc.ctx, engines))
	f := tc.startTraffic(12, func(worker, n int) *caller.Result {
		return tc.chat(worker%2, "mood", fmt.Sprintf("%d %d", worker, n), 10)
	})
	b := tc.CompleteBundle(testBundle(2))
	pool := b.Pools["lumen"]
	pool.EngineVersion = "v2"
	b.Pools["lumen"] = pool
	res, err := tc.Client.Publish(tc.ctx, b)
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
	start := time.Now()
	must(t, harness.WaitFor(tc.ctx, "the first orders", func() bool { return tc.enginesOnVersion("v2") >= 2 }))
	holder := tc.orderLeaseHolder()
	holder.Process().Signal(syscall.SIGSTOP)
	frozen := time.Now()
	tc.setClientInstances(tc.indexesExcept(holder)...)
	must(t, harness.WaitFor(tc.ctx, "all engines on the new version", func() bool { return tc.enginesOnVersion("v2") == engines }))
	t.Logf("first two engines after %d ms, all %d with the lease holder frozen %d ms after that", frozen.Sub(start).Milliseconds(), engines, time.Since(frozen).Milliseconds())
	b = tc.CompleteBundle(testBundle(3))
	pool.EngineVersion = "v3"
	b.Pools["lumen"] = pool
	if _, err := tc.Client.Publish(tc.ctx, b); err != nil {
		t.Fatal(err)
	}
	holder.Process().Signal(syscall.SIGCONT)
	must(t, harness.WaitFor(tc.ctx, "all engines on the next version", func() bool { return tc.enginesOnVersion("v3") == engines }))
	list := f.finish()
	failed := 0
	for _, r := range list {
		if checkCompleted(r) != nil && r.Transport == nil {
			failed++
		}
	}
	st, err := tc.FakeServerState()
	must(t, err)
	orders, highest := 0, uint64(0)
	for id, e := range st.Engines {
		last := uint64(0)
		for _, o := range e.Orders {
			orders++
			if o.Fence < last {
				t.Errorf("%s was sent fence %d after %d", id, o.Fence, last)
			}
			last = max(last, o.Fence)
		}
		highest = max(highest, last)
	}
	t.Logf("%d orders, fences up to %d, none lower than before; %d calls meanwhile, %d failed", orders, highest, len(list), failed)
	if highest < 2 || failed > len(list)/100 {
		t.Fatal("no takeover of the order lease, or calls were lost")
	}
}

// enginesOnVersion counts the engines that run a version.
func (tc *testCluster) enginesOnVersion(v string) int {
	st, err := tc.FakeServerState()
	must(tc.t, err)
	n := 0
	for _, e := range st.Engines {
		if e.Version == v {
			n++
		}
	}
	return n
}

// orderLeaseHolder returns the first instance whose log shows that it took the order lease.
func (tc *testCluster) orderLeaseHolder() *harness.Instance {
	tc.t.Helper()
	for _, i := range tc.Instances {
		if tc.LogContains(i, "order lease taken") {
			return i
		}
	}
	tc.t.Fatal("no instance took the order lease")
	return nil
}
