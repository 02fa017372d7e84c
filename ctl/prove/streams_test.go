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

// TestAnswersWhole: 48 callers compare every answer with their own request
// while engines crash and come back, so that streams break and attempts cross.
func TestAnswersWhole(t *testing.T) {
	w := begin(t, 4, 4)
	f := w.flow(48, func(worker, n int) *caller.Result {
		return w.chat(worker%4, "scene", fmt.Sprintf("caller %d asks %d", worker, n), 20+(worker*7+n*13)%60)
	})
	for k := range 6 {
		time.Sleep(900 * time.Millisecond)
		id := fmt.Sprintf("e%d", 1+k%4)
		must(t, w.AdjustEngine(fake.EngineAdjustment{Engine: id, Down: true}))
		time.Sleep(600 * time.Millisecond)
		must(t, w.AdjustEngine(fake.EngineAdjustment{Engine: id}))
	}
	list := f.end()
	wrong, notWhole := 0, 0
	for _, r := range list {
		switch {
		case r.Transport == nil && r.Outcome == state.OutcomeCompleted && !r.Correct:
			wrong++
		case whole(r) != nil:
			notWhole++
			t.Logf("not whole: %v", whole(r))
		}
	}
	t.Logf("%d answers, %d wrong, %d not completed, outcomes %v", len(list), wrong, notWhole, tally(list))
	if wrong > 0 || notWhole > len(list)/100 {
		t.Fatal("answers were lost or crossed")
	}
}

// TestTopTierInBurst: every class queues and the top tier alone bursts over the
// capacity. None of it is refused or cut for a lower one, and every class runs.
func TestTopTierInBurst(t *testing.T) {
	w := begin(t, 4, 2)
	before, err := w.FakeServerState()
	must(t, err)
	var low []*flow
	for _, class := range []string{"scene", "summary"} {
		low = append(low, w.flow(24, func(worker, n int) *caller.Result {
			return w.chat(worker%4, class, fmt.Sprintf("%s %d %d", class, worker, n), 120)
		}))
	}
	time.Sleep(2 * time.Second)
	burst := w.flow(64, func(worker, n int) *caller.Result {
		return w.chat(worker%4, "mood", fmt.Sprintf("dusk %d %d", worker, n), 25)
	})
	time.Sleep(12 * time.Second)
	top := burst.end()
	completed := map[string]int{}
	for k, f := range low {
		f.stop()
		class := []string{"scene", "summary"}[k]
		f.mu.Lock()
		for _, r := range f.results {
			if whole(r) == nil {
				completed[class]++
			}
		}
		f.mu.Unlock()
	}
	for _, r := range top {
		if err := whole(r); err != nil {
			t.Fatalf("a call of the top tier: %v", err)
		}
	}
	after, err := w.FakeServerState()
	must(t, err)
	cancelled := int64(0)
	for id, e := range after.Engines {
		cancelled += e.CancelledTokens - before.Engines[id].CancelledTokens
	}
	t.Logf("top tier %d of %d whole; lower classes completed meanwhile: %v; tokens cancelled at engines %d", len(top), len(top), completed, cancelled)
	if completed["scene"] == 0 || completed["summary"] == 0 {
		t.Fatal("a class did not run")
	}
	for _, f := range low {
		f.wg.Wait()
	}
}

// lastStart returns when a server last got new work.
func (w *world) lastStart(id string) time.Time {
	st, err := w.FakeServerState()
	must(w.t, err)
	return st.LastNewRequest[id]
}

// retireUnderLoad retires e1 while calls flow, with a disturbance, and returns
// how long new work still came.
func retireUnderLoad(t *testing.T, disturb func(w *world)) time.Duration {
	w := begin(t, 5, 3)
	f := w.flow(24, func(worker, n int) *caller.Result {
		return w.chat(worker%5, "mood", fmt.Sprintf("%d %d", worker, n), 4)
	})
	time.Sleep(time.Second)
	disturb(w)
	at := time.Now()
	res, err := w.Client.Retire(w.ctx, "e1")
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
	accepted := time.Now()
	time.Sleep(6 * time.Second)
	list := f.end()
	last := w.lastStart("e1").Sub(at)
	t.Logf("order accepted after %d ms; last new work %d ms after it was given, %d ms after it was accepted; calls %v",
		accepted.Sub(at).Milliseconds(), last.Milliseconds(), w.lastStart("e1").Sub(accepted).Milliseconds(), tally(list))
	return w.lastStart("e1").Sub(accepted)
}

// retireLimit is the configuration lease; with margin for a busy machine.
const retireLimit = 2500 * time.Millisecond

func TestRetireUnderLoad(t *testing.T) {
	if d := retireUnderLoad(t, func(*world) {}); d > retireLimit {
		t.Fatalf("new work %v after the order was accepted", d)
	}
}

func TestRetireWhileLeaderDies(t *testing.T) {
	if d := retireUnderLoad(t, func(w *world) { w.leader().Process().Kill() }); d > retireLimit {
		t.Fatalf("new work %v after the order was accepted", d)
	}
}

func TestRetireWhileEntryCutOff(t *testing.T) {
	d := retireUnderLoad(t, func(w *world) {
		w.operateBy(0, 1, 2, 3)
		must(t, w.Isolate(w.Instances[4]))
	})
	if d > retireLimit {
		t.Fatalf("new work %v after the order was accepted", d)
	}
}

// longScene takes longer than an HTTP server waits for its connections by
// itself.
const longScene = 900

// TestGracefulShutdown: entry, dispatcher and leader get SIGTERM under load, in
// turn. Callers follow the address list, as callers do; none is cut off.
func TestGracefulShutdown(t *testing.T) {
	w := begin(t, 5, 3)
	var next atomic.Int64
	pick := func() string {
		for {
			i := w.Instances[int(next.Add(1))%5]
			if list, err := caller.FetchAddresses(w.ctx, i.CallerAddress, i.Zone); err == nil && len(list.Addresses) > 0 {
				return list.Addresses[0]
			}
		}
	}
	f := w.flow(32, func(worker, n int) *caller.Result {
		output := 60
		if worker%8 == 0 {
			output = longScene
		}
		return caller.Do(w.ctx, &caller.Request{Address: pick(), Customer: w.CustomerKeys["villa"], Class: "scene", Model: "lumen",
			Prompt: []string{fmt.Sprintf("%d %d", worker, n)}, OutputTokens: output, Stream: true})
	})
	time.Sleep(time.Second)
	for _, k := range []int{4, w.index(w.leader()), 3} {
		i := w.Instances[k]
		start := time.Now()
		if err := i.Process().Stop(40 * time.Second); err != nil {
			t.Fatalf("%s: %v", i.Name, err)
		}
		t.Logf("%s ended with exit code 0 after %d ms", i.Name, time.Since(start).Milliseconds())
		must(t, w.StartInstance(i))
		must(t, w.WaitInstancesReady(w.ctx, 1))
	}
	list := f.end()
	for _, r := range list {
		if err := whole(r); err != nil {
			t.Errorf("cut off: %v", err)
		}
	}
	t.Logf("%d calls, outcomes %v", len(list), tally(list))
}

// agreeTime is longer than news of leases travel.
const agreeTime = 3 * time.Second

// dispatcherLost harms the dispatcher of a pool while calls flow through the
// other entries, and returns the longest time without an answer since.
func dispatcherLost(t *testing.T, harm, heal func(i *harness.Instance)) time.Duration {
	w := begin(t, 5, 3)
	victim := w.dispatcherOf("lumen")
	rest := w.others(victim)
	var mu sync.Mutex
	var ends []time.Time
	f := w.flow(16, func(worker, n int) *caller.Result {
		r := w.chat(rest[worker%len(rest)], "mood", fmt.Sprintf("%d %d", worker, n), 3)
		mu.Lock()
		ends = append(ends, time.Now())
		mu.Unlock()
		return r
	})
	time.Sleep(time.Second)
	harm(victim)
	last := time.Now()
	time.Sleep(4 * time.Second)
	heal(victim)
	time.Sleep(2 * time.Second)
	list := f.end()
	gap := time.Duration(0)
	for _, e := range ends {
		if e.After(last) {
			gap = max(gap, e.Sub(last))
			last = e
		}
	}
	bad := 0
	for _, r := range list {
		if whole(r) != nil {
			bad++
			t.Logf("%v", whole(r))
		}
	}
	t.Logf("dispatcher %s: longest time without an answer %d ms; %d calls, %d not whole", victim.Name, gap.Milliseconds(), len(list), bad)
	if bad > 0 {
		t.Fatal("calls were lost")
	}
	return gap
}

// dispatcherOf returns a pool's dispatcher once all instances agree on it: in the
// first seconds some are still believed without a lease.
func (w *world) dispatcherOf(pool string) *harness.Instance {
	w.t.Helper()
	time.Sleep(agreeTime)
	servers, err := w.Client.Servers(w.ctx)
	must(w.t, err)
	for _, s := range servers {
		for _, i := range w.Instances {
			if s.Pool == pool && s.Dispatcher == i.Name {
				return i
			}
		}
	}
	w.t.Fatal("no dispatcher")
	return nil
}

// TestFrozenDispatcher: calls go on by the next dispatcher, and nothing breaks
// when the old one wakes.
func TestFrozenDispatcher(t *testing.T) {
	gap := dispatcherLost(t, func(i *harness.Instance) { i.Process().Signal(syscall.SIGSTOP) },
		func(i *harness.Instance) { i.Process().Signal(syscall.SIGCONT) })
	if gap > 1500*time.Millisecond {
		t.Fatal("calls were held up")
	}
}

// TestKilledDispatcher: a dead dispatcher is noticed by its broken connection.
func TestKilledDispatcher(t *testing.T) {
	gap := dispatcherLost(t, func(i *harness.Instance) { i.Process().Kill() }, func(*harness.Instance) {})
	if gap > time.Second {
		t.Fatal("calls were held up")
	}
}
