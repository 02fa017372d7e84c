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

// onceInput is a call with a key, or the count of its runs at the services.
type onceInput struct {
	key   string
	count bool
}

type onceOutput struct {
	outcome state.Outcome // "" for no answer
	repeat  bool
	runs    int
}

// onceModel: a key has run or not. An answer "completed" that is no repeat is
// the one run; "unknown" and a lost answer leave both open; "not_run" is no
// run. In the end the services' count tells which it was.
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
		case i.count && o.runs == map[bool]int{true: 1, false: 0}[ran]:
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

// onceHistory gathers calls with keys.
type onceHistory struct {
	w   *world
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *onceHistory) call(client, entry int, key, body string) *caller.Result {
	begin := time.Now().UnixNano()
	r := h.w.dim(entry, key, body)
	out := onceOutput{outcome: r.Outcome, repeat: r.Repeat}
	if r.Transport != nil {
		out.outcome = ""
	}
	if r.Transport == nil && r.Outcome == state.OutcomeCompleted && !r.Correct {
		h.w.t.Errorf("key %s: the answer belongs to another request", key)
	}
	end := time.Now().UnixNano()
	if out.outcome == "" || out.outcome == state.OutcomeUnknown {
		end = time.Now().Add(time.Hour).UnixNano() // it may still run after this
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: onceInput{key: key}, Call: begin, Output: out, Return: end})
	return r
}

// settle waits until the services are quiet, counts runs and checks.
func (h *onceHistory) settle(wait time.Duration) {
	h.w.t.Helper()
	time.Sleep(wait)
	keys := map[string]bool{}
	outcomes := map[string]int{}
	for _, op := range h.ops {
		keys[op.Input.(onceInput).key] = true
		outcomes[fmt.Sprintf("%q", op.Output.(onceOutput).outcome)]++
	}
	most, total := 0, 0
	late := time.Now().Add(2 * time.Hour).UnixNano()
	for k := range keys {
		n := h.w.runs(k)
		most = max(most, n)
		total += n
		h.ops = append(h.ops, porcupine.Operation{ClientId: 1 << 20, Input: onceInput{k, true}, Call: late, Output: onceOutput{runs: n}, Return: late + 1})
	}
	h.w.t.Logf("%d keys, %d answers %v, %d runs, at most %d for one key", len(keys), len(h.ops)-len(keys), outcomes, total, most)
	if r := porcupine.CheckOperationsTimeout(onceModel, h.ops, 60*time.Second); r != porcupine.Ok {
		h.w.t.Fatalf("not at most once: %v", r)
	}
}

// volley sends a batch of calls with fresh keys through one entry and, while
// they are under way, does harm to it; each key is then repeated through two
// other entries at the same time.
func (h *onceHistory) volley(entry int, others []int, calls int, harm func()) {
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
			var both sync.WaitGroup
			for _, o := range others[:2] {
				both.Go(func() { h.call(1000+k*10+o, o, key, body) })
			}
			both.Wait()
		})
	}
	time.Sleep(time.Duration(10+rand.Intn(30)) * time.Millisecond)
	harm()
	wg.Wait()
}

// TestOnceEntryKilled: the entry is killed before, at and after dispatch.
func TestOnceEntryKilled(t *testing.T) {
	w := begin(t, 5, 0)
	h := &onceHistory{w: w}
	for range 5 {
		victim := w.Instances[3]
		h.volley(3, []int{4, 0}, 30, func() { victim.Process().Kill() })
		must(t, w.StartInstance(victim))
		must(t, w.WaitInstancesReady(w.ctx, 1))
	}
	h.settle(time.Second)
}

// TestOnceLeaderKilled: the leader of the replicas is killed meanwhile.
func TestOnceLeaderKilled(t *testing.T) {
	w := begin(t, 5, 0)
	h := &onceHistory{w: w}
	for range 4 {
		l := w.leader()
		h.volley(3, []int{4, 3}, 30, func() { l.Process().Kill() })
		must(t, w.StartInstance(l))
		must(t, w.WaitInstancesReady(w.ctx, 1))
	}
	h.settle(time.Second)
}

// TestOnceEntryFrozen: the entry is frozen, also between claim and dispatch,
// for longer than every lease, and goes on later.
func TestOnceEntryFrozen(t *testing.T) {
	w := begin(t, 5, 0)
	h := &onceHistory{w: w}
	for range 4 {
		victim := w.Instances[3]
		h.volley(3, []int{4, 0}, 30, func() {
			victim.Process().Signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			victim.Process().Signal(syscall.SIGCONT)
		})
		must(t, w.WaitInstancesReady(w.ctx, 1))
	}
	h.settle(3 * time.Second)
}

// TestOnceServerSilent: the service takes the call and never answers, or cuts
// the connection, or refuses to start it; the key is repeated by two others.
func TestOnceServerSilent(t *testing.T) {
	w := begin(t, 4, 0)
	h := &onceHistory{w: w}
	var wg sync.WaitGroup
	for k := range 24 {
		kind := []string{"hang", "break", "refuse", "refuse-first"}[k%4]
		key := caller.NewIdempotencyKey()
		body := fmt.Sprintf(`{"fake":%q,"lamp":%d}`, kind, k)
		wg.Go(func() {
			r := h.call(k, k%4, key, body)
			var both sync.WaitGroup
			both.Go(func() { h.call(100+k, (k+1)%4, key, body) })
			both.Go(func() { h.call(200+k, (k+2)%4, key, body) })
			both.Wait()
			n := w.runs(key)
			if (kind == "hang" || kind == "break") && (n != 1 || r.Outcome != state.OutcomeUnknown) {
				t.Errorf("%s: %d runs, outcome %q; want 1 and unknown", kind, n, r.Outcome)
			}
			if kind == "refuse" && (n != 0 || r.Outcome != state.OutcomeNotRun) {
				t.Errorf("refuse: %d runs, outcome %q; want 0 and not_run", n, r.Outcome)
			}
			if kind == "refuse-first" && r.Outcome == state.OutcomeCompleted && n != 1 {
				t.Errorf("refuse-first: %d runs after completed", n)
			}
		})
	}
	wg.Wait()
	h.settle(time.Second)
}

// TestDurableTakenOver: calls that must not be lost are recorded; when their
// entry is killed before it could run them, another instance does.
func TestDurableTakenOver(t *testing.T) {
	w := begin(t, 5, 0)
	victim := w.Instances[3]
	var keys []string
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for k := range 20 {
		key := caller.NewIdempotencyKey()
		keys = append(keys, key)
		wg.Go(func() {
			r := w.call(3, "sync", key, fmt.Sprintf(`{"panel":%d,"delay_ms":1500}`, k))
			mu.Lock()
			defer mu.Unlock()
			if r.Transport == nil {
				accepted++
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	victim.Process().Kill()
	killed := time.Now()
	wg.Wait()
	open := 0
	must(t, harness.WaitFor(w.ctx, "all recorded calls completed elsewhere", func() bool {
		open = 0
		for k, key := range keys {
			r := w.call(4, "sync", key, fmt.Sprintf(`{"panel":%d,"delay_ms":1500}`, k))
			if r.Outcome != state.OutcomeCompleted {
				open++
			}
		}
		return open == 0
	}))
	t.Logf("%d calls in flight at the kill, %d had an answer; all completed by other instances %d ms after it", len(keys), accepted, time.Since(killed).Milliseconds())
}
