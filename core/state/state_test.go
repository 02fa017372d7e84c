package state

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamomwick.example/core/bundle"
)

var (
	testKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	testPub = base64.StdEncoding.EncodeToString(testKey.Public().(ed25519.PublicKey))
	zeros   = "0000000000000000000000000000000000000000000000000000000000000000"
)

func testBundle(version uint64, note string) *bundle.Bundle {
	d := bundle.Duration(time.Second)
	return &bundle.Bundle{Version: version, Description: note,
		Classes: map[string]bundle.Class{"chat": {Tier: 1, Idempotent: true, FirstTokenTarget: d, Deadline: d,
			Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}},
		Pools:     map[string]bundle.Pool{"m": {Kind: bundle.PoolModel, DefaultClass: "chat", AnnounceTokens: []string{zeros}}},
		Customers: map[string]bundle.Customer{"c": {Keys: []string{zeros}, Weight: 1}},
		Operators: map[string]bundle.Operator{"ana": {PublicKey: testPub}}}
}

func publishOrder(b *bundle.Bundle, expected uint64) *bundle.SignedOrder {
	o := &bundle.SignedOrder{Kind: bundle.OrderPublish, Version: b.Version, Digest: b.Digest(), Content: b.Canonical(), Expected: expected}
	o.Sign("ana", testKey)
	return o
}

func order(kind bundle.OrderKind, version uint64, server string, expected uint64) *bundle.SignedOrder {
	o := &bundle.SignedOrder{Kind: kind, Version: version, Server: server, Expected: expected}
	o.Sign("ana", testKey)
	return o
}

func applyOrder(m *Machine, o *bundle.SignedOrder) Result {
	return m.Apply((&Command{Type: CommandOrder, Order: o}).Encode())
}

func fresh() *Machine {
	m := New()
	m.Apply((&Command{Type: CommandBootstrap, Operators: map[string]string{"ana": testPub}}).Encode())
	return m
}

func TestPublishRace(t *testing.T) {
	m := fresh()
	a, b := publishOrder(testBundle(1, "a"), 0), publishOrder(testBundle(1, "b"), 0)
	if r := applyOrder(m, a); r.Code != CodeOK || r.Order.Generation != 1 {
		t.Fatalf("first: %+v", r)
	}
	r := applyOrder(m, b)
	if r.Code != CodeConflict || r.Order.WinnerDigest != a.Digest || r.Order.WinnerOperator != "ana" {
		t.Fatalf("second: %+v; want a conflict that names the winner", r)
	}
	applyOrder(m, publishOrder(testBundle(2, ""), 1))
	if r := applyOrder(m, a); r.Code != CodeOK || r.Order.Generation != 1 {
		t.Fatalf("retried publish: %+v; want the original result", r)
	}
	if r := applyOrder(m, publishOrder(testBundle(3, ""), 1)); r.Code != CodeStale {
		t.Fatalf("order for an old generation: %+v", r)
	}
	forged := publishOrder(testBundle(3, ""), 2)
	forged.Server = "x"
	if r := applyOrder(m, forged); r.Code != CodeRefused {
		t.Fatalf("forged order: %+v", r)
	}
}

// Guards against a retried order that gets another response than the first time: the generation
// differed, as if the order had been executed twice.
func TestRepeatOfARefusedOrderGetsTheFirstAnswer(t *testing.T) {
	m := fresh()
	applyOrder(m, publishOrder(testBundle(1, "a"), 0))
	applyOrder(m, order(bundle.OrderRetire, 0, "s1", 1))
	conflicting := publishOrder(testBundle(1, "b"), 0)
	again := order(bundle.OrderRetire, 0, "s1", 2)
	for _, o := range []*bundle.SignedOrder{conflicting, again} {
		first := applyOrder(m, o)
		g := m.Config().Generation
		if r := applyOrder(m, order(bundle.OrderRetire, 0, fmt.Sprint("other", g), g)); r.Code != CodeOK {
			t.Fatalf("%+v", r)
		}
		if repeat := applyOrder(m, o); first.Code == CodeOK || fmt.Sprint(repeat) != fmt.Sprint(first) {
			t.Errorf("%s: first answer %+v, repeat %+v", o.Kind, first, repeat)
		}
	}
}

func TestWithdrawRaisesGeneration(t *testing.T) {
	m := fresh()
	applyOrder(m, publishOrder(testBundle(1, "one"), 0))
	applyOrder(m, publishOrder(testBundle(2, "two"), 1))
	w := order(bundle.OrderWithdraw, 2, "", 2)
	if r := applyOrder(m, w); r.Code != CodeOK || r.Order.Generation != 3 || r.Order.Version != 1 {
		t.Fatalf("withdraw: %+v", r)
	}
	applyOrder(m, order(bundle.OrderRollForward, 2, "", 3))
	if r := applyOrder(m, w); r.Order.Generation != 3 || m.Config().Generation != 4 || m.Config().Bundle.Version != 2 {
		t.Fatalf("a retried withdraw order changed the state: %+v, generation %d", r, m.Config().Generation)
	}
}

// A follower that applies updates, from any generation and with any gaps, has the
// machine's configuration.
func TestUpdatesConvergeToMachineConfig(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 12 // each run applies about 300 signed orders
	props := gopter.NewProperties(params)
	props.Property("updates agree", prop.ForAll(func(seed int64) (string, error) {
		rnd := rand.New(rand.NewSource(seed))
		m := fresh()
		held := Config{Retired: map[string]uint64{}}
		for n := range maxHistoryChanges + 40 {
			g := m.Config().Generation
			if rnd.Intn(3) == 0 {
				applyOrder(m, publishOrder(testBundle(uint64(n+1), fmt.Sprint(n)), g))
			} else {
				applyOrder(m, order(bundle.OrderRetire, 0, fmt.Sprint("s", rnd.Intn(400)), g))
			}
			if rnd.Intn(50) != 0 {
				continue
			}
			u := m.UpdateSince(held.Generation)
			next, err := u.Apply(held)
			if err != nil {
				return "", err
			}
			held = next
			if !reflect.DeepEqual(held.Retired, m.Config().Retired) || held.Generation != m.Config().Generation {
				return "", fmt.Errorf("held %d, machine %d", held.Generation, m.Config().Generation)
			}
			if held.Bundle != nil && held.Bundle.Digest() != m.Config().Bundle.Digest() {
				return "", fmt.Errorf("bundles differ")
			}
		}
		return "", nil
	}, gen.Int64()))
	props.TestingRun(t)
}

func claim(m *Machine, t CommandType, key, callID string, now int64, idempotent bool, req *StoredRequest) Result {
	c := &CallCommand{Key: CallKey{"c", "p", key, 1_000_000}, CallID: callID, Owner: "o-" + callID, RequestDigest: "d", Idempotent: idempotent, Request: req}
	if t == CommandFinish {
		c.Answer = &StoredAnswer{Outcome: OutcomeCompleted, Status: 200, Body: []byte(callID)}
	}
	return m.Apply((&Command{Type: t, NowMillis: now, Call: c}).Encode())
}

// In any order and with any repetition of commands, at most one call ID holds the claim
// of a key until it is released, and a recorded answer never changes. A machine that is
// restored from snapshots in between returns the same results.
func TestOneOwnerPerKey(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	props.Property("one owner", prop.ForAll(func(steps []int) (string, error) {
		m, twin := New(), New()
		owner := map[string]string{}
		answer := map[string]string{}
		for n, s := range steps {
			key, id := fmt.Sprint("k", s%2), fmt.Sprint("id", (s/2)%3)
			kind := []CommandType{CommandClaim, CommandRelease, CommandFinish}[(s/6)%3]
			r := claim(m, kind, key, id, 1_000_000, false, nil)
			if r2 := claim(twin, kind, key, id, 1_000_000, false, nil); !reflect.DeepEqual(r, r2) {
				return "", fmt.Errorf("step %d: restored machine answers %+v, not %+v", n, r2, r)
			}
			if n%5 == 4 {
				data := twin.Snapshot()
				twin = New()
				if err := twin.Restore(data); err != nil {
					return "", err
				}
			}
			if r.Code != CodeOK {
				continue
			}
			switch kind {
			case CommandClaim:
				if owner[key] != "" && owner[key] != id {
					return "", fmt.Errorf("step %d: %s claimed by %s while %s holds it", n, key, id, owner[key])
				}
				owner[key] = id
			case CommandRelease:
				delete(owner, key)
			case CommandFinish:
				got := string(r.Record.Answer.Body)
				if answer[key] != "" && answer[key] != got {
					return "", fmt.Errorf("step %d: answer changed", n)
				}
				answer[key] = got
			}
		}
		return "", nil
	}, gen.SliceOf(gen.IntRange(0, 17))))
	props.TestingRun(t)
}

func TestKeysAreForgottenOnlyWhenRefused(t *testing.T) {
	m := New()
	claim(m, CommandClaim, "k", "a", 1_000_000, false, nil)
	late := int64(1_000_000) + Retention.Milliseconds() + 10*bucketMillis
	claim(m, CommandClaim, "other", "x", late, false, nil)
	if m.CallCount() != 0 {
		t.Fatalf("%d calls stored past the retention period", m.CallCount())
	}
	if r := claim(m, CommandClaim, "k", "b", 1_000_000, false, nil); r.Code != CodeExpired {
		t.Fatalf("a pruned key: %+v; want CodeExpired even from a leader whose clock is behind", r)
	}
}

func TestDurableCallIsNeverPrunedAndTakenOverOnce(t *testing.T) {
	m := New()
	req := &StoredRequest{Method: "POST", Body: []byte("x")}
	claim(m, CommandAccept, "k", "a", 1_000_000, true, req)
	late := int64(1_000_000) + 3*Retention.Milliseconds()
	claim(m, CommandClaim, "other", "x", late, false, nil)
	list := m.Orphans(func(o string) bool { return false })
	if len(list) != 1 {
		t.Fatalf("%d orphans, want the one that is recorded", len(list))
	}
	take := func(id, from string) Result {
		return m.Apply((&Command{Type: CommandTakeOver, Call: &CallCommand{Key: list[0].Key, CallID: id, Owner: "o-" + id, PreviousOwner: from}}).Encode())
	}
	if r := take("b", "o-a"); r.Code != CodeOK || string(r.Record.Request.Body) != "x" {
		t.Fatalf("take over: %+v", r)
	}
	if r := take("c", "o-a"); r.Code != CodeStale {
		t.Fatalf("second take over from the same owner: %+v", r)
	}
}

func TestAuditChain(t *testing.T) {
	m := fresh()
	for n := range 5 {
		applyOrder(m, order(bundle.OrderRetire, 0, fmt.Sprint("s", n), uint64(n)))
	}
	list := m.Audit(0)
	if err := VerifyAudit(list); err != nil || len(list) != 5 {
		t.Fatal(err, len(list))
	}
	list[2].Operator = "eve"
	if VerifyAudit(list) == nil {
		t.Fatal("a modified audit entry was not detected")
	}
	list = m.Audit(0)
	if VerifyAudit(append(list[:2:2], list[3:]...)) == nil {
		t.Fatal("a missing audit entry was not detected")
	}
}

func FuzzApply(f *testing.F) {
	f.Add((&Command{Type: CommandOrder, Order: publishOrder(testBundle(1, ""), 0)}).Encode())
	f.Add((&Command{Type: CommandClaim, Call: &CallCommand{}}).Encode())
	f.Add([]byte{0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := fresh()
		m.Apply(data)
		if err := New().Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
		_ = New().Restore(data)
	})
}
