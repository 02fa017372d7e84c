package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamomwick.example/core/bundle"
)

var t0 = time.Unix(1_800_000_000, 0)

func class(tier int, share float64) bundle.Class {
	return bundle.Class{Tier: tier, Share: share, Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline,
		FirstTokenTarget: bundle.Duration(400 * time.Millisecond), Deadline: bundle.Duration(time.Minute)}
}

func testPool(servers, slots int) *Pool {
	p := NewPool(t0)
	newest := class(4, 0.05)
	newest.Order = bundle.QueueNewest
	early := class(2, 0.05)
	early.GiveUp = bundle.GiveUpFirstToken
	late := class(3, 0)
	late.Order = bundle.QueueAttainable
	p.SetPolicy(Policy{
		Classes:   map[string]bundle.Class{"top": class(1, 0), "check": early, "scene": class(3, 0.05), "summary": newest, "late": late},
		Customers: map[string]bundle.Customer{"big": {Weight: 1}, "small": {Weight: 1}, "rated": {Weight: 1, RequestsPerSecond: 1, Burst: 2}, "capped": {Weight: 1, MaxRunning: 1}},
	})
	for n := range servers {
		p.Announce(t0, ServerInfo{ID: fmt.Sprintf("s%d", n), Address: "x", Slots: slots})
	}
	return p
}

var sequence uint64

func ticket(class, customer string) Ticket {
	sequence++
	return Ticket{ID: TicketID{"e", sequence}, Class: class, Customer: customer, Remaining: time.Minute, Attempt: 1}
}

func TestTopTierFirstAndReserve(t *testing.T) {
	p := testPool(1, 20)
	p.Enqueue(t0, ticket("top", "big"))
	p.Advance(t0)
	for range 40 {
		p.Enqueue(t0, ticket("scene", "big"))
	}
	if got := len(p.Advance(t0).Grants); got != 18 {
		t.Fatalf("%d scenes granted next to the top tier, want 18: one slot in use, one reserved", got)
	}
	top := ticket("top", "small")
	p.Enqueue(t0, top)
	if g := p.Advance(t0).Grants; len(g) != 1 || g[0].ID != top.ID {
		t.Fatalf("grants %v, want the top tier's call", g)
	}
}

func TestNeverShedsSameOrHigherTier(t *testing.T) {
	p := testPool(0, 0)
	for range maxWaiting {
		p.Enqueue(t0, ticket("top", "big"))
	}
	last := ticket("summary", "big")
	p.Enqueue(t0, last)
	if r := p.Advance(t0).Refusals; len(r) != 1 || r[0].ID != last.ID || r[0].Reason != ReasonQueueFull {
		t.Fatalf("refusals %v, want the new ticket of the lower tier", r)
	}
	p = testPool(0, 0)
	for range maxWaiting {
		p.Enqueue(t0, ticket("summary", "big"))
	}
	p.Enqueue(t0, ticket("top", "big"))
	a := p.Advance(t0)
	if len(a.Refusals) != 1 || p.classes["top"].queued != 1 || p.classes["summary"].queued != maxWaiting-1 {
		t.Fatalf("%d refusals, want one of the lowest tier", len(a.Refusals))
	}
}

// Under a lasting overload of the top tiers, each lower class gets at least half of
// its guaranteed share.
func TestEveryClassRuns(t *testing.T) {
	p := testPool(2, 10)
	now := t0
	granted := map[string]int{}
	type slot struct {
		id  TicketID
		end time.Time
	}
	var busy []slot
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		for _, s := range []string{"s0", "s1"} {
			p.Announce(now, ServerInfo{ID: s, Address: "x", Slots: 10})
		}
		for _, c := range []string{"top", "scene", "summary"} {
			tk := ticket(c, "big")
			tk.ID.Entry = c
			p.Enqueue(now, tk)
			if step%2 == 0 {
				p.Enqueue(now, ticket(c, "small"))
			}
		}
		for _, g := range p.Advance(now).Grants {
			granted[p.running[g.ID].ticket.Class]++
			busy = append(busy, slot{g.ID, now.Add(200 * time.Millisecond)})
		}
		kept := busy[:0]
		for _, b := range busy {
			if b.end.After(now) {
				kept = append(kept, b)
				continue
			}
			p.Finish(now, b.id, Usage{OutputTokens: 200, Completed: true})
		}
		busy = kept
	}
	total := granted["top"] + granted["scene"] + granted["summary"]
	for _, c := range []string{"scene", "summary"} {
		if share := float64(granted[c]) / float64(total); share < 0.025 {
			t.Errorf("%s got %.3f of the grants, want at least half of its 0.05", c, share)
		}
	}
	if granted["top"] < total*8/10 {
		t.Errorf("top tier got %d of %d", granted["top"], total)
	}
}

// Calls that can still meet their target run before those that can't, and every
// eighth grant goes to the oldest call, so that all of them run.
func TestAttainableFirst(t *testing.T) {
	p := testPool(1, 1)
	now := t0
	overdue := map[TicketID]bool{}
	for range 5 {
		tk := ticket("late", "big")
		tk.Age = time.Minute / 2
		overdue[tk.ID] = true
		p.Enqueue(now, tk)
	}
	overdueGranted := 0
	for n := range 40 {
		now = now.Add(10 * time.Millisecond)
		p.Enqueue(now, ticket("late", "small"))
		a := p.Advance(now)
		if len(a.Grants) != 1 {
			t.Fatalf("step %d: %d grants", n, len(a.Grants))
		}
		overdueGranted += map[bool]int{true: 1}[overdue[a.Grants[0].ID]]
		p.Finish(now, a.Grants[0].ID, Usage{OutputTokens: 10, Completed: true})
	}
	if overdueGranted != 5 {
		t.Fatalf("%d of 5 overdue calls ran in 40 grants, want all five: one grant in eight", overdueGranted)
	}
}

func TestFairCustomers(t *testing.T) {
	p := testPool(1, 10)
	for range 100 {
		p.Enqueue(t0, ticket("scene", "big"))
	}
	small := ticket("scene", "small")
	p.Enqueue(t0.Add(time.Millisecond), small)
	got := false
	for _, g := range p.Advance(t0.Add(2 * time.Millisecond)).Grants {
		got = got || g.ID == small.ID
	}
	if !got {
		t.Fatal("the small customer's call was not granted before the hundred of the big customer")
	}
}

func TestCustomerLimits(t *testing.T) {
	p := testPool(1, 10)
	for range 4 {
		p.Enqueue(t0, ticket("top", "rated"))
		p.Enqueue(t0, ticket("scene", "capped"))
	}
	a := p.Advance(t0)
	if len(a.Refusals) != 2 || a.Refusals[0].Reason != ReasonCustomerRate || a.Refusals[0].RetryAfter <= 0 {
		t.Fatalf("refusals %v, want two of the rated customer with a retry time", a.Refusals)
	}
	if len(a.Grants) != 3 {
		t.Fatalf("%d grants, want two of rated and one of capped", len(a.Grants))
	}
}

func TestGivesUpOnlyForWaiting(t *testing.T) {
	p := testPool(0, 0)
	p.ObserveFirstToken(10 * time.Second)
	p.Enqueue(t0, ticket("check", "big"))
	if r := p.Advance(t0.Add(100 * time.Millisecond)).Refusals; len(r) != 0 {
		t.Fatalf("refused after a quarter of the target: %v", r)
	}
	r := p.Advance(t0.Add(201 * time.Millisecond)).Refusals
	if len(r) != 1 || r[0].Reason != ReasonFirstToken {
		t.Fatalf("refusals %v, want one for the first-token target", r)
	}
}

func TestExclusionsRetirementAndFaults(t *testing.T) {
	p := testPool(2, 1)
	tk := ticket("top", "big")
	tk.Exclude = []string{"s0"}
	p.Enqueue(t0, tk)
	if g := p.Advance(t0).Grants; len(g) != 1 || g[0].Server != "s1" {
		t.Fatalf("grants %v, want s1", g)
	}
	p.Finish(t0, tk.ID, Usage{Fault: true})
	tk = ticket("top", "big")
	tk.Exclude = []string{"s0", "s1"}
	p.Enqueue(t0, tk)
	if g := p.Advance(t0).Grants; len(g) != 1 || g[0].Server != "s0" {
		t.Fatalf("grants %v, want s0: all are excluded and s1 is failing", g)
	}
	p.policy.Retired = map[string]uint64{"s1": 1}
	p.Enqueue(t0, ticket("top", "big"))
	if g := p.Advance(t0.Add(maxFaultBackoff)).Grants; len(g) != 0 {
		t.Fatalf("granted a retired server: %v", g)
	}
}

func TestStragglerGetsProbesOnly(t *testing.T) {
	p := testPool(4, 16)
	for range 20 {
		var progress []Progress
		for n, s := range p.serversByID {
			tokens := 100
			if n == 0 {
				tokens = 25
			}
			progress = append(progress, Progress{Server: s.ID, Tokens: tokens, Busy: time.Second})
		}
		p.Sync(t0, "e", nil, progress)
	}
	for range 64 {
		p.Enqueue(t0, ticket("top", "big"))
	}
	slow := 0
	for _, g := range p.Advance(t0).Grants {
		if g.Server == "s0" {
			slow++
		}
	}
	if slow != 1 {
		t.Fatalf("the straggler at a quarter speed got %d calls, want 1 probe", slow)
	}
}

// A new dispatcher that gets all its state from the entries neither exceeds the slots
// nor loses a call.
func TestHandOver(t *testing.T) {
	old, next := testPool(2, 5), testPool(2, 5)
	sent := map[TicketID]Ticket{}
	for range 16 {
		tk := ticket("scene", "big")
		sent[tk.ID] = tk
		old.Enqueue(t0, tk)
	}
	var list []RunningCall
	for _, g := range old.Advance(t0).Grants {
		list = append(list, RunningCall{sent[g.ID], g.Server})
		delete(sent, g.ID)
	}
	next.Sync(t0, "e", list, nil)
	for _, tk := range sent {
		next.Enqueue(t0, tk)
	}
	if a := next.Advance(t0); len(a.Grants) != 0 || len(next.waiting) != 6 {
		t.Fatalf("%d grants, %d waiting; want 0 and 6: all slots are in use", len(a.Grants), len(next.waiting))
	}
	next.Sync(t0.Add(syncGrace+time.Second), "e", nil, nil)
	if v := next.View(t0); v.Running != 0 {
		t.Fatalf("%d grants that the entry does not report are still running", v.Running)
	}
}

// Under random events, slots are never exceeded, counters match the tickets, and each
// ticket is granted or refused at most once.
func TestAccounting(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(9))
	props.Property("slots and counters stay consistent", prop.ForAll(func(seed int64) (string, error) {
		rnd := rand.New(rand.NewSource(seed))
		p := testPool(3, 4)
		now := t0
		open := map[TicketID]string{}
		for range 400 {
			now = now.Add(time.Duration(rnd.Intn(50)) * time.Millisecond)
			for _, s := range p.serversByID {
				p.Announce(now, ServerInfo{ID: s.ID, Address: "x", Slots: 4, Running: rnd.Intn(5)})
			}
			tk := ticket([]string{"top", "check", "scene", "summary", "late"}[rnd.Intn(5)], []string{"big", "small", "rated", "capped"}[rnd.Intn(4)])
			p.Enqueue(now, tk)
			open[tk.ID] = "waiting"
			for id, st := range open {
				if rnd.Intn(10) == 0 && st == "waiting" && id != tk.ID {
					p.Cancel(id)
					delete(open, id)
				} else if rnd.Intn(3) == 0 && st == "running" {
					p.Finish(now, id, Usage{OutputTokens: rnd.Intn(300), Completed: rnd.Intn(5) > 0, Fault: rnd.Intn(20) == 0})
					delete(open, id)
				}
			}
			a := p.Advance(now)
			for _, g := range a.Grants {
				if open[g.ID] != "waiting" {
					return "", fmt.Errorf("granted a ticket that is %q", open[g.ID])
				}
				open[g.ID] = "running"
			}
			for _, r := range a.Refusals {
				if open[r.ID] != "waiting" {
					return "", fmt.Errorf("refused a ticket that is %q", open[r.ID])
				}
				delete(open, r.ID)
			}
			granted, queued := 0, 0
			for _, s := range p.serversByID {
				granted += s.granted
				if s.granted > s.Slots {
					return "", fmt.Errorf("%d calls on %d slots", s.granted, s.Slots)
				}
			}
			for _, c := range p.classesByTier {
				queued += c.queued
			}
			if granted != len(p.running) || queued != len(p.waiting) || granted+queued != len(open) {
				return "", fmt.Errorf("granted %d, running %d, queued %d, waiting %d, open %d", granted, len(p.running), queued, len(p.waiting), len(open))
			}
		}
		return "", nil
	}, gen.Int64()))
	props.TestingRun(t)
}

// A server that announces a request limit gets no more requests than that, higher tiers
// first. Additional requests under one grant also consume the limit.
func TestAnnouncedRequestLimitHolds(t *testing.T) {
	p := testPool(1, 100)
	announce := func(now time.Time, perSecond *float64) {
		p.Announce(now, ServerInfo{ID: "s0", Address: "x", Slots: 100, RequestsPerSecond: perSecond})
	}
	limit := 2.0
	announce(t0, &limit)
	for range 60 {
		p.Enqueue(t0, ticket("late", "big"))
		p.Enqueue(t0, ticket("top", "small"))
	}
	var granted []TicketID
	advance := func(length time.Duration) int {
		n := 0
		for range int(length / (50 * time.Millisecond)) {
			t0 = t0.Add(50 * time.Millisecond)
			announce(t0, &limit)
			for _, g := range p.Advance(t0).Grants {
				granted = append(granted, g.ID)
				n++
			}
		}
		return n
	}
	defer func(at time.Time) { t0 = at }(t0)
	if n := advance(10 * time.Second); n < 18 || n > 21 {
		t.Errorf("%d grants in 10 s at 2 a second, want 18 to 21", n)
	}
	for _, id := range granted {
		if p.running[id].class.name != "top" {
			t.Errorf("a %s was granted before the top tier", p.running[id].class.name)
		}
	}
	p.Finish(t0, granted[0], Usage{Completed: true, ExtraRequests: 4})
	if n := advance(2 * time.Second); n > 1 {
		t.Errorf("%d grants in 2 s after four extra requests were charged", n)
	}
	limit = 0
	if n := advance(5 * time.Second); n > 1 {
		t.Errorf("%d grants to a server with a limit of 0", n)
	}
	announce(t0, nil)
	if n := len(p.Advance(t0).Grants); n < 30 {
		t.Errorf("%d grants after the limit was withdrawn, want at least 30", n)
	}
}
