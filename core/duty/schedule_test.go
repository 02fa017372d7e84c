package duty

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	exclusive = 3 * time.Second
	// stepsPerRelease is the mean number of steps after which a holder releases its
	// lease.
	stepsPerRelease = 25
	// minActions is the number of actions of a live duty in two minutes of a schedule.
	minActions = 40
)

// simulation is a log, a provider that checks fencing tokens, and claimants that are
// paused, restarted and cut off while their claims and calls are in flight.
type simulation struct {
	random *rand.Rand
	now    time.Time
	log    State
	// maxFence is the highest fencing token that the provider has seen; users maps each
	// token to its holder.
	maxFence uint64
	users    map[uint64]string
	// actions holds the actions accepted by the provider, in order.
	actions []action
	nodes   []*node
	due     []event
	// violation is the first rule violation during the schedule.
	violation error
}

type action struct {
	holder string
	at     time.Time
}

// event is a scheduled event.
type event struct {
	at time.Time
	do func()
}

// node is one instance. Its machine keeps its name over restarts.
type node struct {
	machine  string
	starts   int
	claimant *Claimant
	// pausedUntil ends a pause of the process, cutUntil a loss of its connections to log
	// and provider.
	pausedUntil, cutUntil time.Time
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.machine, n.starts) }

func (s *simulation) start(n *node) {
	n.starts++
	n.claimant = NewClaimant(n.process(), TimingFor(exclusive), s.now, s.random.Float64)
}

func (s *simulation) after(d time.Duration, do func()) {
	s.due = append(s.due, event{s.now.Add(d), do})
}

func (s *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

// step runs one iteration of a node's loop.
func (s *simulation) step(n *node) {
	if s.now.Before(n.pausedUntil) {
		return
	}
	starts := n.starts
	alive := func() bool { return n.starts == starts && !s.now.Before(n.pausedUntil) }
	if !s.now.Before(n.cutUntil) {
		n.claimant.Observe(s.now, s.log.Lease)
	}
	if claim, ok := n.claimant.Claim(s.now); ok {
		s.send(n, claim, alive)
	}
	if n.claimant.Holds(s.now) && s.random.IntN(4) == 0 {
		s.act(n, alive)
	}
	if n.claimant.Holds(s.now) && s.random.IntN(stepsPerRelease) == 0 {
		if claim, ok := n.claimant.Release(s.now); ok {
			s.send(n, claim, alive)
		}
	}
}

// send delivers a claim to the log and returns the result; both may be lost or late.
func (s *simulation) send(n *node, claim Claim, alive func() bool) {
	sent := s.now
	s.after(s.delay(400*time.Millisecond), func() {
		if s.now.Before(n.cutUntil) || s.random.IntN(20) == 0 {
			return
		}
		granted, lease := s.log.Lease.Apply(claim), s.log.Lease
		s.after(s.delay(200*time.Millisecond), func() {
			if granted && alive() && s.random.IntN(20) > 0 {
				n.claimant.Granted(s.now, sent, lease)
			}
		})
	})
}

// act gets a fencing token from the log and calls the provider, which may execute the
// call seconds later. The holder may be paused in between, but not between its last
// check of the lease and the sending.
func (s *simulation) act(n *node, alive func() bool) {
	lease, sent := n.claimant.LastLease(), s.now
	process, machine := n.process(), n.machine
	s.after(s.delay(300*time.Millisecond), func() {
		fence, ok := s.log.NextFence(process, lease.Term, s.now.UnixMilli())
		if !ok {
			return
		}
		renewed := s.log.Lease
		s.after(s.delay(300*time.Millisecond), func() {
			if !alive() || s.now.Before(n.cutUntil) || !n.claimant.Holds(s.now) {
				return
			}
			n.claimant.Granted(s.now, sent, renewed)
			n.claimant.RecordAction(s.now)
			late := s.delay(20 * time.Millisecond)
			if s.random.IntN(10) == 0 {
				late = s.delay(10 * time.Second)
			}
			s.after(late, func() { s.receiveAction(machine, fence) })
		})
	})
}

// receiveAction is the provider's end of a call: it rejects outdated fencing tokens and
// records the actions it accepts.
func (s *simulation) receiveAction(machine string, fence uint64) {
	if fence < s.maxFence {
		return
	}
	s.maxFence = fence
	if before, used := s.users[fence]; used && before != machine {
		s.violation = fmt.Errorf("%s and %s acted with fence %d", before, machine, fence)
	}
	s.users[fence] = machine
	s.actions = append(s.actions, action{machine, s.now})
}

// check returns a violation: a token used by two holders, or alternating holders.
func (s *simulation) check() error {
	if s.violation != nil {
		return s.violation
	}
	for i := 2; i < len(s.actions); i++ {
		last := s.actions[i]
		between := false
		for j := i - 1; j >= 0 && last.at.Sub(s.actions[j].at) < exclusive; j-- {
			if s.actions[j].holder != last.holder {
				between = true
			} else if between {
				return fmt.Errorf("%s acted at %v and %v, with another holder in between", last.holder, s.actions[j].at, last.at)
			}
		}
	}
	return nil
}

func (s *simulation) disturb() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch s.random.IntN(60) {
	case 0:
		n.pausedUntil = s.now.Add(s.delay(9 * time.Second))
	case 1:
		n.cutUntil = s.now.Add(s.delay(9 * time.Second))
	case 2:
		s.start(n)
	}
}

func (s *simulation) run(length time.Duration) error {
	const tick = 50 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(tick) {
		for _, n := range s.nodes {
			s.step(n)
		}
		s.disturb()
		s.deliver()
	}
	return s.check()
}

// deliver runs the events that are due, including those they schedule.
func (s *simulation) deliver() {
	for i := 0; i < len(s.due); i++ {
		if s.due[i].at.After(s.now) {
			continue
		}
		do := s.due[i].do
		s.due = append(s.due[:i], s.due[i+1:]...)
		i = -1
		do()
	}
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), users: map[uint64]string{}}
	for i := range 5 {
		n := &node{machine: string(rune('a' + i))}
		s.start(n)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// Random schedules of pauses, disconnections, restarts, losses and late calls. No holder
// may act again within the exclusive time after another one has acted, and the duty must
// make progress.
func TestRandomSchedules(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		if err := s.run(2 * time.Minute); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if len(s.actions) < minActions {
			t.Errorf("seed %d: only %d actions", seed, len(s.actions))
		}
	}
}
