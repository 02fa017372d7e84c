package balance

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

var t0 = time.Unix(1_800_000_000, 0)

// arrival is one call of a replayed workload.
type arrival struct {
	at     time.Duration
	call   Call
	output int
	// again is set if the call was refused before.
	again bool
}

// mixedLoad generates the evening workload of twelve engines: a steady stream of chats
// that doubles for some seconds, short checks, and long compositions that arrive in a
// burst of their own.
func mixedLoad(seed int64, length time.Duration, scenes float64) []arrival {
	rnd := rand.New(rand.NewSource(seed))
	size := func(mean, spread float64) int {
		return max(1, int(mean*math.Exp(spread*rnd.NormFloat64()-spread*spread/2)))
	}
	var out []arrival
	add := func(rate float64, burstAt, burstTo time.Duration, burst float64, make func() (Call, int)) {
		for at := time.Duration(0); at < length; {
			r := rate
			if at >= burstAt && at < burstTo {
				r *= burst
			}
			at += time.Duration(rnd.ExpFloat64() / r * float64(time.Second))
			c, output := make()
			out = append(out, arrival{at: at, call: c, output: output})
		}
	}
	call := func(kind string, prefixes, shared, unshared int, target, targetGap time.Duration) Call {
		return Call{Tokens: shared + unshared, Unshared: unshared, TargetLatency: target, TargetGap: targetGap, AffinityKey: fmt.Sprint(kind, rnd.Intn(prefixes))}
	}
	add(60, 10*time.Second, 15*time.Second, 2, func() (Call, int) {
		return call("chat", 400, 198, size(628, 0.8), 300*time.Millisecond, 200*time.Millisecond), size(290, 0.6)
	})
	add(30, 0, 0, 1, func() (Call, int) {
		return call("check", 250, 568, min(3900, size(1800, 0.8)), 400*time.Millisecond, 300*time.Millisecond), size(22, 0.8)
	})
	add(scenes, 2*time.Second, 9*time.Second, 2.2, func() (Call, int) {
		return call("scene", 58, 5382, size(6610, 0.9), 2500*time.Millisecond, 800*time.Millisecond), size(380, 0.4)
	})
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// result summarizes the calls of a replay.
type result struct {
	chats, lateChats   int
	scenes, lateScenes int
	// cutScenes ran until the timeout; refused calls did not run.
	cutScenes, refused int
	reprocessed        int
}

func (r result) String() string {
	return fmt.Sprintf("late chats %d of %d, late scenes %d of %d, %d cut, %d refused, %d shared tokens reprocessed",
		r.lateChats, r.chats, r.lateScenes, r.scenes, r.cutScenes, r.refused, r.reprocessed)
}

// chooser places a call on an engine; -1 refuses it.
type chooser interface {
	choose(now time.Time, c Call) int
	began(now time.Time, s *streamSim)
	ended(now time.Time, engine int, s *streamSim)
}

// replay runs a workload on simulated engines, of which every third is slow.
func replay(load []arrival, engines, slots int, policy func([]fleet.Server) chooser) result {
	sims := make([]*engineSim, engines)
	list := make([]fleet.Server, engines)
	for i := range sims {
		id := fmt.Sprintf("engine-%02d", i)
		sims[i] = &engineSim{id: id, slow: []float64{1, 1, 1.3}[i%3], cached: map[string]time.Duration{}, slots: slots}
		list[i] = fleet.Server{ID: id, Pool: "p", Slots: slots}
	}
	p := policy(list)
	var r result
	run := func(until time.Duration) {
		for {
			next := -1
			for i, e := range sims {
				if len(e.streams) > 0 && e.at < until && (next < 0 || e.at < sims[next].at) {
					next = i
				}
			}
			if next < 0 {
				return
			}
			began, ended := sims[next].step()
			now := t0.Add(sims[next].at)
			for _, s := range began {
				p.began(now, s)
			}
			for _, s := range ended {
				p.ended(now, next, s)
				r.count(s)
			}
		}
	}
	for len(load) > 0 {
		a := load[0]
		load = load[1:]
		run(a.at)
		s := &streamSim{call: a.call, arrived: a.at, output: a.output}
		i := p.choose(t0.Add(a.at), a.call)
		if i < 0 {
			r.refused++
			load = retryLater(load, a)
			continue
		}
		if b, ok := p.(*balanced); ok {
			s.ticket = b.b.Start(t0.Add(a.at), sims[i].id, a.call)
			s.late = b.late
			s.onEventInterval = func(interval time.Duration) { b.b.RecordEventInterval(&s.ticket, interval) }
		}
		r.reprocessed += sims[i].accept(s)
	}
	run(time.Hour)
	return r
}

// retryLater adds a refused call once more, three seconds later.
func retryLater(load []arrival, a arrival) []arrival {
	if a.again {
		return load
	}
	a.again = true
	a.at += 3 * time.Second
	i := sort.Search(len(load), func(i int) bool { return load[i].at > a.at })
	return slices.Insert(slices.Clone(load), i, a)
}

func (r *result) count(s *streamSim) {
	late := s.cut || s.first-s.arrived > s.call.TargetLatency || s.longestInterval > s.call.TargetGap
	switch s.call.TargetLatency {
	case 300 * time.Millisecond:
		r.chats++
		if late {
			r.lateChats++
		}
	case 2500 * time.Millisecond:
		r.scenes++
		if s.cut {
			r.cutScenes++
		}
		if late {
			r.lateScenes++
		}
	}
}

// balanced places calls with the Balancer.
type balanced struct {
	b    *Balancer
	list []fleet.Server
	rnd  *rand.Rand
	// admitAll disables admission control.
	admitAll bool
	// late is set if the last call was admitted as Late.
	late bool
}

func newBalanced(list []fleet.Server) chooser {
	b := New("a", 1)
	b.SetFleet(list)
	b.SetEngines("p", 547510, 0)
	return &balanced{b: b, list: list, rnd: rand.New(rand.NewSource(2))}
}

func (p *balanced) choose(now time.Time, c Call) int {
	p.b.RecordArrival(now, "p", c)
	p.late = false
	if !p.admitAll {
		f := p.b.Forecast(now, "p", c, callTimeout, callTimeout)
		if f.Admission == Infeasible {
			return -1
		}
		p.late = f.Admission == Late
	}
	s, _ := p.b.Choose(now, "p", c, nil, p.rnd.Float64)
	for i := range p.list {
		if p.list[i].ID == s.ID {
			return i
		}
	}
	return 0
}

func (p *balanced) began(now time.Time, s *streamSim) { p.b.RecordFirstEvent(now, &s.ticket) }

func (p *balanced) ended(now time.Time, engine int, s *streamSim) {
	p.b.End(s.ticket)
	if s.cut {
		return
	}
	p.b.RecordSuccess(now, p.list[engine].ID)
	p.b.RecordStream(now, &s.ticket, s.intervals)
}

// leastRunning is the baseline policy: the engine with the fewest calls.
type leastRunning struct{ running []int }

func newLeastRunning(list []fleet.Server) chooser { return &leastRunning{make([]int, len(list))} }

func (p *leastRunning) choose(time.Time, Call) int {
	best := 0
	for i, n := range p.running {
		if n < p.running[best] {
			best = i
		}
	}
	p.running[best]++
	return best
}

func (p *leastRunning) began(time.Time, *streamSim) {}

func (p *leastRunning) ended(_ time.Time, engine int, _ *streamSim) { p.running[engine]-- }

// Chats must stay on time during bursts of compositions. Placement by call counts
// mixes the two on every engine.
func TestBurstsKeepChatsOnTime(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		load := mixedLoad(seed, 20*time.Second, 10)
		got := replay(load, 12, 64, newBalanced)
		baseline := replay(load, 12, 64, newLeastRunning)
		t.Logf("seed %d: %v; fewest calls: %v", seed, got, baseline)
		if 4*got.lateChats > baseline.lateChats {
			t.Errorf("seed %d: %d late chats, more than a quarter of the %d with the fewest-calls policy", seed, got.lateChats, baseline.lateChats)
		}
		if 5*got.reprocessed > 3*baseline.reprocessed {
			t.Errorf("seed %d: %d shared tokens reprocessed, more than three fifths of %d", seed, got.reprocessed, baseline.reprocessed)
		}
		if got.lateScenes > baseline.lateScenes+got.scenes/10 {
			t.Errorf("seed %d: %d late compositions, %d with the fewest-calls policy", seed, got.lateScenes, baseline.lateScenes)
		}
	}
}

// Long prompts arrive at three times the engines' capacity. If all are admitted,
// nearly all are late, most reach their timeout after the work was done, and half of
// the chats are late too. Refused callers retry once.
func TestOverloadRefusesLongPromptsEarly(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		load := mixedLoad(seed, 20*time.Second, 45)
		got := replay(load, 12, 32, newBalanced)
		all := replay(load, 12, 32, func(list []fleet.Server) chooser {
			p := newBalanced(list).(*balanced)
			p.admitAll = true
			return p
		})
		t.Logf("seed %d: %v; all admitted: %v", seed, got, all)
		if got.scenes+got.cutScenes < all.scenes-all.cutScenes {
			t.Errorf("seed %d: %d scenes served, fewer than the %d when all are admitted", seed, got.scenes-got.cutScenes, all.scenes-all.cutScenes)
		}
		if inTime, baseline := got.scenes-got.lateScenes, all.scenes-all.lateScenes; inTime < 2*baseline {
			t.Errorf("seed %d: %d scenes in time, less than twice the %d when all are admitted", seed, inTime, baseline)
		}
		if 8*got.lateChats > got.chats {
			t.Errorf("seed %d: %d of %d chats are late", seed, got.lateChats, got.chats)
		}
		if 20*got.cutScenes > got.scenes {
			t.Errorf("seed %d: %d of %d scenes were admitted but timed out", seed, got.cutScenes, got.scenes)
		}
	}
}

// In a burst of long prompts whose shared prefixes are not cached yet, the boundary must
// follow the backlog, since the arrival rate shows only a quarter of it.
func TestBoundaryFollowsBacklog(t *testing.T) {
	b, _ := pool12()
	b.setSpeed("p", 40_000)
	now := t0
	for i := range 40 {
		c := Call{Tokens: 9000, Unshared: 2900, MaxOutput: 60, TargetLatency: 800 * time.Millisecond, TargetGap: 500 * time.Millisecond, AffinityKey: fmt.Sprint(i)}
		now = now.Add(10 * time.Millisecond)
		b.RecordArrival(now, "p", c)
		s, ok := b.Choose(now, "p", c, nil, fixedRandom)
		if !ok {
			t.Fatal("no engine")
		}
		b.Start(now, s.ID, c)
	}
	if long := len(b.longSide(now, "p")); long < 8 {
		t.Errorf("%d of 12 engines are on the long side while 40 long prompts and no other calls wait", long)
	}
}

// setSpeed sets the known prefill speed of a pool.
func (b *Balancer) setSpeed(poolName string, tokensPerSecond float64) {
	b.pool(poolName).speed.own = SpeedSample{Sum: tokensPerSecond * maxSpeedCalls, Calls: maxSpeedCalls}
}
