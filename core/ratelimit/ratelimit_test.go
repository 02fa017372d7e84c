package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Bounds documented by the platform: within any period of length window, a server with a
// limit in requests per second receives at most excess x limit x window + slack
// requests, with the window in seconds.
const (
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

func allowed(limit float64) int { return int(excess*limit*window.Seconds() + slack) }

// replay simulates calls for one server that arrive at several instances, which learn of
// each other's calls with a delay.
type replay struct {
	instances int
	limit     float64
	// skew is the fraction of the calls that arrive at one instance; that instance
	// changes after each period of moves, or never if it is 0.
	skew  float64
	moves time.Duration
	// lag is the age of the known rates of others.
	lag time.Duration
	// lost is the fraction of the instances that stop halfway; their calls then arrive
	// at the others.
	lost float64
}

const (
	replayTime = 40 * time.Second
	// learnTime passes before the server announces its limit.
	learnTime = 5 * time.Second
	// rateTime is the time constant of the rates, in seconds.
	rateTime = 1.5
)

// instance is one simulated instance.
type instance struct {
	bucket Bucket
	share  Share
	rate   float64
	at     time.Time
}

func (in *instance) rateAt(now time.Time) float64 {
	return in.rate * math.Exp(-now.Sub(in.at).Seconds()/rateTime)
}

func (in *instance) arrive(now time.Time) {
	in.rate = in.rateAt(now) + 1/rateTime
	in.at = now
}

// run returns the largest number of requests within a window, and the used fraction of
// the limit.
func (r *replay) run(seed uint64) (most int, used float64) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(0, 0)
	announced := start.Add(learnTime)
	list := make([]*instance, r.instances)
	for i := range list {
		list[i] = &instance{bucket: NewBucket(announced, rnd.Float64())}
	}
	total := max(8, 3*r.limit)
	var sent []time.Time
	var sums []rateSum
	for at := time.Duration(0); at < replayTime; at += time.Duration(rnd.ExpFloat64() / total * float64(time.Second)) {
		now := start.Add(at)
		alive := r.instances
		if at > replayTime/2 {
			alive -= int(r.lost * float64(r.instances))
		}
		sum := 0.0
		for _, in := range list[:alive] {
			sum += in.rateAt(now)
		}
		sums = append(sums, rateSum{now, sum})
		for len(sums) > 1 && !sums[1].at.After(now.Add(-r.lag)) {
			sums = sums[1:]
		}
		in := list[r.pick(rnd, at, alive)]
		others := max(0, sums[0].sum-in.rateAt(sums[0].at))
		in.arrive(now)
		if now.Before(announced) {
			continue
		}
		share := in.share.Of(now, CallRates{Own: in.rateAt(now), Others: others, OthersKnown: true, Instances: r.instances})
		if in.bucket.Take(now, Limit{true, r.limit}.Rate(share)) {
			sent = append(sent, now)
		}
	}
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / (r.limit * (replayTime - learnTime).Seconds())
}

type rateSum struct {
	at  time.Time
	sum float64
}

func (r *replay) pick(rnd *rand.Rand, at time.Duration, alive int) int {
	if rnd.Float64() >= r.skew {
		return rnd.IntN(alive)
	}
	if r.moves == 0 {
		return 0
	}
	return int(at/r.moves) % alive
}

// All instances together must not send a server more than its limit, however the calls
// are distributed, and must not leave the limit unused.
func TestInstancesTogetherKeepToALimit(t *testing.T) {
	const seeds = 4
	const leastUsed = 0.45
	for _, instances := range []int{6, 60, 376} {
		for _, limit := range []float64{0.3, 3, 30} {
			for name, r := range map[string]replay{
				"even":      {},
				"one":       {skew: 0.9},
				"moving":    {skew: 0.9, moves: 5 * time.Second},
				"half lost": {lost: 0.5},
			} {
				t.Run(fmt.Sprintf("%d instances, %g a second, %s", instances, limit, name), func(t *testing.T) {
					r.instances, r.limit, r.lag = instances, limit, 400*time.Millisecond
					worst, used := 0, 0.0
					for seed := range uint64(seeds) {
						most, u := r.run(seed)
						worst, used = max(worst, most), used+u/seeds
					}
					t.Logf("at most %d of %d within %v, %.2f of the limit used", worst, allowed(limit), window, used)
					if worst > allowed(limit) || used < leastUsed {
						t.Errorf("%d within %v, %d are allowed; %.2f of the limit used", worst, window, allowed(limit), used)
					}
				})
			}
		}
	}
}

// Unused tokens must not accumulate to a burst.
func TestUnusedTokensExpire(t *testing.T) {
	now := time.Unix(0, 0)
	for _, rate := range []float64{0.01, 0.9, 3, 1000} {
		b := NewBucket(now, 0.5)
		later := now.Add(time.Hour)
		n := 0
		for b.Take(later, rate) {
			n++
		}
		if most := 1 + int(rate*tokenTime.Seconds()); n > most {
			t.Errorf("at %g a second %d tokens are available after an hour, want at most %d", rate, n, most)
		}
	}
}

func TestTokensArriveAtPredictedTime(t *testing.T) {
	now := time.Unix(0, 0)
	for _, rate := range []float64{0.02, 0.5, 7} {
		b := NewBucket(now, 0.25)
		wait := b.TimeUntil(now, rate)
		if b.Take(now.Add(wait*9/10), rate) {
			t.Errorf("at %g a second a token is available too early", rate)
		}
		if !b.Take(now.Add(wait+time.Millisecond), rate) {
			t.Errorf("at %g a second no token is available after %v", rate, wait)
		}
	}
	if b := NewBucket(now, 0); b.TimeUntil(now, 0) != maxRefillTime {
		t.Errorf("with rate 0 the time until a token is %v", b.TimeUntil(now, 0))
	}
}

// An instance that doesn't know the call rates of others takes an equal share. One that
// no longer receives reports of others must raise its share only gradually.
func TestShareWithoutReportsOfOthers(t *testing.T) {
	now := time.Unix(0, 0)
	var s Share
	if got := s.Of(now, CallRates{Own: 10, Instances: 4}); got != 0.25 {
		t.Errorf("share %g of four instances", got)
	}
	if got := s.Of(now, CallRates{Own: 10, Instances: 1}); got != 1 {
		t.Errorf("share %g of a single instance", got)
	}
	if got := s.Of(now, CallRates{Own: 10, Others: 30, OthersKnown: true, Instances: 4}); got != 0.25 {
		t.Errorf("share %g of a quarter of the calls", got)
	}
	if got := s.Of(now.Add(time.Second), CallRates{Own: 10, OthersKnown: true, Instances: 4}); got > 0.4 {
		t.Errorf("share %g one second after the last report of others", got)
	}
	if got := s.Of(now.Add(30*time.Second), CallRates{Own: 10, OthersKnown: true, Instances: 4}); got < 0.99 {
		t.Errorf("share %g long after the last report of others", got)
	}
	for _, invalid := range []float64{math.NaN(), math.Inf(1), -1} {
		if got := new(Share).Of(now, CallRates{Own: 10, Others: invalid, OthersKnown: true, Instances: 4}); got != 1 {
			t.Errorf("share %g when others report %g calls a second", got, invalid)
		}
	}
	if got := s.Of(now, CallRates{OthersKnown: true, Instances: 4}); got != 0 {
		t.Errorf("share %g without calls", got)
	}
}

// With a limit of zero, occasional requests must still be sent, as a response is the
// only way to learn that the limit has ended.
func TestZeroLimitKeepsMinimumRate(t *testing.T) {
	l, _ := NewLimit(0)
	if got := l.Rate(0.5); got != 0.5*minPerSecond {
		t.Errorf("rate %g", got)
	}
}

// Announcements that instances exchange must not circulate forever, and an older one
// must not replace a newer one.
func TestLaterAnnouncementWins(t *testing.T) {
	now := time.Unix(100, 0)
	three, _ := NewLimit(3)
	var s Announced
	if !s.Observe(now, three) || s.Observe(now.Add(time.Second), three) {
		t.Error("the same announcement must be reported as changed only once")
	}
	if s.Merge(now.Add(2*time.Second), Limit{}, 1500*time.Millisecond) {
		t.Error("an older announcement replaced a newer one")
	}
	if s.Merge(now.Add(2*time.Second), three, 0) {
		t.Error("the same announcement was reported as changed")
	}
	if !s.Merge(now.Add(3*time.Second), Limit{}, 100*time.Millisecond) || s.Limited {
		t.Errorf("a newer announcement was ignored: %+v", s)
	}
	// Two instances receive different announcements at the same time.
	a, b := Announced{}, Announced{}
	a.Observe(now, three)
	b.Observe(now, Limit{Limited: true, PerSecond: 4})
	changes := 0
	for i := range 10 {
		at := now.Add(time.Duration(i+1) * 20 * time.Millisecond)
		limitOfA := a
		if a.Merge(at, b.Limit, at.Add(-10*time.Millisecond).Sub(b.Since)) {
			changes++
		}
		if b.Merge(at, limitOfA.Limit, at.Add(-10*time.Millisecond).Sub(limitOfA.Since)) {
			changes++
		}
	}
	if changes > 1 {
		t.Errorf("two announcements replaced each other %d times", changes)
	}
}

// The highest rank takes the next token; within a rank, a late call comes after those
// that are in time.
func TestQueueOrder(t *testing.T) {
	var q Queue
	late := &Waiter{Rank: 1, Late: true}
	inTime := &Waiter{Rank: 1}
	low := &Waiter{Rank: 5}
	for _, w := range []*Waiter{low, late, inTime} {
		q.Join(w)
	}
	for w, want := range map[*Waiter]int{inTime: 0, late: 1, low: 2} {
		if got := q.Ahead(w); got != want {
			t.Errorf("%+v has %d ahead, want %d", w, got, want)
		}
	}
	if got := q.Ahead(&Waiter{Rank: 1}); got != 1 {
		t.Errorf("a newcomer has %d ahead, want 1", got)
	}
	if got := q.Ahead(&Waiter{}); got != 0 {
		t.Errorf("a newcomer of the highest rank has %d ahead", got)
	}
	q.Join(inTime)
	q.Leave(inTime)
	if q.Ahead(late) != 0 || q.Len() != 2 {
		t.Errorf("%d waiters, %d ahead of the late one", q.Len(), q.Ahead(late))
	}
}

// Guards against room that stays free until the next waiter happens to look.
func TestOnlyTheFirstWaiterIsWoken(t *testing.T) {
	var q Queue
	woken := ""
	waiter := func(name string, rank int, late bool) *Waiter {
		w := &Waiter{Rank: rank, Late: late, Wake: func() { woken += name }}
		q.Join(w)
		return w
	}
	q.WakeFirst()
	waiter("late ", 0, true)
	first := waiter("first ", 0, false)
	waiter("second ", 0, false)
	waiter("low ", 1, false)
	q.WakeFirst()
	q.Leave(first)
	q.WakeFirst()
	if woken != "first second " {
		t.Errorf("woken: %s", woken)
	}
	q.Join(&Waiter{Rank: -1})
	q.WakeFirst() // it waits for a token, which comes with time
	if woken != "first second " {
		t.Errorf("woken instead of the first: %s", woken)
	}
}
