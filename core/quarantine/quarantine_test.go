package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func digest(name string) Digest {
	r := Request{Customer: "ana", Method: "POST", Host: "h", URI: "/x", Body: []byte(name)}
	return r.Digest()
}

// fixture is an evaluator with its registry and a clock.
type fixture struct {
	t        *testing.T
	registry *Registry
	ev       *Evaluator
	now      time.Time
}

func newFixture(t *testing.T) *fixture {
	r := NewRegistry()
	return &fixture{t, r, NewEvaluator(r), t0}
}

// reportCrash reports a server that has just crashed during a run started the given time
// before.
func (f *fixture) reportCrash(request, server string, running time.Duration) {
	f.ev.Report(f.now, CrashReport{Request: digest(request), Server: server, Began: running})
}

// reportCrashes reports n crashes during runs of "q", one each second, at servers with
// the given name prefix.
func (f *fixture) reportCrashes(servers string, n int) {
	for i := range n {
		f.advance(time.Second)
		f.reportCrash("q", fmt.Sprint(servers, i), 100*time.Millisecond)
	}
}

func (f *fixture) expect(request string, want Status) {
	f.t.Helper()
	got, _ := f.registry.Decision(f.now, digest(request))
	if got.Status != want {
		f.t.Errorf("%s is %v, want %v", request, got.Status, want)
	}
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func TestThreeConsecutiveCrashesHold(t *testing.T) {
	f := newFixture(t)
	for i, want := range []Status{Cleared, Suspected, Held} {
		f.advance(time.Second)
		f.reportCrash("q", fmt.Sprint("s", i), 100*time.Millisecond)
		f.expect("q", want)
	}
}

// A power cut stops many servers that run identical calls. The simultaneous crashes must
// count as one.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	f := newFixture(t)
	for i := range 50 {
		f.advance(time.Millisecond)
		f.reportCrash("ping", fmt.Sprint("s", i), time.Second)
	}
	f.expect("ping", Cleared)
}

// Simultaneous copies of a request must not keep each other's crashes from counting.
func TestOverlappingCopiesAreHeld(t *testing.T) {
	f := newFixture(t)
	for i := range 12 {
		f.advance(60 * time.Millisecond)
		f.reportCrash("q", fmt.Sprint("s", i), 100*time.Millisecond)
	}
	f.expect("q", Held)
}

// Confirmations of crashes may arrive seconds late and in any order.
func TestCrashesReportedOutOfOrderHold(t *testing.T) {
	f := newFixture(t)
	f.advance(time.Minute)
	for i := range 3 {
		f.advance(DecisionDelay)
		ended := time.Duration(i+1) * time.Second // the latest first
		f.ev.Report(f.now, CrashReport{Request: digest("q"), Server: fmt.Sprint("s", i), Began: ended + 100*time.Millisecond, Ended: ended})
	}
	f.expect("q", Held)
}

// Four copies of a request run simultaneously through four entries, and each entry lists
// the other servers as crashed too. The crashes must count, as the request ran at all of
// these servers.
func TestCopiesAtSeveralEntriesAreHeld(t *testing.T) {
	f := newFixture(t)
	for i := range 4 {
		f.advance(time.Second)
		var all []string
		for k := range 4 {
			all = append(all, fmt.Sprint("s", i, k))
		}
		for k, server := range all {
			others := append(append([]string{}, all[:k]...), all[k+1:]...)
			f.ev.Report(f.now, CrashReport{Request: digest("q"), Server: server, Began: 100 * time.Millisecond, Others: others})
		}
	}
	f.expect("q", Held)
}

func TestSuccessClears(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", 2)
	if _, publish := f.ev.RecordSuccess(f.now, digest("q"), f.now.Add(-time.Minute)); publish {
		t.Error("a success from before the crashes cleared the request")
	}
	f.advance(time.Millisecond)
	if x, publish := f.ev.RecordSuccess(f.now, digest("q"), f.now); !publish || x.Status != Cleared {
		t.Errorf("a success of a suspected request returned %+v, publish %v", x, publish)
	}
	f.reportCrashes("later", 2)
	f.expect("q", Suspected)
}

// Several reports of the same crash, by one instance or more, must count as one.
func TestDuplicateReportsCountOnce(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		f.advance(time.Second)
		f.ev.Report(f.now, CrashReport{Request: digest("q"), Server: "s", Began: time.Duration(i)*time.Second + 100*time.Millisecond, Ended: time.Duration(i) * time.Second})
	}
	f.expect("q", Cleared)
}

// Something else may listen at the address of a crashed server. Calls that are sent
// there later and break off must not count as further crashes.
func TestServerStartCrashesOnce(t *testing.T) {
	f := newFixture(t)
	for range 5 {
		f.advance(time.Second)
		f.reportCrash("q", "start of s", 100*time.Millisecond)
	}
	f.expect("q", Cleared)
}

// A server that keeps its ID over restarts crashes three times.
func TestConsecutiveCrashesOfOneServerHold(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		f.advance(time.Second)
		f.ev.Report(f.now, CrashReport{Request: digest("q"), Server: "s", KeepsID: true, Began: 100 * time.Millisecond})
	}
	f.expect("q", Held)
}

// Crashes that are attributed to a held request must not count against requests that ran
// at the same time, whether they were reported before the hold or after it.
func TestCrashesOfHeldRequestDoNotCountAgainstOthers(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.advance(time.Second)
		server := fmt.Sprint("s", i)
		if i < 2 {
			f.reportCrash("before", server, 500*time.Millisecond)
		}
		f.reportCrash("q", server, 100*time.Millisecond)
		if i > 0 {
			f.reportCrash("after", server, 500*time.Millisecond)
		}
	}
	f.expect("q", Held)
	for i := range 2 {
		f.advance(time.Second)
		f.reportCrash("before", fmt.Sprint("later", i), 100*time.Millisecond)
		f.reportCrash("after", fmt.Sprint("later", i), 100*time.Millisecond)
		f.expect("before", Suspected)
	}
	f.expect("after", Suspected)
}

// After a hold, one more crash must start the next one.
func TestOneCrashAfterHoldHoldsAgain(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", 3)
	f.advance(InitialHold)
	f.expect("q", Suspected)
	f.reportCrash("q", "next", 100*time.Millisecond)
	f.expect("q", Held)
	f.advance(holdFactor*InitialHold + retention)
	f.expect("q", Cleared)
}

// A request that is sent whenever it is not held crashes at most six further servers in
// an hour.
func TestHoldsGrow(t *testing.T) {
	f := newFixture(t)
	crashes := 0
	for f.now.Sub(t0) < time.Hour {
		if x, known := f.registry.Decision(f.now, digest("q")); !known || x.Status != Held {
			crashes++
			f.reportCrash("q", fmt.Sprint("s", crashes), 100*time.Millisecond)
		}
		f.advance(time.Second)
		f.ev.Review(f.now)
	}
	if crashes > roundsToHold+6 {
		t.Errorf("%d servers crashed in an hour", crashes)
	}
}

// A hold that has expired must not be renewed without another crash, whatever is decided
// on other requests. This also holds for decisions of another evaluator.
func TestExpiredHoldNeedsAnotherCrash(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", 3)
	for i := range 3 {
		f.advance(20 * time.Millisecond)
		f.reportCrash("other's", fmt.Sprint("t", i), 10*time.Millisecond)
	}
	x := Decision{Digest: digest("other's"), Status: Held, Version: 2, Holds: 1}
	f.registry.Merge(f.now, x)
	f.ev.Observe(x)
	f.advance(InitialHold)
	if list := f.ev.Review(f.now); len(list) != 0 {
		t.Errorf("held again without a crash: %+v", list)
	}
	for _, name := range []string{"q", "other's"} {
		f.expect(name, Suspected)
		f.reportCrash(name, "next of "+name, 100*time.Millisecond)
		f.expect(name, Held)
	}
}

// Crashes can follow each other faster than reports of successes arrive.
func TestHoldWaitsForSuccessReports(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.advance(20 * time.Millisecond)
		f.reportCrash("identical", fmt.Sprint("s", i), 10*time.Millisecond)
		f.reportCrash("crashing", fmt.Sprint("s", i), 10*time.Millisecond)
	}
	f.expect("identical", Suspected)
	f.advance(20 * time.Millisecond)
	f.ev.RecordSuccess(f.now, digest("identical"), f.now.Add(-time.Millisecond))
	f.advance(DecisionDelay)
	if list := f.ev.Review(f.now); len(list) != 1 || list[0].Digest != digest("crashing") || list[0].Status != Held {
		t.Errorf("got %+v", list)
	}
	f.expect("identical", Cleared)
}

// A success from before the crashes is reported after the hold.
func TestLateSuccessReportLiftsHold(t *testing.T) {
	f := newFixture(t)
	served := f.now
	f.reportCrashes("s", roundsToHold)
	f.expect("q", Held)
	if x, publish := f.ev.RecordSuccess(f.now, digest("q"), served); !publish || x.Status != Suspected || x.Holds != 0 {
		t.Errorf("got %+v, publish %v", x, publish)
	}
	f.reportCrashes("t", roundsToHoldServed-roundsToHold)
	f.expect("q", Held)
}

// A request that servers could process shortly before, but no longer can, is held as
// well.
func TestRecentlyServedRequestIsHeldLater(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", roundsToSuspect)
	f.ev.RecordSuccess(f.now, digest("q"), t0)
	f.reportCrashes("t", roundsToHoldServed-roundsToSuspect-1)
	f.expect("q", Suspected)
	f.reportCrashes("u", 1)
	f.expect("q", Held)
}

// The evaluating instance is lost. The next evaluator continues from the published
// suspicion.
func TestNextEvaluatorContinues(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", 2)
	f.ev = NewEvaluator(f.registry)
	f.advance(time.Second)
	f.reportCrash("q", "s2", 100*time.Millisecond)
	f.expect("q", Suspected)
	f.advance(DecisionDelay)
	f.ev.Review(f.now)
	f.expect("q", Held)
}

// The next evaluator knows no successes and no failures of the instances. It must ask for them again
// before it holds a request: one that ran everywhere, and failed, was held after one more crash.
func TestNextEvaluatorAsksAgain(t *testing.T) {
	f := newFixture(t)
	f.reportCrashes("s", 2)
	f.ev = NewEvaluator(f.registry)
	f.advance(time.Second)
	x, publish := f.ev.Report(f.now, CrashReport{Request: digest("q"), Server: "s2", Began: 100 * time.Millisecond})
	if !publish || x.Status != Suspected {
		t.Errorf("published %v: %+v", publish, x)
	}
	f.ev.RecordSurvivals(digest("q"), 2*maxSurvivals*roundsToHold)
	f.advance(DecisionDelay)
	f.ev.Review(f.now)
	f.expect("q", Suspected)
}

// Both sides of a partition make decisions. After the exchange both must have the same
// decisions, whatever the order of arrival.
func TestDecisionsMerge(t *testing.T) {
	a := Decision{Digest: digest("q"), Status: Suspected, Version: 1, Servers: []string{"s1"}}
	b := Decision{Digest: digest("q"), Status: Held, Version: 1, Servers: []string{"s2"}}
	cleared := Decision{Digest: digest("q"), Status: Cleared, Version: 2}
	for _, order := range [][]Decision{{a, b, cleared}, {cleared, b, a}, {b, cleared, a}} {
		r := NewRegistry()
		for _, x := range order {
			r.Merge(t0, x)
		}
		if got, _ := r.Decision(t0, digest("q")); got.Status != Cleared || got.Version != 2 {
			t.Errorf("got %+v", got)
		}
	}
	for _, order := range [][]Decision{{a, b}, {b, a}} {
		r := NewRegistry()
		for _, x := range order {
			r.Merge(t0, x)
		}
		if got, _ := r.Decision(t0, digest("q")); got.Status != Held || len(got.Servers) != 2 {
			t.Errorf("got %+v", got)
		}
	}
}

// Decisions are sent repeatedly; that must not prolong a hold.
func TestResendingDoesNotProlongHold(t *testing.T) {
	one, two := NewRegistry(), NewRegistry()
	one.Merge(t0, Decision{Digest: digest("q"), Status: Held, Version: 1})
	now := t0
	for now.Sub(t0) < InitialHold {
		for _, x := range one.NextToSend(now) {
			two.Merge(now.Add(20*time.Millisecond), x)
		}
		for _, x := range two.NextToSend(now.Add(30 * time.Millisecond)) {
			one.Merge(now.Add(50*time.Millisecond), x)
		}
		now = now.Add(500 * time.Millisecond)
	}
	if n := one.Held(now.Add(time.Second)) + two.Held(now.Add(time.Second)); n != 0 {
		t.Errorf("still held %v after the decision", now.Sub(t0))
	}
}

// A client with thousands of crashing requests fills the registry. Memory must stay
// bounded, and holds must not be evicted by suspicions.
func TestMemoryIsBounded(t *testing.T) {
	f := newFixture(t)
	f.registry.Merge(f.now, Decision{Digest: digest("held"), Status: Held, Version: 1})
	for i := range 3 * maxRecords {
		f.advance(time.Millisecond)
		f.reportCrash(fmt.Sprint("q", i), fmt.Sprint("s", i), time.Millisecond)
		f.registry.Merge(f.now, Decision{Digest: digest(fmt.Sprint("r", i)), Status: Suspected, Version: 1})
	}
	f.expect("held", Held)
	if f.registry.Len() > maxDecisions || len(f.ev.records) > maxRecords {
		t.Errorf("%d decisions, %d records", f.registry.Len(), len(f.ev.records))
	}
	for range 100 {
		if n := len(f.registry.NextToSend(f.now)); n > maxSent {
			t.Fatalf("%d decisions sent in one message", n)
		}
	}
}

func TestDigestCoversEachField(t *testing.T) {
	base := Request{Customer: "a", Method: "b", Host: "c", URI: "d", Body: []byte("e")}
	seen := map[Digest]bool{base.Digest(): true}
	for _, r := range []Request{{"x", "b", "c", "d", base.Body}, {"a", "x", "c", "d", base.Body}, {"a", "b", "x", "d", base.Body},
		{"a", "b", "c", "x", base.Body}, {"a", "b", "c", "d", []byte("x")}, {"ab", "", "c", "d", base.Body}, {"a", "b", "c", "", []byte("de")}} {
		if seen[r.Digest()] {
			t.Errorf("%+v has the digest of another request", r)
		}
		seen[r.Digest()] = true
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{800, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := Request{Customer: "ana", Method: "POST", Host: "h.example", URI: "/stream/x", Body: make([]byte, size)}
			for b.Loop() {
				r.Digest()
			}
		})
	}
}

// Measures a crash report while registry and records are full.
func BenchmarkReport(b *testing.B) {
	r := NewRegistry()
	ev := NewEvaluator(r)
	for i := range maxDecisions {
		r.Merge(t0, Decision{Digest: digest(fmt.Sprint(i)), Status: Held, Holds: 1, Version: 1, Servers: []string{"a", "b", "c"}})
	}
	n := 0
	for b.Loop() {
		n++
		ev.Report(t0, CrashReport{Request: digest(fmt.Sprint("q", n)), Server: "s"})
	}
}

// Measures the lookup made for each call while the registry is full.
func BenchmarkDecision(b *testing.B) {
	r := NewRegistry()
	for i := range maxDecisions {
		r.Merge(t0, Decision{Digest: digest(fmt.Sprint(i)), Status: Held, Version: 1})
	}
	d := digest("other")
	for b.Loop() {
		r.Decision(t0, d)
	}
}
