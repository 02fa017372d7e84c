package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/control"
	"cardamomwick.example/daemon/replica"
)

// An entry that knows only followers must learn there, in time, what the leader is
// told: hundreds of entries can't all watch at the leader.
//
// The entry knows both followers. One of three may be a second late: its disk syncs
// slowly, or it missed the others by a moment when they formed the group. An entry
// leaves such a one for another, and what is acknowledged stands in the log of one
// that isn't. The servers go on announcing themselves, as engines do: a leader that
// has just taken over knows those that its log does not have yet only from there.
func TestFollowersPassTheFleetOn(t *testing.T) {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	leader := slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return v.Leading })
	followers := []*member{group[(leader+1)%3], group[(leader+2)%3]}
	only := replica.NewFixedDirectory([]string{followers[0].peer, followers[1].peer})
	var version atomic.Uint64
	got := c.watch(followers[0], only, func(t *routing.Table) { version.Store(t.Version()) })
	announce := func(i int, sequence uint64) {
		id := fmt.Sprint("s", i)
		c.announce(group[i%3], fleet.Server{ID: id, Pool: "p", Address: id, Sequence: sequence})
	}
	for i := range 20 {
		announce(i, 1)
		if i >= 10 {
			c.depart(group[(i+1)%3], fleet.Start{Name: fmt.Sprint("s", i-10)})
		}
	}
	c.declare(group[1], 2)
	sequence := uint64(1)
	c.until("the entry has the declaration and the last ten servers", inForce, func() bool {
		sequence++
		for i := 10; i < 20; i++ {
			announce(i, sequence)
		}
		list := <-got
		return version.Load() == 2 && len(list) == 10 && slices.IndexFunc(list, func(s fleet.Server) bool { return s.ID == "s19" }) >= 0
	})
}

// Sixty entries that watch at the followers must cost the leader nothing: each of them
// comes back twice a second.
func TestWatchingEntriesAreSpreadOverTheReplicas(t *testing.T) {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	leader := slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return v.Leading })
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	for i := range 60 {
		m := group[(leader+1+i%2)%3]
		only := replica.NewFixedDirectory([]string{m.peer})
		w := control.NewWatch(m.transport, replica.NewClient(m.transport, only), func(*routing.Table) {}, func([]fleet.Server) {})
		go func() { _ = w.Serve(ctx) }()
	}
	time.Sleep(time.Second)
	before := group[leader].transport.MessagesSent.Load()
	const span = 3 * time.Second
	time.Sleep(span)
	sent := group[leader].transport.MessagesSent.Load() - before
	t.Logf("the leader sent %d messages in %v", sent, span)
	if sent > 200 {
		t.Errorf("the leader sent %d messages in %v", sent, span)
	}
}

// Heartbeats that say nothing new must not cost the leader a message each, and must
// keep their servers from being taken for silent.
func TestHeartbeatsAreToldTogether(t *testing.T) {
	const servers = 200
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	follower := group[slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return !v.Leading })]
	announce := func(sequence uint64) {
		for i := range servers {
			s := fleet.Server{ID: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprint("s", i), Sequence: sequence}
			c.announce(follower, s)
		}
	}
	// They go on announcing themselves, as engines do: a leader that takes over at once
	// may know none of them.
	sequence := uint64(0)
	again := func() { sequence++; announce(sequence) }
	again()
	got := c.watchFleet(follower)
	c.until("all servers are listed", inForce, func() bool { again(); return len(<-got) == servers })
	c.until("all servers are in the log", 10*time.Second, func() bool {
		again()
		v, _ := follower.replica.View()
		return len(v.Routing.Servers) == servers
	})
	began, before := time.Now(), follower.transport.MessagesSent.Load()
	for time.Since(began) < fleet.OverdueAfter+time.Second {
		again()
		time.Sleep(time.Second)
	}
	sent := follower.transport.MessagesSent.Load() - before
	t.Logf("%d messages for %d heartbeats in %v", sent, servers*5, time.Since(began))
	if sent > servers {
		t.Errorf("the follower sent %d messages", sent)
	}
	for list := <-got; len(got) > 0; list = <-got {
		if i := slices.IndexFunc(list, func(s fleet.Server) bool { return s.Overdue }); i >= 0 {
			t.Fatalf("%s counts as overdue though it announces itself", list[i].ID)
		}
	}
}

// After a loss of everything, engines announce themselves to replicas that have no leader
// yet. The log lines of such a replica, one of nine, 3,000 engines around:
//
//	39.742 control call refused  step=announce status=503 reason="context deadline exceeded"
//	39.745 control call refused  step=announce status=503 reason="context deadline exceeded"
//
// Each announcement looked for the leader by itself, some sixty times a second; the
// replicas had no time left to elect one.
func TestAnnouncementsThatWaitForALeaderLookForItTogether(t *testing.T) {
	sent := messagesWithoutALeader(t, func(c ControlAPI, id string) error {
		return c.Announce(context.Background(), fleet.Server{ID: id, Pool: "p", Address: id, Sequence: 1})
	})
	if sent > askingWithoutALeader {
		t.Errorf("%d messages were sent", sent)
	}
}

// What goes through the log can't be told together so simply. Departures while there is
// no leader cost 7,600 messages for 200 of them within their 0.9 s.
func TestDeparturesThatWaitForALeaderAskSeldom(t *testing.T) {
	sent := messagesWithoutALeader(t, func(c ControlAPI, id string) error {
		return c.Depart(context.Background(), fleet.Start{Name: id, StartedAt: 1})
	})
	if sent > 20*askingWithoutALeader {
		t.Errorf("%d messages were sent", sent)
	}
}

const askingWithoutALeader = 200

// messagesWithoutALeader returns how many messages a replica sends that has no leader,
// while as many ask it for something together.
func messagesWithoutALeader(t *testing.T, ask func(c ControlAPI, id string) error) int64 {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	group[1].kill()
	group[2].kill()
	alone := group[0]
	time.Sleep(time.Second) // one that was handed the leadership has noticed that it has no quorum
	c.until("there is no leader", 5*time.Second, func() bool { v, _ := alone.replica.View(); return !v.Leading })
	time.Sleep(2500 * time.Millisecond) // it takes no announcements for a leader that has been away for so long
	before := alone.transport.MessagesSent.Load()
	var asking sync.WaitGroup
	for i := range askingWithoutALeader {
		asking.Go(func() {
			if err := ask(alone.control, fmt.Sprint("s", i)); err == nil {
				t.Errorf("%d was acknowledged without a leader", i)
			}
		})
	}
	asking.Wait()
	sent := alone.transport.MessagesSent.Load() - before
	t.Logf("%d messages", sent)
	return sent
}

// Engines whose announcement waited for the leader's word went on to the next replica, and
// asked that one to tell the leader too: 3,000 of them made 300 new connections a second at
// each of nine replicas, for as long as the leader was behind.
func TestAnnouncementIsTakenForTheNextLeader(t *testing.T) {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	time.Sleep(time.Second) // the leader has noticed that it leads
	leader := slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return v.Leading })
	alone, other := group[leader], group[(leader+1)%3]
	other.kill()
	group[(leader+2)%3].kill()
	c.until("there is no leader", 5*time.Second, func() bool { v, _ := alone.replica.View(); return !v.Leading })
	began := time.Now()
	err := alone.control.Announce(context.Background(), fleet.Server{ID: "s", Pool: "p", Address: "s", Sequence: 1})
	if took := time.Since(began); err != nil || took > 300*time.Millisecond {
		t.Errorf("not acknowledged at once, but after %v: %v", took, err)
	}
	again := c.start("again", other.peer, other.folder, false)
	got := c.watchFleet(again)
	c.until("the server is known without another announcement", 10*time.Second, func() bool {
		return slices.ContainsFunc(<-got, func(s fleet.Server) bool { return s.ID == "s" })
	})
}

// A leader that many entries watch sends others to the replicas that follow it; those who
// reach no other one must be served all the same.
func TestEntriesThatReachOnlyACrowdedLeaderAreServed(t *testing.T) {
	const entries = 40
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	leader := slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return v.Leading })
	c.announce(group[leader], fleet.Server{ID: "s", Pool: "p", Address: "s", Sequence: 1})
	only := replica.NewFixedDirectory([]string{group[leader].peer})
	var versions [entries]atomic.Uint64
	for i := range entries {
		c.watch(group[(leader+1)%3], only, func(t *routing.Table) { versions[i].Store(t.Version()) })
	}
	for version := range uint64(3) {
		c.declare(group[0], version+1)
		c.until("all have the declaration", 2*inForce, func() bool {
			for i := range versions {
				if versions[i].Load() != version+1 {
					return false
				}
			}
			return true
		})
	}
}

// An entry that starts must not be sent everything by each replica: with 1,000 engines
// nine of them filled its link for seconds.
func TestStartingEntryFetchesTheFleetOnce(t *testing.T) {
	const servers = 600
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	// As engines do, each announces itself again and again: a leader that is lost within a
	// tenth of a second of an announcement has not logged it.
	c.until("all servers are in the log", 20*time.Second, func() bool {
		v, _ := group[0].replica.View()
		logged := map[string]bool{}
		for _, s := range v.Routing.Servers {
			logged[s.ID] = true
		}
		for i := range servers {
			s := fleet.Server{ID: fmt.Sprintf("i-%010d", i), Pool: "p", Address: fmt.Sprint("s", i), Sequence: 1}
			if !logged[s.ID] {
				c.announce(group[i%3], s)
			}
		}
		return !slices.ContainsFunc(group, func(m *member) bool { v, _ := m.replica.View(); return len(v.Routing.Servers) < servers })
	})
	sent := func() (bytes int64) {
		for _, m := range group {
			bytes += m.transport.BytesSent.Load()
		}
		return bytes
	}
	time.Sleep(time.Second)
	before := sent()
	got := c.watchFleet(group[0])
	c.until("the entry has all servers", inForce, func() bool { return len(<-got) == servers })
	const most = 125 * servers // one listing from the log and one of the leader's, with some room
	if bytes := sent() - before; bytes > most {
		t.Errorf("the replicas sent %d bytes, more than %d", bytes, most)
	} else {
		t.Logf("the replicas sent %d bytes", bytes)
	}
}

func TestWithdrawnServerStaysAwayOverTheLeadersEnd(t *testing.T) {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	for _, id := range []string{"a", "b"} {
		c.announce(group[1], fleet.Server{ID: id, Pool: "p", Address: "10.0.0.1:1", Sequence: 1})
	}
	c.until("both servers are in the log", 5*time.Second, func() bool { v, _ := group[2].replica.View(); return len(v.Routing.Servers) == 2 })
	c.depart(group[1], fleet.Start{Name: "a"})
	left := c.killLeader(group)
	// An entry that starts now knows only what the new leader has from the log.
	got := c.watchFleet(left[0])
	c.until("the new leader lists b and not a", 10*time.Second, func() bool {
		list := <-got
		return len(list) == 1 && list[0].ID == "b"
	})
}

// A server crashes and starts again under its name. Once that was acknowledged, what
// its former start has said comes late, also to a leader that was not there before.
func TestFormerStartStaysAwayOverTheLeadersEnd(t *testing.T) {
	c := newCluster(t)
	group := c.founders()
	c.declare(group[0], 1)
	start := func(born int64, sequence uint64) fleet.Server {
		return fleet.Server{ID: fleet.StartID(fleet.Start{Name: "a", StartedAt: born}), Name: "a", StartedAt: born, Pool: "p", Address: "10.0.0.1:1", Sequence: sequence}
	}
	c.announce(group[1], start(100, 9))
	c.announce(group[1], start(200, 1))
	c.until("the new start is in every log", 5*time.Second, func() bool {
		for _, m := range group {
			v, _ := m.replica.View()
			if len(v.Routing.Servers) != 1 || v.Routing.Servers[0].StartedAt != 200 {
				return false
			}
		}
		return true
	})
	left := c.killLeader(group)
	c.announce(left[0], start(100, 10))
	got := c.watchFleet(left[0])
	for range 5 {
		if list := <-got; len(list) != 1 || list[0].StartedAt != 200 {
			t.Fatalf("listed are %+v", list)
		}
	}
	// A departure without a time means the newest start.
	c.depart(left[1], fleet.Start{Name: "a"})
	c.until("nothing is listed", 5*time.Second, func() bool { return len(<-got) == 0 })
}
