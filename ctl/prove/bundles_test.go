//go:build prove

package prove

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/client"
	"cardamomwick.example/ctl/harness"
)

// registerInput and registerOutput are one operation on the configuration.
type registerInput struct {
	read     bool
	version  uint64
	digest   string
	expected uint64
}

type registerOutput struct {
	code       state.Code
	generation uint64
	version    uint64
	winner     string
}

// registerState is the specification of a versioned register: which digest
// holds each version, and the generation that each publish answered.
type registerState struct {
	generation, highest uint64
	digests             map[uint64]string
	answers             map[uint64]uint64
}

func (s registerState) with(version uint64, digest string) registerState {
	next := registerState{s.generation + 1, version, map[uint64]string{}, map[uint64]uint64{}}
	for k, v := range s.digests {
		next.digests[k], next.answers[k] = v, s.answers[k]
	}
	next.digests[version], next.answers[version] = digest, next.generation
	return next
}

var registerModel = porcupine.Model{
	Init: func() interface{} { return registerState{} },
	Step: func(st, in, out interface{}) (bool, interface{}) {
		s, i, o := st.(registerState), in.(registerInput), out.(registerOutput)
		held, taken := s.digests[i.version]
		switch {
		case i.read:
			return o.generation == s.generation && o.version == s.highest, s
		case taken && held == i.digest:
			return o.code == state.CodeOK && o.generation == s.answers[i.version], s
		case taken:
			return o.code == state.CodeConflict && o.winner == held, s
		case i.expected != s.generation:
			return o.code == state.CodeStale, s
		case i.version <= s.highest:
			return o.code == state.CodeConflict, s
		}
		next := s.with(i.version, i.digest)
		return o.code == state.CodeOK && o.generation == next.generation, next
	},
	Equal: func(a, b interface{}) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
}

// history gathers operations with their times.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) do(client int, in registerInput, f func() registerOutput) registerOutput {
	call := time.Now().UnixNano()
	out := f()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()})
	return out
}

// TestOperatorsRace: three operators publish equal version numbers at once and
// resend, while the leader is killed again and again. The history must be that
// of a versioned register: one winner, the same answer for every repeat.
func TestOperatorsRace(t *testing.T) {
	w := begin(t, 4, 0)
	const rounds = 14
	h := &history{}
	read := func(client int, c *client.Client) uint64 {
		in := registerInput{read: true}
		out := h.do(client, in, func() registerOutput {
			st, err := c.Status(w.ctx)
			if err != nil {
				t.Error(err)
			}
			return registerOutput{generation: st.Generation, version: st.BundleVersion}
		})
		return out.generation
	}
	first := w.CompleteBundle(declarations(1))
	h.ops = append(h.ops, porcupine.Operation{Input: registerInput{version: 1, digest: first.Digest()}, Output: registerOutput{code: state.CodeOK, generation: 1}, Call: 0, Return: 1})
	stop := w.watchGenerations()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for k := range rounds / 4 {
			time.Sleep(700 * time.Millisecond)
			l := w.leader()
			l.Process().Kill()
			time.Sleep(1200 * time.Millisecond)
			if err := w.StartInstance(l); err != nil {
				t.Error(err)
			}
			t.Logf("kill %d: leader %s", k+1, l.Name)
		}
	}()
	var wg sync.WaitGroup
	for k := range 3 {
		wg.Go(func() {
			c := &client.Client{Key: w.Client.Key, Addresses: append(append([]string{}, w.Client.Addresses[k:]...), w.Client.Addresses[:k]...)}
			for v := uint64(2); v < 2+rounds; v++ {
				b := w.CompleteBundle(declarations(v))
				b.Description = fmt.Sprintf("by client %d", k)
				w.raceOne(h, k, c, b, read)
			}
		})
	}
	wg.Wait()
	<-done
	stop()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, 60*time.Second)
	t.Logf("%d operations, linearizable: %v", len(h.ops), result)
	if result != porcupine.Ok {
		t.Fatalf("history is not that of a versioned register: %v", result)
	}
}

// raceOne publishes one version until it is decided, then repeats the order as
// after a lost answer.
func (w *world) raceOne(h *history, id int, c *client.Client, b *bundle.Bundle, read func(int, *client.Client) uint64) {
	for w.ctx.Err() == nil {
		o := c.SignPublishOrder(b, read(id, c))
		in := registerInput{version: o.Version, digest: o.Digest, expected: o.Expected}
		send := func() registerOutput {
			res, err := c.SendOrder(w.ctx, o)
			if err != nil {
				w.t.Error(err)
			}
			return registerOutput{res.Code, res.Order.Generation, 0, res.Order.WinnerDigest}
		}
		out := h.do(id, in, send)
		if out.code == state.CodeStale {
			continue
		}
		if again := h.do(id, in, send); again != out {
			w.t.Errorf("version %d: first answer %+v, repeat %+v", o.Version, out, again)
		}
		return
	}
}

// watchGenerations checks that no instance, over its restarts, ever acts on a
// lower generation than before.
func (w *world) watchGenerations() (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	var wg sync.WaitGroup
	highest := map[string]uint64{}
	samples := 0
	wg.Go(func() {
		for ctx.Err() == nil {
			list, err := w.Client.Instances(ctx)
			if err != nil {
				continue
			}
			for _, i := range list {
				if !i.Reachable || !i.LeaseFresh {
					continue
				}
				samples++
				if i.Generation < highest[i.Name] {
					w.t.Errorf("%s went back from generation %d to %d", i.Name, highest[i.Name], i.Generation)
				}
				highest[i.Name] = max(highest[i.Name], i.Generation)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		wg.Wait()
		w.t.Logf("%d samples of generations at %d instances, none went back", samples, len(highest))
	}
}

// TestRestartAfterManyChanges: after 500 changes every process is restarted,
// twice, the second time all at once by SIGKILL: generation, version and audit
// chain stand.
func TestRestartAfterManyChanges(t *testing.T) {
	w := begin(t, 4, 0)
	const changes = 500
	start := time.Now()
	for n := range changes {
		res, err := w.Client.Retire(w.ctx, fmt.Sprintf("gone-%d", n))
		must(t, err)
		if res.Code != state.CodeOK {
			t.Fatalf("change %d: %s", n, res.Message)
		}
	}
	t.Logf("%d changes in %.1f s", changes, time.Since(start).Seconds())
	want := uint64(1 + changes)
	for _, i := range w.Instances {
		must(t, i.Process().Stop(20*time.Second))
		must(t, w.StartInstance(i))
		must(t, w.WaitInstancesReady(w.ctx, want))
	}
	for _, i := range w.Instances {
		i.Process().Kill()
	}
	restart := time.Now()
	must(t, w.StartAll())
	must(t, w.WaitInstancesReady(w.ctx, want))
	st, err := w.Client.Status(w.ctx)
	must(t, err)
	list, err := w.Client.Audit(w.ctx, 0)
	must(t, err)
	must(t, state.VerifyAudit(list))
	t.Logf("all killed and back in %d ms: generation %d, %d retired, %d audit entries", time.Since(restart).Milliseconds(), st.Generation, len(st.Retired), len(list))
	if st.Generation != want || len(st.Retired) != changes || len(list) != int(want) {
		t.Fatalf("generation %d, want %d", st.Generation, want)
	}
	res, err := w.Client.SendOrder(w.ctx, w.Client.SignPublishOrder(w.CompleteBundle(declarations(1)), 0))
	must(t, err)
	if res.Code != state.CodeOK || res.Order.Generation != 1 {
		t.Fatalf("the first order again: %+v, want its first answer", res)
	}
}

// TestSilentIsolation: for a minute the leader is cut off silently both ways,
// and so is an entry. The rest goes on; the cut-off ones act on nothing, lead
// nothing when they return, and catch up.
func TestSilentIsolation(t *testing.T) {
	w := begin(t, 5, 1)
	leader, entry := w.leader(), w.Instances[4]
	rest := w.others(leader, entry)
	w.operateBy(rest...)
	stop := w.watchGenerations()
	must(t, w.Isolate(leader))
	must(t, w.Isolate(entry))
	time.Sleep(200 * time.Millisecond) // the daemons read their cut files every 100 ms
	cut := time.Now()
	w.accept(t, 2)
	t.Logf("publish without the old leader: accepted and in force among the rest after %d ms", time.Since(cut).Milliseconds())
	time.Sleep(2500*time.Millisecond - time.Since(cut))
	refusedAt := 0
	for time.Since(cut) < time.Minute {
		for _, k := range []int{w.index(leader), 4} {
			r := w.chat(k, "mood", "cut off", 2)
			if r.Error == nil || r.Outcome != state.OutcomeNotRun {
				t.Fatalf("cut-off instance %d answered %+v", k, r)
			}
			refusedAt++
		}
		if err := whole(w.chat(rest[0], "mood", "fine", 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	before, err := w.Client.Status(w.ctx)
	must(t, err)
	must(t, w.SetDropRules(leader))
	must(t, w.SetDropRules(entry))
	healed := time.Now()
	must(t, w.WaitInstancesReady(w.ctx, 2))
	back := time.Since(healed)
	time.Sleep(2 * time.Second)
	after, err := w.Client.Status(w.ctx)
	must(t, err)
	stop()
	t.Logf("%d calls to cut-off instances refused as not_run; back %d ms after healing; term %d before, %d after", refusedAt, back.Milliseconds(), before.Term, after.Term)
	if after.Term != before.Term {
		t.Fatal("the return of the old leader disturbed the new one")
	}
}

// accept publishes without waiting for instances that can't confirm.
func (w *world) accept(t *testing.T, version uint64) {
	res, err := w.Client.Publish(w.ctx, w.CompleteBundle(declarations(version)))
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
}

// TestLostDisks: a replica's disk is lost and replaced; right after the repair
// a second one is lost. Nothing accepted is lost.
func TestLostDisks(t *testing.T) {
	w := begin(t, 4, 0)
	for round, k := range []int{0, 1} {
		lost := w.Instances[k]
		old := w.memberAt(lost.PeerAddress)
		lost.Process().Kill()
		must(t, os.RemoveAll(lost.DataFolder))
		version := uint64(2 + round)
		w.operateBy(w.others(lost)...)
		w.accept(t, version)
		start := time.Now()
		must(t, w.StartInstance(lost))
		must(t, w.repaired(lost.PeerAddress, old))
		t.Logf("disk of %s lost: repaired by a new replica after %d ms", lost.Name, time.Since(start).Milliseconds())
	}
	w.operateBy(0, 1, 2, 3)
	must(t, w.WaitInstancesReady(w.ctx, 3))
	third := w.Instances[2]
	third.Process().Kill()
	w.operateBy(0, 1, 3)
	w.accept(t, 4)
	st, err := w.Client.Status(w.ctx)
	must(t, err)
	if st.Generation != 4 || len(st.Versions) != 4 {
		t.Fatalf("generation %d with %d versions, want 4 and 4", st.Generation, len(st.Versions))
	}
	t.Log("with only the two repaired replicas left, the fourth version could be published and all stand")
}

// memberAt returns the ID of the member at an address.
func (w *world) memberAt(address string) uint64 {
	w.t.Helper()
	st, err := w.Client.Status(w.ctx)
	must(w.t, err)
	for _, m := range st.Members {
		if m.Address == address {
			return m.ID
		}
	}
	return 0
}

// repaired waits until a new member at an address votes and the old one is
// gone.
func (w *world) repaired(address string, old uint64) error {
	return harness.WaitFor(w.ctx, "replica repaired", func() bool {
		st, err := w.Client.Status(w.ctx)
		if err != nil || len(st.Members) != 3 {
			return false
		}
		for _, m := range st.Members {
			if m.Address == address {
				return m.Voter && m.ID != old
			}
		}
		return false
	})
}
