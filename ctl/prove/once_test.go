//go:build prove

package prove

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
	"cardamomwick.example/ctl/harness"
)

// onceInput is a call with a key or, if count is set, the final count of its executions at
// the services.
type onceInput struct {
	key   string
	count bool
}

type onceOutput struct {
	outcome state.Outcome // "" for no answer
	repeat  bool
	// executions is the result of an operation with count set.
	executions int
}

// onceModel is the model of a key, which has run or has not. An answer "completed" that is
// not marked as a repeat is the only execution, "not_run" means no execution, and after
// "unknown" or a lost answer both are possible. The count of executions at the end decides.
var onceModel = (&porcupine.NondeterministicModel{
	Partition: func(list []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range list {
			k := op.Input.(onceInput).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []interface{} { return []interface{}{false} },
	Step: func(st, in, out interface{}) []interface{} {
		ran, i, o := st.(bool), in.(onceInput), out.(onceOutput)
		switch {
		case i.count && o.executions == map[bool]int{true: 1, false: 0}[ran]:
			return []interface{}{ran}
		case i.count:
			return nil
		case o.outcome == state.OutcomeNotRun:
			return []interface{}{ran}
		case o.outcome == state.OutcomeCompleted && o.repeat == ran:
			return []interface{}{true}
		case o.outcome == state.OutcomeCompleted:
			return nil
		case ran:
			return []interface{}{true}
		}
		return []interface{}{false, true}
	},
	Equal: func(a, b interface{}) bool { return a == b },
}).ToModel()

// onceHistory records calls with keys.
type onceHistory struct {
	tc  *testCluster
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *onceHistory) call(client, entry int, key, body string) *caller.Result {
	start := time.Now().UnixNano()
	r := h.tc.callNonIdempotent(entry, key, body)
	out := onceOutput{outcome: r.Outcome, repeat: r.Repeat}
	if r.Transport != nil {
		out.outcome = ""
	}
	if r.Transport == nil && r.Outcome == state.OutcomeCompleted && !r.Correct {
		h.tc.t.Errorf("key %s: the answer belongs to another request", key)
	}
	end := time.Now().UnixNano()
	if out.outcome == "" || out.outcome == state.OutcomeUnknown {
		end = time.Now().Add(time.Hour).UnixNano() // it may still run after this
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: onceInput{key: key}, Call: start, Output: out, Return: end})
	return r
}

// check waits for the calls that still run at the services, counts the executions of each
// key and checks the history.
func (h *onceHistory) check(wait time.Duration) {
	h.tc.t.Helper()
	time.Sleep(wait)
	keys := map[string]bool{}
	outcomes := map[string]int{}
	for _, op := range h.ops {
		keys[op.Input.(onceInput).key] = true
		outcomes[fmt.Sprintf("%q", op.Output.(onceOutput).outcome)]++
	}
	most, total := 0, 0
	afterAll := time.Now().Add(2 * time.Hour).UnixNano()
	for k := range keys {
		n := h.tc.executionCount(k)
		most = max(most, n)
		total += n
		h.ops = append(h.ops, porcupine.Operation{ClientId: 1 << 20, Input: onceInput{k, true}, Call: afterAll, Output: onceOutput{executions: n}, Return: afterAll + 1})
	}
	h.tc.t.Logf("%d keys, %d answers %v, %d executions, at most %d for one key", len(keys), len(h.ops)-len(keys), outcomes, total, most)
	if r := porcupine.CheckOperationsTimeout(onceModel, h.ops, 60*time.Second); r != porcupine.Ok {
		h.tc.t.Fatalf("history is not linearizable as at most one execution per key: %v", r)
	}
}

// callWhileDisrupted sends calls with new keys through one entry and calls disrupt while
// they are in flight. Each call that did not complete is then repeated through the first
// two of the other entries at the same time.
func (h *onceHistory) callWhileDisrupted(entry int, others []int, calls int, disrupt func()) {
	var wg sync.WaitGroup
	for k := range calls {
		key := caller.NewIdempotencyKey()
		body := fmt.Sprintf(`{"lamp":%d,"key":%q}`, k, key)
		wg.Go(func() {
			time.Sleep(time.Duration(rand.Intn(40)) * time.Millisecond)
			r := h.call(k, entry, key, body)
			if r.Transport == nil && r.Outcome == state.OutcomeCompleted {
				return
			}
			var repeats sync.WaitGroup
			for _, o := range others[:2] {
				repeats.Go(func() { h.call(1000+k*10+o, o, key, body) })
			}
			repeats.Wait()
		})
	}
	time.Sleep(time.Duration(10+rand.Intn(30)) * time.Millisecond)
	disrupt()
	wg.Wait()
}

// TestOnceEntryKilled kills the entry before, during and after the dispatch of calls.
func TestOnceEntryKilled(t *testing.T) {
	tc := startCluster(t, 5, 0)
	h := &onceHistory{tc: tc}
	for range 5 {
		victim := tc.Instances[3]
		h.callWhileDisrupted(3, []int{4, 0}, 30, func() { victim.Process().Kill() })
		must(t, tc.StartInstance(victim))
		must(t, tc.WaitInstancesReady(tc.ctx, 1))
	}
	h.check(time.Second)
}

// TestOnceLeaderKilled kills the leader of the replica group while calls are in flight.
func TestOnceLeaderKilled(t *testing.T) {
	tc := startCluster(t, 5, 0)
	h := &onceHistory{tc: tc}
	for range 4 {
		leader := tc.leader()
		h.callWhileDisrupted(3, []int{4, 3}, 30, func() { leader.Process().Kill() })
		must(t, tc.StartInstance(leader))
		must(t, tc.WaitInstancesReady(tc.ctx, 1))
	}
	h.check(time.Second)
}

// TestOnceEntryFrozen freezes the entry, also between claim and dispatch, for longer than
// any lease lasts, and continues it.
func TestOnceEntryFrozen(t *testing.T) {
	tc := startCluster(t, 5, 0)
	h := &onceHistory{tc: tc}
	for range 4 {
		victim := tc.Instances[3]
		h.callWhileDisrupted(3, []int{4, 0}, 30, func() {
			victim.Process().Signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			victim.Process().Signal(syscall.SIGCONT)
		})
		must(t, tc.WaitInstancesReady(tc.ctx, 1))
	}
	h.check(3 * time.Second)
}

// TestOnceServerSilent has the service accept the call and never answer, break the
// connection, or refuse to start the call. The key is repeated through two other entries.
func TestOnceServerSilent(t *testing.T) {
	tc := startCluster(t, 4, 0)
	h := &onceHistory{tc: tc}
	var wg sync.WaitGroup
	for k := range 24 {
		kind := []string{"hang", "break", "refuse", "refuse-first"}[k%4]
		key := caller.NewIdempotencyKey()
		body := fmt.Sprintf(`{"fake":%q,"lamp":%d}`, kind, k)
		wg.Go(func() {
			r := h.call(k, k%4, key, body)
			var repeats sync.WaitGroup
			repeats.Go(func() { h.call(100+k, (k+1)%4, key, body) })
			repeats.Go(func() { h.call(200+k, (k+2)%4, key, body) })
			repeats.Wait()
			n := tc.executionCount(key)
			if (kind == "hang" || kind == "break") && (n != 1 || r.Outcome != state.OutcomeUnknown) {
				t.Errorf("%s: %d executions, outcome %q; want 1 and unknown", kind, n, r.Outcome)
			}
			if kind == "refuse" && (n != 0 || r.Outcome != state.OutcomeNotRun) {
				t.Errorf("refuse: %d executions, outcome %q; want 0 and not_run", n, r.Outcome)
			}
			if kind == "refuse-first" && r.Outcome == state.OutcomeCompleted && n != 1 {
				t.Errorf("refuse-first: %d executions after completed", n)
			}
		})
	}
	wg.Wait()
	h.check(time.Second)
}

// TestDurableTakenOver kills the entry of durable calls before it has run them. Other
// instances must run them.
func TestDurableTakenOver(t *testing.T) {
	tc := startCluster(t, 5, 0)
	victim := tc.Instances[3]
	var keys []string
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for k := range 20 {
		key := caller.NewIdempotencyKey()
		keys = append(keys, key)
		wg.Go(func() {
			r := tc.callService(3, "sync", key, fmt.Sprintf(`{"panel":%d,"delay_ms":1500}`, k))
			mu.Lock()
			defer mu.Unlock()
			if r.Transport == nil {
				answered++
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	victim.Process().Kill()
	killed := time.Now()
	wg.Wait()
	open := 0
	must(t, harness.WaitFor(tc.ctx, "all durable calls completed by other instances", func() bool {
		open = 0
		for k, key := range keys {
			r := tc.callService(4, "sync", key, fmt.Sprintf(`{"panel":%d,"delay_ms":1500}`, k))
			if r.Outcome != state.OutcomeCompleted {
				open++
			}
		}
		return open == 0
	}))
	t.Logf("%d calls in flight at the kill, %d had an answer; all completed by other instances %d ms after it", len(keys), answered, time.Since(killed).Milliseconds())
}
