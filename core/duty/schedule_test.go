package duty

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	exclusive = 3 * time.Second
	// mostActs is how many looks at its lease a holder of the schedules takes on average
	// before it releases it.
	mostActs = 25
	// leastEffects is what a duty that goes on brings about in two minutes of that.
	leastEffects = 40
)

// world is a log, a provider that checks fences, and contenders that are paused,
// restarted and cut off while their claims and calls are on the way.
type world struct {
	random *rand.Rand
	now    time.Time
	log    State
	// seenFence is the highest fence that the provider has seen; users are the holders
	// of each fence.
	seenFence uint64
	users     map[uint64]string
	// acts are the effects that the provider has accepted, in their order.
	acts  []act
	nodes []*node
	due   []event
	// broken is the first rule that was broken while the schedule went on.
	broken error
}

type act struct {
	holder string
	at     time.Time
}

// event happens at a time.
type event struct {
	at time.Time
	do func()
}

// node is one instance. Its machine has a name that it keeps over restarts.
type node struct {
	machine   string
	starts    int
	contender *Contender
	// pausedUntil: the process stands still; cutUntil: it reaches neither log nor provider.
	pausedUntil, cutUntil time.Time
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.machine, n.starts) }

func (w *world) start(n *node) {
	n.starts++
	n.contender = NewContender(n.process(), RulesFor(exclusive), w.now, w.random.Float64)
}

func (w *world) after(d time.Duration, do func()) { w.due = append(w.due, event{w.now.Add(d), do}) }

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

// step lets a node do what its loop does.
func (w *world) step(n *node) {
	if w.now.Before(n.pausedUntil) {
		return
	}
	starts := n.starts
	alive := func() bool { return n.starts == starts && !w.now.Before(n.pausedUntil) }
	if !w.now.Before(n.cutUntil) {
		n.contender.Observe(w.now, w.log.Lease)
	}
	if claim, ok := n.contender.Claim(w.now); ok {
		w.send(n, claim, alive)
	}
	if n.contender.Holds(w.now) && w.random.IntN(4) == 0 {
		w.effect(n, alive)
	}
	if n.contender.Holds(w.now) && w.random.IntN(mostActs) == 0 {
		if claim, ok := n.contender.Release(w.now); ok {
			w.send(n, claim, alive)
		}
	}
}

// send brings a claim to the log and its result back; both may be lost or late.
func (w *world) send(n *node, claim Claim, alive func() bool) {
	sent := w.now
	w.after(w.delay(400*time.Millisecond), func() {
		if w.now.Before(n.cutUntil) || w.random.IntN(20) == 0 {
			return
		}
		granted, lease := w.log.Lease.Take(claim), w.log.Lease
		w.after(w.delay(200*time.Millisecond), func() {
			if granted && alive() && w.random.IntN(20) > 0 {
				n.contender.Granted(w.now, sent, lease)
			}
		})
	})
}

// effect takes a fence from the log and calls the provider, which may carry the call out
// seconds later. The holder may be paused in between, but for the moment between its
// last look at the lease and the sending.
func (w *world) effect(n *node, alive func() bool) {
	lease, sent := n.contender.Seen(), w.now
	process, machine := n.process(), n.machine
	w.after(w.delay(300*time.Millisecond), func() {
		fence, ok := w.log.NextFence(process, lease.Term, w.now.UnixMilli())
		if !ok {
			return
		}
		renewed := w.log.Lease
		w.after(w.delay(300*time.Millisecond), func() {
			if !alive() || w.now.Before(n.cutUntil) || !n.contender.Holds(w.now) {
				return
			}
			n.contender.Granted(w.now, sent, renewed)
			n.contender.Acted(w.now)
			late := w.delay(20 * time.Millisecond)
			if w.random.IntN(10) == 0 {
				late = w.delay(10 * time.Second)
			}
			w.after(late, func() { w.provider(machine, fence) })
		})
	})
}

func (w *world) provider(machine string, fence uint64) {
	if fence < w.seenFence {
		return
	}
	w.seenFence = fence
	if before, used := w.users[fence]; used && before != machine {
		w.broken = fmt.Errorf("%s and %s acted with fence %d", before, machine, fence)
	}
	w.users[fence] = machine
	w.acts = append(w.acts, act{machine, w.now})
}

// check returns what is broken: a fence of two holders, or holders that act in turn.
func (w *world) check() error {
	if w.broken != nil {
		return w.broken
	}
	for i := 2; i < len(w.acts); i++ {
		last := w.acts[i]
		between := false
		for j := i - 1; j >= 0 && last.at.Sub(w.acts[j].at) < exclusive; j-- {
			if w.acts[j].holder != last.holder {
				between = true
			} else if between {
				return fmt.Errorf("%s acted at %v and %v, another one between", last.holder, w.acts[j].at, last.at)
			}
		}
	}
	return nil
}

func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(60) {
	case 0:
		n.pausedUntil = w.now.Add(w.delay(9 * time.Second))
	case 1:
		n.cutUntil = w.now.Add(w.delay(9 * time.Second))
	case 2:
		w.start(n)
	}
}

func (w *world) run(length time.Duration) error {
	const tick = 50 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, n := range w.nodes {
			w.step(n)
		}
		w.disturb()
		w.arrive()
	}
	return w.check()
}

// arrive lets happen what is due, also what that brings about.
func (w *world) arrive() {
	for i := 0; i < len(w.due); i++ {
		if w.due[i].at.After(w.now) {
			continue
		}
		do := w.due[i].do
		w.due = append(w.due[:i], w.due[i+1:]...)
		i = -1
		do()
	}
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), users: map[uint64]string{}}
	for i := range 5 {
		n := &node{machine: string(rune('a' + i))}
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

// TestRandomSchedules plays pauses, cuts, restarts, losses and late effects: no holder
// acts again within the exclusive time after another one, and the duty goes on.
func TestRandomSchedules(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		if err := w.run(2 * time.Minute); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if len(w.acts) < leastEffects {
			t.Errorf("seed %d: only %d effects", seed, len(w.acts))
		}
	}
}
