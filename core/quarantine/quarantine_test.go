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

// world is one judge with its register, and the time.
type world struct {
	t   *testing.T
	r   *Register
	j   *Judge
	now time.Time
}

func newWorld(t *testing.T) *world {
	r := NewRegister()
	return &world{t, r, NewJudge(r), t0}
}

// ends tells that a server has ended just now under a run that began before.
func (w *world) ends(request, server string, running time.Duration) {
	w.j.Take(w.now, Ending{Request: digest(request), Server: server, Began: running})
}

// endInTurn tells of ends under "q", one each second, at servers whose names begin so.
func (w *world) endInTurn(servers string, n int) {
	for i := range n {
		w.after(time.Second)
		w.ends("q", fmt.Sprint(servers, i), 100*time.Millisecond)
	}
}

func (w *world) expect(request string, want Standing) {
	w.t.Helper()
	got, _ := w.r.Ruling(w.now, digest(request))
	if got.Standing != want {
		w.t.Errorf("%s is %v, want %v", request, got.Standing, want)
	}
}

func (w *world) after(d time.Duration) { w.now = w.now.Add(d) }

func TestThreeEndsOneAfterTheOtherHold(t *testing.T) {
	w := newWorld(t)
	for i, want := range []Standing{Cleared, Suspected, Held} {
		w.after(time.Second)
		w.ends("q", fmt.Sprint("s", i), 100*time.Millisecond)
		w.expect("q", want)
	}
}

// A power cut ends many servers under calls that are alike; all these runs say
// together only once that a server has ended.
func TestEndsAtTheSameTimeCountOnce(t *testing.T) {
	w := newWorld(t)
	for i := range 50 {
		w.after(time.Millisecond)
		w.ends("ping", fmt.Sprint("s", i), time.Second)
	}
	w.expect("ping", Cleared)
}

// Copies of a request that run at the same moment must not keep each other from
// counting.
func TestOverlappingCopiesAreHeld(t *testing.T) {
	w := newWorld(t)
	for i := range 12 {
		w.after(60 * time.Millisecond)
		w.ends("q", fmt.Sprint("s", i), 100*time.Millisecond)
	}
	w.expect("q", Held)
}

// Proof that a server has ended may come seconds later, and in any order.
func TestEndsToldOutOfOrderAreHeld(t *testing.T) {
	w := newWorld(t)
	w.after(time.Minute)
	for i := range 3 {
		w.after(Deliberation)
		ended := time.Duration(i+1) * time.Second // the newest first
		w.j.Take(w.now, Ending{Request: digest("q"), Server: fmt.Sprint("s", i), Began: ended + 100*time.Millisecond, Ended: ended})
	}
	w.expect("q", Held)
}

// Four copies at a time, at as many entries, each of which sees the other servers end
// as well: the request itself accounts for them.
func TestCopiesAtManyEntriesAreHeld(t *testing.T) {
	w := newWorld(t)
	for i := range 4 {
		w.after(time.Second)
		var all []string
		for k := range 4 {
			all = append(all, fmt.Sprint("s", i, k))
		}
		for k, server := range all {
			others := append(append([]string{}, all[:k]...), all[k+1:]...)
			w.j.Take(w.now, Ending{Request: digest("q"), Server: server, Began: 100 * time.Millisecond, Others: others})
		}
	}
	w.expect("q", Held)
}

func TestSuccessClears(t *testing.T) {
	w := newWorld(t)
	w.endInTurn("s", 2)
	if _, tell := w.j.Succeeded(w.now, digest("q"), w.now.Add(-time.Minute)); tell {
		t.Error("a success from before the ends cleared the request")
	}
	w.after(time.Millisecond)
	if x, tell := w.j.Succeeded(w.now, digest("q"), w.now); !tell || x.Standing != Cleared {
		t.Errorf("a success of a suspected request gave %+v, told %v", x, tell)
	}
	w.endInTurn("later", 2)
	w.expect("q", Suspected)
}

// Reports of the same end, by several instances and twice, are one.
func TestOneEndCountsOnce(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.after(time.Second)
		w.j.Take(w.now, Ending{Request: digest("q"), Server: "s", Began: time.Duration(i)*time.Second + 100*time.Millisecond, Ended: time.Duration(i) * time.Second})
	}
	w.expect("q", Cleared)
}

// A start ends once. Calls that are sent to it later, since something still listens
// there, break off one after the other and say nothing.
func TestAStartEndsOnce(t *testing.T) {
	w := newWorld(t)
	for range 5 {
		w.after(time.Second)
		w.ends("q", "start of s", 100*time.Millisecond)
	}
	w.expect("q", Cleared)
}

// A server that keeps its ID over its starts ends three times.
func TestEndsOfOneServerOneAfterTheOtherHold(t *testing.T) {
	w := newWorld(t)
	for range 3 {
		w.after(time.Second)
		w.j.Take(w.now, Ending{Request: digest("q"), Server: "s", KeepsID: true, Began: 100 * time.Millisecond})
	}
	w.expect("q", Held)
}

// What ran beside a held request is not blamed for the ends that the request
// explains, whether these were reported before the ruling or after it.
func TestHeldRequestExplainsEndsForOthers(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.after(time.Second)
		server := fmt.Sprint("s", i)
		if i < 2 {
			w.ends("before", server, 500*time.Millisecond)
		}
		w.ends("q", server, 100*time.Millisecond)
		if i > 0 {
			w.ends("after", server, 500*time.Millisecond)
		}
	}
	w.expect("q", Held)
	for i := range 2 {
		w.after(time.Second)
		w.ends("before", fmt.Sprint("later", i), 100*time.Millisecond)
		w.ends("after", fmt.Sprint("later", i), 100*time.Millisecond)
		w.expect("before", Suspected)
	}
	w.expect("after", Suspected)
}

// A held request comes free, and one more end is enough for the next hold.
func TestOneEndAfterAHoldIsEnough(t *testing.T) {
	w := newWorld(t)
	w.endInTurn("s", 3)
	w.after(FirstHold)
	w.expect("q", Suspected)
	w.ends("q", "next", 100*time.Millisecond)
	w.expect("q", Held)
	w.after(holdGrowth*FirstHold + memoryTime)
	w.expect("q", Cleared)
}

// A request that ends servers whenever it may costs six of them in an hour.
func TestHoldsGrow(t *testing.T) {
	w := newWorld(t)
	ends := 0
	for w.now.Sub(t0) < time.Hour {
		if x, known := w.r.Ruling(w.now, digest("q")); !known || x.Standing != Held {
			ends++
			w.ends("q", fmt.Sprint("s", ends), 100*time.Millisecond)
		}
		w.after(time.Second)
		w.j.Review(w.now)
	}
	if ends > roundsToHold+6 {
		t.Errorf("%d servers ended in an hour", ends)
	}
}

// A hold that is over is not taken up again before another server has ended, whatever
// is decided on others meanwhile; also where another judge had ruled.
func TestHoldThatIsOverNeedsAnotherEnd(t *testing.T) {
	w := newWorld(t)
	w.endInTurn("s", 3)
	for i := range 3 {
		w.after(20 * time.Millisecond)
		w.ends("other's", fmt.Sprint("t", i), 10*time.Millisecond)
	}
	x := Ruling{Digest: digest("other's"), Standing: Held, Version: 2, Holds: 1}
	w.r.Take(w.now, x)
	w.j.Took(x)
	w.after(FirstHold)
	if list := w.j.Review(w.now); len(list) != 0 {
		t.Errorf("held again without an end: %+v", list)
	}
	for _, name := range []string{"q", "other's"} {
		w.expect(name, Suspected)
		w.ends(name, "next of "+name, 100*time.Millisecond)
		w.expect(name, Held)
	}
}

// Ends can follow each other so fast that no word of a success comes between.
func TestHoldWaitsForWordOfSuccesses(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.after(20 * time.Millisecond)
		w.ends("alike", fmt.Sprint("s", i), 10*time.Millisecond)
		w.ends("lethal", fmt.Sprint("s", i), 10*time.Millisecond)
	}
	w.expect("alike", Suspected)
	w.after(20 * time.Millisecond)
	w.j.Succeeded(w.now, digest("alike"), w.now.Add(-time.Millisecond))
	w.after(Deliberation)
	if list := w.j.Review(w.now); len(list) != 1 || list[0].Digest != digest("lethal") || list[0].Standing != Held {
		t.Errorf("got %+v", list)
	}
	w.expect("alike", Cleared)
}

// Word of a success from before the ends comes after the hold.
func TestLateWordOfASuccessLiftsAHold(t *testing.T) {
	w := newWorld(t)
	served := w.now
	w.endInTurn("s", roundsToHold)
	w.expect("q", Held)
	if x, tell := w.j.Succeeded(w.now, digest("q"), served); !tell || x.Standing != Suspected || x.Holds != 0 {
		t.Errorf("got %+v, told %v", x, tell)
	}
	w.endInTurn("t", roundsToHoldServed-roundsToHold)
	w.expect("q", Held)
}

// A request that servers could run until lately, and can't any more, is held as well.
func TestRequestThatWasServedIsHeldLater(t *testing.T) {
	w := newWorld(t)
	w.endInTurn("s", roundsToSuspect)
	w.j.Succeeded(w.now, digest("q"), t0)
	w.endInTurn("t", roundsToHoldServed-roundsToSuspect-1)
	w.expect("q", Suspected)
	w.endInTurn("u", 1)
	w.expect("q", Held)
}

// The instance that counted is gone; the next one goes on from the suspicion that all
// were told of.
func TestAnotherJudgeGoesOn(t *testing.T) {
	w := newWorld(t)
	w.endInTurn("s", 2)
	w.j = NewJudge(w.r)
	w.after(time.Second)
	w.ends("q", "s2", 100*time.Millisecond)
	w.expect("q", Held)
}

// Two sides of a partition decide for themselves. Whatever the order in which they
// hear of each other's rulings, both end up with the same.
func TestRulingsMerge(t *testing.T) {
	a := Ruling{Digest: digest("q"), Standing: Suspected, Version: 1, Servers: []string{"s1"}}
	b := Ruling{Digest: digest("q"), Standing: Held, Version: 1, Servers: []string{"s2"}}
	cleared := Ruling{Digest: digest("q"), Standing: Cleared, Version: 2}
	for _, order := range [][]Ruling{{a, b, cleared}, {cleared, b, a}, {b, cleared, a}} {
		r := NewRegister()
		for _, x := range order {
			r.Take(t0, x)
		}
		if got, _ := r.Ruling(t0, digest("q")); got.Standing != Cleared || got.Version != 2 {
			t.Errorf("got %+v", got)
		}
	}
	for _, order := range [][]Ruling{{a, b}, {b, a}} {
		r := NewRegister()
		for _, x := range order {
			r.Take(t0, x)
		}
		if got, _ := r.Ruling(t0, digest("q")); got.Standing != Held || len(got.Servers) != 2 {
			t.Errorf("got %+v", got)
		}
	}
}

// Rulings are told again and again; that must not make a hold last longer.
func TestTellingDoesNotProlong(t *testing.T) {
	one, two := NewRegister(), NewRegister()
	one.Take(t0, Ruling{Digest: digest("q"), Standing: Held, Version: 1})
	now := t0
	for now.Sub(t0) < FirstHold {
		for _, x := range one.Told(now) {
			two.Take(now.Add(20*time.Millisecond), x)
		}
		for _, x := range two.Told(now.Add(30 * time.Millisecond)) {
			one.Take(now.Add(50*time.Millisecond), x)
		}
		now = now.Add(500 * time.Millisecond)
	}
	if n := one.Held(now.Add(time.Second)) + two.Held(now.Add(time.Second)); n != 0 {
		t.Errorf("still held %v after the decision", now.Sub(t0))
	}
}

// Who has thousands of requests that end servers fills the register; what is held
// stays, and the memory is bounded.
func TestRegisterAndJudgeAreBounded(t *testing.T) {
	w := newWorld(t)
	w.r.Take(w.now, Ruling{Digest: digest("held"), Standing: Held, Version: 1})
	for i := range 3 * mostRecords {
		w.after(time.Millisecond)
		w.ends(fmt.Sprint("q", i), fmt.Sprint("s", i), time.Millisecond)
		w.r.Take(w.now, Ruling{Digest: digest(fmt.Sprint("r", i)), Standing: Suspected, Version: 1})
	}
	w.expect("held", Held)
	if w.r.Len() > mostRulings || len(w.j.records) > mostRecords {
		t.Errorf("%d rulings, %d records", w.r.Len(), len(w.j.records))
	}
	for range 100 {
		if n := len(w.r.Told(w.now)); n > mostTold {
			t.Fatalf("%d rulings told at once", n)
		}
	}
}

func TestDigestsDifferInEachField(t *testing.T) {
	base := Request{Customer: "a", Method: "b", Host: "c", URI: "d", Body: []byte("e")}
	seen := map[Digest]bool{base.Digest(): true}
	for _, r := range []Request{{"x", "b", "c", "d", base.Body}, {"a", "x", "c", "d", base.Body}, {"a", "b", "x", "d", base.Body},
		{"a", "b", "c", "x", base.Body}, {"a", "b", "c", "d", []byte("x")}, {"ab", "", "c", "d", base.Body}, {"a", "b", "c", "", []byte("de")}} {
		if seen[r.Digest()] {
			t.Errorf("%+v has a digest that was there", r)
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

// What a judge does for an ending while register and records are full.
func BenchmarkTake(b *testing.B) {
	r := NewRegister()
	j := NewJudge(r)
	for i := range mostRulings {
		r.Take(t0, Ruling{Digest: digest(fmt.Sprint(i)), Standing: Held, Holds: 1, Version: 1, Servers: []string{"a", "b", "c"}})
	}
	n := 0
	for b.Loop() {
		n++
		j.Take(t0, Ending{Request: digest(fmt.Sprint("q", n)), Server: "s"})
	}
}

// What an instance does for each call while the register is full.
func BenchmarkRuling(b *testing.B) {
	r := NewRegister()
	for i := range mostRulings {
		r.Take(t0, Ruling{Digest: digest(fmt.Sprint(i)), Standing: Held, Version: 1})
	}
	d := digest("other")
	for b.Loop() {
		r.Ruling(t0, d)
	}
}
