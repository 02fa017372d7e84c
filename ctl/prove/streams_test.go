//go:build prove

package prove

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/fake"
	"cardamomwick.example/ctl/harness"
)

// TestAnswersAreComplete has 48 callers compare every answer with their request while
// engines crash and restart, so that streams break and requests have overlapping attempts.
func TestAnswersAreComplete(t *testing.T) {
	tc := startCluster(t, 4, 4)
	f := tc.startTraffic(48, func(worker, n int) *caller.Result {
		return tc.chat(worker%4, "scene", fmt.Sprintf("caller %d asks %d", worker, n), 20+(worker*7+n*13)%60)
	})
	for k := range 6 {
		time.Sleep(900 * time.Millisecond)
		id := fmt.Sprintf("e%d", 1+k%4)
		must(t, tc.AdjustEngine(fake.EngineAdjustment{Engine: id, Down: true}))
		time.Sleep(600 * time.Millisecond)
		must(t, tc.AdjustEngine(fake.EngineAdjustment{Engine: id}))
	}
	list := f.finish()
	wrong, incomplete := 0, 0
	for _, r := range list {
		switch {
		case r.Transport == nil && r.Outcome == state.OutcomeCompleted && !r.Correct:
			wrong++
		case checkCompleted(r) != nil:
			incomplete++
			t.Logf("incomplete: %v", checkCompleted(r))
		}
	}
	t.Logf("%d answers, %d wrong, %d not completed, outcomes %v", len(list), wrong, incomplete, countOutcomes(list))
	if wrong > 0 || incomplete > len(list)/100 {
		t.Fatal("answers were lost or belong to other requests")
	}
}

// TestTopTierInBurst queues calls of all classes while the top tier alone exceeds the
// capacity. No call of the top tier may be refused or cancelled in favour of a lower tier,
// and every class must run.
func TestTopTierInBurst(t *testing.T) {
	tc := startCluster(t, 4, 2)
	before, err := tc.FakeServerState()
	must(t, err)
	var lowerTiers []*traffic
	for _, class := range []string{"scene", "summary"} {
		lowerTiers = append(lowerTiers, tc.startTraffic(24, func(worker, n int) *caller.Result {
			return tc.chat(worker%4, class, fmt.Sprintf("%s %d %d", class, worker, n), 120)
		}))
	}
	time.Sleep(2 * time.Second)
	burst := tc.startTraffic(64, func(worker, n int) *caller.Result {
		return tc.chat(worker%4, "mood", fmt.Sprintf("mood %d %d", worker, n), 25)
	})
	time.Sleep(12 * time.Second)
	top := burst.finish()
	completed := map[string]int{}
	for k, f := range lowerTiers {
		f.cancel()
		class := []string{"scene", "summary"}[k]
		f.mu.Lock()
		for _, r := range f.results {
			if checkCompleted(r) == nil {
				completed[class]++
			}
		}
		f.mu.Unlock()
	}
	for _, r := range top {
		if err := checkCompleted(r); err != nil {
			t.Fatalf("a call of the top tier: %v", err)
		}
	}
	after, err := tc.FakeServerState()
	must(t, err)
	cancelled := int64(0)
	for id, e := range after.Engines {
		cancelled += e.CancelledTokens - before.Engines[id].CancelledTokens
	}
	t.Logf("top tier: %d of %d completed; lower classes completed meanwhile: %v; %d tokens cancelled at engines", len(top), len(top), completed, cancelled)
	if completed["scene"] == 0 || completed["summary"] == 0 {
		t.Fatal("a lower class did not run")
	}
	for _, f := range lowerTiers {
		f.wg.Wait()
	}
}

// lastNewRequest returns when a server last got a new request.
func (tc *testCluster) lastNewRequest(id string) time.Time {
	st, err := tc.FakeServerState()
	must(tc.t, err)
	return st.LastNewRequest[id]
}

// retireUnderLoad calls disrupt and retires e1 while calls are made. It returns how long
// after the order was accepted the server still got new requests.
func retireUnderLoad(t *testing.T, disrupt func(tc *testCluster)) time.Duration {
	tc := startCluster(t, 5, 3)
	f := tc.startTraffic(24, func(worker, n int) *caller.Result {
		return tc.chat(worker%5, "mood", fmt.Sprintf("%d %d", worker, n), 4)
	})
	time.Sleep(time.Second)
	disrupt(tc)
	ordered := time.Now()
	res, err := tc.Client.Retire(tc.ctx, "e1")
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
	accepted := time.Now()
	time.Sleep(6 * time.Second)
	list := f.finish()
	last := tc.lastNewRequest("e1").Sub(ordered)
	t.Logf("order accepted after %d ms; last new request %d ms after it was sent, %d ms after it was accepted; calls %v",
		accepted.Sub(ordered).Milliseconds(), last.Milliseconds(), tc.lastNewRequest("e1").Sub(accepted).Milliseconds(), countOutcomes(list))
	return tc.lastNewRequest("e1").Sub(accepted)
}

// maxRetireDelay is the length of the configuration lease and a margin for a busy machine.
const maxRetireDelay = 2500 * time.Millisecond

func TestRetireUnderLoad(t *testing.T) {
	if d := retireUnderLoad(t, func(*testCluster) {}); d > maxRetireDelay {
		t.Fatalf("new request %v after the order was accepted", d)
	}
}

func TestRetireWhileLeaderDies(t *testing.T) {
	if d := retireUnderLoad(t, func(tc *testCluster) { tc.leader().Process().Kill() }); d > maxRetireDelay {
		t.Fatalf("new request %v after the order was accepted", d)
	}
}

func TestRetireWhileEntryIsolated(t *testing.T) {
	d := retireUnderLoad(t, func(tc *testCluster) {
		tc.setClientInstances(0, 1, 2, 3)
		must(t, tc.Isolate(tc.Instances[4]))
	})
	if d > maxRetireDelay {
		t.Fatalf("new request %v after the order was accepted", d)
	}
}

// longAnswerTokens is the length of an answer that takes longer than an HTTP server waits
// for its connections by itself when it shuts down.
const longAnswerTokens = 900

// TestGracefulShutdown sends SIGTERM to an entry, the leader and another instance in turn
// under load. Callers use the address list; no call may break.
func TestGracefulShutdown(t *testing.T) {
	tc := startCluster(t, 5, 3)
	var next atomic.Int64
	pickAddress := func() string {
		for {
			i := tc.Instances[int(next.Add(1))%5]
			if list, err := caller.FetchAddresses(tc.ctx, i.CallerAddress, i.Zone); err == nil && len(list.Addresses) > 0 {
				return list.Addresses[0]
			}
		}
	}
	f := tc.startTraffic(32, func(worker, n int) *caller.Result {
		output := 60
		if worker%8 == 0 {
			output = longAnswerTokens
		}
		return caller.Do(tc.ctx, &caller.Request{Address: pickAddress(), CustomerKey: tc.CustomerKeys["villa"], Class: "scene", Model: "lumen",
			Prompt: []string{fmt.Sprintf("%d %d", worker, n)}, OutputTokens: output, Stream: true})
	})
	time.Sleep(time.Second)
	for _, k := range []int{4, tc.index(tc.leader()), 3} {
		i := tc.Instances[k]
		start := time.Now()
		if err := i.Process().Stop(40 * time.Second); err != nil {
			t.Fatalf("%s: %v", i.Name, err)
		}
		t.Logf("%s ended with exit code 0 after %d ms", i.Name, time.Since(start).Milliseconds())
		must(t, tc.StartInstance(i))
		must(t, tc.WaitInstancesReady(tc.ctx, 1))
	}
	list := f.finish()
	for _, r := range list {
		if err := checkCompleted(r); err != nil {
			t.Errorf("call broken by a shutdown: %v", err)
		}
	}
	t.Logf("%d calls, outcomes %v", len(list), countOutcomes(list))
}

// dispatcherAgreementTime is longer than a change of leases needs to reach all instances.
const dispatcherAgreementTime = 3 * time.Second

// longestGapAfterDispatcherLoss disrupts the dispatcher of a pool while calls are made
// through the other entries, restores it, and returns the longest time without an answer.
func longestGapAfterDispatcherLoss(t *testing.T, disrupt, restore func(i *harness.Instance)) time.Duration {
	tc := startCluster(t, 5, 3)
	victim := tc.dispatcherOf("lumen")
	entries := tc.indexesExcept(victim)
	var mu sync.Mutex
	var ends []time.Time
	f := tc.startTraffic(16, func(worker, n int) *caller.Result {
		r := tc.chat(entries[worker%len(entries)], "mood", fmt.Sprintf("%d %d", worker, n), 3)
		mu.Lock()
		ends = append(ends, time.Now())
		mu.Unlock()
		return r
	})
	time.Sleep(time.Second)
	disrupt(victim)
	last := time.Now()
	time.Sleep(4 * time.Second)
	restore(victim)
	time.Sleep(2 * time.Second)
	list := f.finish()
	gap := time.Duration(0)
	for _, e := range ends {
		if e.After(last) {
			gap = max(gap, e.Sub(last))
			last = e
		}
	}
	failed := 0
	for _, r := range list {
		if checkCompleted(r) != nil {
			failed++
			t.Logf("%v", checkCompleted(r))
		}
	}
	t.Logf("dispatcher %s: longest time without an answer %d ms; %d calls, %d failed", victim.Name, gap.Milliseconds(), len(list), failed)
	if failed > 0 {
		t.Fatal("calls were lost")
	}
	return gap
}

// dispatcherOf returns a pool's dispatcher after all instances agree on it. In the first
// seconds some instances are still considered to have no lease.
func (tc *testCluster) dispatcherOf(pool string) *harness.Instance {
	tc.t.Helper()
	time.Sleep(dispatcherAgreementTime)
	servers, err := tc.Client.Servers(tc.ctx)
	must(tc.t, err)
	for _, s := range servers {
		for _, i := range tc.Instances {
			if s.Pool == pool && s.Dispatcher == i.Name {
				return i
			}
		}
	}
	tc.t.Fatalf("no server of pool %s has a dispatcher", pool)
	return nil
}

// TestFrozenDispatcher freezes the dispatcher. The next dispatcher must take over, and no
// call may break when the former one continues.
func TestFrozenDispatcher(t *testing.T) {
	gap := longestGapAfterDispatcherLoss(t, func(i *harness.Instance) { i.Process().Signal(syscall.SIGSTOP) },
		func(i *harness.Instance) { i.Process().Signal(syscall.SIGCONT) })
	if gap > 1500*time.Millisecond {
		t.Fatalf("no call was answered for %v", gap)
	}
}

// TestKilledDispatcher kills the dispatcher. The other instances notice it by the broken
// connection.
func TestKilledDispatcher(t *testing.T) {
	gap := longestGapAfterDispatcherLoss(t, func(i *harness.Instance) { i.Process().Kill() }, func(*harness.Instance) {})
	if gap > time.Second {
		t.Fatalf("no call was answered for %v", gap)
	}
}
