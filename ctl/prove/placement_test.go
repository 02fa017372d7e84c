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

// TestEngineOrders: engines come to a new version one after another under load.
// The instance that orders them is frozen in the middle for longer than its
// lease; another one takes over, and when the old one wakes no engine is sent a
// lower fencing number than it has seen, those that would obey it included.
func TestEngineOrders(t *testing.T) {
	w := begin(t, 5, 0)
	w.FakeServers.Kill()
	var cfg fake.Config
	const engines = 6
	for n := range engines {
		cfg.Engines = append(cfg.Engines, fake.EngineConfig{ID: fmt.Sprintf("e%d", n+1), Address: w.ServerAddress(n + 1), Zone: "a", Pool: "lumen", Slots: slots,
			StepBaseMicros: 8000, StepPerCallMicros: 300, PrefillTokensPerSecond: 20000, CachePrefixes: 64, LoadMillis: 400})
	}
	must(t, w.StartFakeServers(cfg))
	must(t, w.WaitServersReady(w.ctx, engines))
	f := w.flow(12, func(worker, n int) *caller.Result {
		return w.chat(worker%2, "mood", fmt.Sprintf("%d %d", worker, n), 10)
	})
	b := w.CompleteBundle(declarations(2))
	pool := b.Pools["lumen"]
	pool.EngineVersion = "v2"
	b.Pools["lumen"] = pool
	res, err := w.Client.Publish(w.ctx, b)
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
	start := time.Now()
	must(t, harness.WaitFor(w.ctx, "the first orders", func() bool { return w.onVersion("v2") >= 2 }))
	orderer := w.orderer()
	orderer.Process().Signal(syscall.SIGSTOP)
	frozen := time.Now()
	w.operateBy(w.others(orderer)...)
	must(t, harness.WaitFor(w.ctx, "all engines on the new version", func() bool { return w.onVersion("v2") == engines }))
	t.Logf("first two engines after %d ms, all %d with the orderer frozen %d ms after that", frozen.Sub(start).Milliseconds(), engines, time.Since(frozen).Milliseconds())
	b = w.CompleteBundle(declarations(3))
	pool.EngineVersion = "v3"
	b.Pools["lumen"] = pool
	if _, err := w.Client.Publish(w.ctx, b); err != nil {
		t.Fatal(err)
	}
	orderer.Process().Signal(syscall.SIGCONT)
	must(t, harness.WaitFor(w.ctx, "all engines on the next version", func() bool { return w.onVersion("v3") == engines }))
	list := f.end()
	bad := 0
	for _, r := range list {
		if whole(r) != nil && r.Transport == nil {
			bad++
		}
	}
	st, err := w.FakeServerState()
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
	t.Logf("%d orders, fences up to %d, never a lower one; %d calls meanwhile, %d not whole", orders, highest, len(list), bad)
	if highest < 2 || bad > len(list)/100 {
		t.Fatal("no take-over, or calls were lost")
	}
}

func (w *world) onVersion(v string) int {
	st, err := w.FakeServerState()
	must(w.t, err)
	n := 0
	for _, e := range st.Engines {
		if e.Version == v {
			n++
		}
	}
	return n
}

// orderer returns the instance that logged taking the order lease last.
func (w *world) orderer() *harness.Instance {
	w.t.Helper()
	for _, i := range w.Instances {
		if w.LogContains(i, "order lease taken") {
			return i
		}
	}
	w.t.Fatal("nobody took the order lease")
	return nil
}
