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

// registerInput and registerOutput describe an operation on the configuration: reading its
// status or publishing a version.
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
	// winner is the digest already published under the version, if that conflicts.
	winner string
}

// registerState is the state of the model, a versioned register: the digest of each
// published version, and the generation that its publish returned.
type registerState struct {
	generation, highest uint64
	digests             map[uint64]string
	generations         map[uint64]uint64
}

func (s registerState) withVersion(version uint64, digest string) registerState {
	next := registerState{s.generation + 1, version, map[uint64]string{}, map[uint64]uint64{}}
	for k, v := range s.digests {
		next.digests[k], next.generations[k] = v, s.generations[k]
	}
	next.digests[version], next.generations[version] = digest, next.generation
	return next
}

var registerModel = porcupine.Model{
	Init: func() interface{} { return registerState{} },
	Step: func(st, in, out interface{}) (bool, interface{}) {
		s, i, o := st.(registerState), in.(registerInput), out.(registerOutput)
		published, exists := s.digests[i.version]
		switch {
		case i.read:
			return o.generation == s.generation && o.version == s.highest, s
		case exists && published == i.digest:
			return o.code == state.CodeOK && o.generation == s.generations[i.version], s
		case exists:
			return o.code == state.CodeConflict && o.winner == published, s
		case i.expected != s.generation:
			return o.code == state.CodeStale, s
		case i.version <= s.highest:
			return o.code == state.CodeConflict, s
		}
		next := s.withVersion(i.version, i.digest)
		return o.code == state.CodeOK && o.generation == next.generation, next
	},
	Equal: func(a, b interface{}) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
}

// history records operations with their start and end times.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) record(client int, in registerInput, f func() registerOutput) registerOutput {
	call := time.Now().UnixNano()
	out := f()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()})
	return out
}

// TestOperatorsRace lets three operators publish different bundles under the same version
// numbers at once and send each order twice, while the leader is killed repeatedly. The
// history must be linearizable as a versioned register: one order wins each version, and a
// repeated order gets the same answer.
func TestOperatorsRace(t *testing.T) {
	tc := startCluster(t, 4, 0)
	const rounds = 14
	h := &history{}
	read := func(client int, c *client.Client) uint64 {
		in := registerInput{read: true}
		out := h.record(client, in, func() registerOutput {
			st, err := c.Status(tc.ctx)
			if err != nil {
				t.Error(err)
			}
			return registerOutput{generation: st.Generation, version: st.BundleVersion}
		})
		return out.generation
	}
	first := tc.CompleteBundle(testBundle(1))
	h.ops = append(h.ops, porcupine.Operation{Input: registerInput{version: 1, digest: first.Digest()}, Output: registerOutput{code: state.CodeOK, generation: 1}, Call: 0, Return: 1})
	stop := tc.watchGenerations()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for k := range rounds / 4 {
			time.Sleep(700 * time.Millisecond)
			leader := tc.leader()
			leader.Process().Kill()
			time.Sleep(1200 * time.Millisecond)
			if err := tc.StartInstance(leader); err != nil {
				t.Error(err)
			}
			t.Logf("kill %d: leader %s", k+1, leader.Name)
		}
	}()
	var wg sync.WaitGroup
	for k := range 3 {
		wg.Go(func() {
			c := &client.Client{Key: tc.Client.Key, Addresses: append(append([]string{}, tc.Client.Addresses[k:]...), tc.Client.Addresses[:k]...)}
			for v := uint64(2); v < 2+rounds; v++ {
				b := tc.CompleteBundle(testBundle(v))
				b.Description = fmt.Sprintf("by client %d", k)
				tc.publishUntilDecided(h, k, c, b, read)
			}
		})
	}
	wg.Wait()
	<-done
	stop()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, 60*time.Second)
	t.Logf("%d operations, linearizable: %v", len(h.ops), result)
	if result != porcupine.Ok {
		t.Fatalf("history is not linearizable as a versioned register: %v", result)
	}
}

// publishUntilDecided publishes a bundle until its version is decided, then repeats the
// order as a client does after a lost answer.
func (tc *testCluster) publishUntilDecided(h *history, id int, c *client.Client, b *bundle.Bundle, read func(int, *client.Client) uint64) {
	for tc.ctx.Err() == nil {
		o := c.SignPublishOrder(b, read(id, c))
		in := registerInput{version: o.Version, digest: o.Digest, expected: o.Expected}
		send := func() registerOutput {
			res, err := c.SendOrder(tc.ctx, o)
			if err != nil {
				tc.t.Error(err)
			}
			return registerOutput{res.Code, res.Order.Generation, 0, res.Order.WinnerDigest}
		}
		out := h.record(id, in, send)
		if out.code == state.CodeStale {
			continue
		}
		if repeated := h.record(id, in, send); repeated != out {
			tc.t.Errorf("version %d: first answer %+v, repeat %+v", o.Version, out, repeated)
		}
		return
	}
}

// watchGenerations checks until stop is called that the generation of no instance
// decreases, also over restarts.
func (tc *testCluster) watchGenerations() (stop func()) {
	ctx, cancel := context.WithCancel(tc.ctx)
	var wg sync.WaitGroup
	highest := map[string]uint64{}
	samples := 0
	wg.Go(func() {
		for ctx.Err() == nil {
			list, err := tc.Client.Instances(ctx)
			if err != nil {
				continue
			}
			for _, i := range list {
				if !i.Reachable || !i.LeaseFresh {
					continue
				}
				samples++
				if i.Generation < highest[i.Name] {
					tc.t.Errorf("generation of %s decreased from %d to %d", i.Name, highest[i.Name], i.Generation)
				}
				highest[i.Name] = max(highest[i.Name], i.Generation)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		wg.Wait()
		tc.t.Logf("%d samples of generations at %d instances, none decreased", samples, len(highest))
	}
}

// TestRestartAfterManyChanges restarts every process twice after 500 changes, first one at
// a time, then all at once after SIGKILL. Generation, version, retirements and audit chain
// must survive.
func TestRestartAfterManyChanges(t *testing.T) {
	tc := startCluster(t, 4, 0)
	const changes = 500
	start := time.Now()
	for n := range changes {
		res, err := tc.Client.Retire(tc.ctx, fmt.Sprintf("gone-%d", n))
		must(t, err)
		if res.Code != state.CodeOK {
			t.Fatalf("change %d: %s", n, res.Message)
		}
	}
	t.Logf("%d changes in %.1f s", changes, time.Since(start).Seconds())
	want := uint64(1 + changes)
	for _, i := range tc.Instances {
		must(t, i.Process().Stop(20*time.Second))
		must(t, tc.StartInstance(i))
		must(t, tc.WaitInstancesReady(tc.ctx, want))
	}
	for _, i := range tc.Instances {
		i.Process().Kill()
	}
	restart := time.Now()
	must(t, tc.StartAll())
	must(t, tc.WaitInstancesReady(tc.ctx, want))
	st, err := tc.Client.Status(tc.ctx)
	must(t, err)
	list, err := tc.Client.Audit(tc.ctx, 0)
	must(t, err)
	must(t, state.VerifyAudit(list))
	t.Logf("all killed and ready again after %d ms: generation %d, %d retired, %d audit entries", time.Since(restart).Milliseconds(), st.Generation, len(st.Retired), len(list))
	if st.Generation != want || len(st.Retired) != changes || len(list) != int(want) {
		t.Fatalf("generation %d, want %d", st.Generation, want)
	}
	res, err := tc.Client.SendOrder(tc.ctx, tc.Client.SignPublishOrder(tc.CompleteBundle(testBundle(1)), 0))
	must(t, err)
	if res.Code != state.CodeOK || res.Order.Generation != 1 {
		t.Fatalf("the repeated first order got %+v, want its original result", res)
	}
}

// TestSilentIsolation drops all frames to and from the leader and an entry for a minute.
// The other instances keep serving. The isolated ones must refuse all calls, must not
// disturb the new leader when they return, and must catch up.
func TestSilentIsolation(t *testing.T) {
	tc := startCluster(t, 5, 1)
	leader, entry := tc.leader(), tc.Instances[4]
	reachable := tc.indexesExcept(leader, entry)
	tc.setClientInstances(reachable...)
	stop := tc.watchGenerations()
	must(t, tc.Isolate(leader))
	must(t, tc.Isolate(entry))
	time.Sleep(200 * time.Millisecond) // the daemons read their drop rules every 100 ms
	isolated := time.Now()
	tc.publishWithoutWait(t, 2)
	t.Logf("publish without the old leader: accepted and in force on the reachable instances after %d ms", time.Since(isolated).Milliseconds())
	time.Sleep(2500*time.Millisecond - time.Since(isolated))
	refused := 0
	for time.Since(isolated) < time.Minute {
		for _, k := range []int{tc.index(leader), 4} {
			r := tc.chat(k, "mood", "isolated", 2)
			if r.Error == nil || r.Outcome != state.OutcomeNotRun {
				t.Fatalf("isolated instance %d answered %+v", k, r)
			}
			refused++
		}
		if err := checkCompleted(tc.chat(reachable[0], "mood", "reachable", 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	before, err := tc.Client.Status(tc.ctx)
	must(t, err)
	must(t, tc.SetDropRules(leader))
	must(t, tc.SetDropRules(entry))
	reconnected := time.Now()
	must(t, tc.WaitInstancesReady(tc.ctx, 2))
	recovery := time.Since(reconnected)
	time.Sleep(2 * time.Second)
	after, err := tc.Client.Status(tc.ctx)
	must(t, err)
	stop()
	t.Logf("%d calls to isolated instances refused as not_run; ready %d ms after reconnecting; term %d before, %d after", refused, recovery.Milliseconds(), before.Term, after.Term)
	if after.Term != before.Term {
		t.Fatal("the return of the old leader disturbed the new one")
	}
}

// publishWithoutWait publishes a version without waiting until it is in force, because some
// instances can't be reached.
func (tc *testCluster) publishWithoutWait(t *testing.T, version uint64) {
	res, err := tc.Client.Publish(tc.ctx, tc.CompleteBundle(testBundle(version)))
	must(t, err)
	if res.Code != state.CodeOK {
		t.Fatal(res.Message)
	}
}

// TestLostDisks loses the disk of one replica and, right after its replacement, that of a
// second one. No accepted order may be lost.
func TestLostDisks(t *testing.T) {
	tc := startCluster(t, 4, 0)
	for round, k := range []int{0, 1} {
		lost := tc.Instances[k]
		old := tc.memberID(lost.PeerAddress)
		lost.Process().Kill()
		must(t, os.RemoveAll(lost.DataFolder))
		version := uint64(2 + round)
		tc.setClientInstances(tc.indexesExcept(lost)...)
		tc.publishWithoutWait(t, version)
		start := time.Now()
		must(t, tc.StartInstance(lost))
		must(t, tc.waitReplaced(lost.PeerAddress, old))
		t.Logf("disk of %s lost: replaced by a new replica after %d ms", lost.Name, time.Since(start).Milliseconds())
	}
	tc.setClientInstances(0, 1, 2, 3)
	must(t, tc.WaitInstancesReady(tc.ctx, 3))
	third := tc.Instances[2]
	third.Process().Kill()
	tc.setClientInstances(0, 1, 3)
	tc.publishWithoutWait(t, 4)
	st, err := tc.Client.Status(tc.ctx)
	must(t, err)
	if st.Generation != 4 || len(st.Versions) != 4 {
		t.Fatalf("generation %d with %d versions, want 4 and 4", st.Generation, len(st.Versions))
	}
	t.Log("with only the two replaced replicas left, version 4 was published and all versions are stored")
}

// memberID returns the ID of the member at an address, 0 if there is none.
func (tc *testCluster) memberID(address string) uint64 {
	tc.t.Helper()
	st, err := tc.Client.Status(tc.ctx)
	must(tc.t, err)
	for _, m := range st.Members {
		if m.Address == address {
			return m.ID
		}
	}
	return 0
}

// waitReplaced waits until a new member at an address is a voter and the old one has been
// removed.
func (tc *testCluster) waitReplaced(address string, old uint64) error {
	return harness.WaitFor(tc.ctx, "replica replaced", func() bool {
		st, err := tc.Client.Status(tc.ctx)
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
