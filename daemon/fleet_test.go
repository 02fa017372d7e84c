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

// An entry that reaches only followers must learn of changes in time, since hundreds of
// entries can't all watch the leader.
//
// The entry knows both followers. One of three replicas may lag by a second, because its
// disk syncs slowly or it joined the group late. The entry then switches to the other, whose
// log has everything acknowledged. The servers repeat their announcements, as engines do: a
// new leader learns only that way of servers that its log does not have yet.
func TestFollowersServeTheFleet(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
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
	c.waitUntil("the entry has the declaration and the last ten servers", propagationLimit, func() bool {
		sequence++
		for i := 10; i < 20; i++ {
			announce(i, sequence)
		}
		list := <-got
		return version.Load() == 2 && len(list) == 10 && slices.IndexFunc(list, func(s fleet.Server) bool { return s.ID == "s19" }) >= 0
	})
}

// Sixty entries that watch followers, each sending a request twice a second, must cause the
// leader no traffic.
func TestWatchingEntriesAreSpreadOverTheReplicas(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
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

// Announcements without changes must reach the leader in batches rather than one by one, and
// must still keep their servers from counting as overdue.
func TestHeartbeatsAreBatched(t *testing.T) {
	const servers = 200
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	follower := group[slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return !v.Leading })]
	announce := func(sequence uint64) {
		for i := range servers {
			s := fleet.Server{ID: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprint("s", i), Sequence: sequence}
			c.announce(follower, s)
		}
	}
	// The servers repeat their announcements, as engines do: a leader elected right after
	// the first ones may know none of them.
	sequence := uint64(0)
	again := func() { sequence++; announce(sequence) }
	again()
	got := c.watchFleet(follower)
	c.waitUntil("all servers are listed", propagationLimit, func() bool { again(); return len(<-got) == servers })
	c.waitUntil("all servers are in the log", 10*time.Second, func() bool {
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

// After a failure of all instances, engines announce themselves to replicas that have no
// leader yet. With 3,000 engines and nine replicas, the announcements were refused with
// "context deadline exceeded": each of them looked for the leader by itself, about sixty
// times a second, which left the replicas no time to elect one. Waiting announcements must
// share one lookup.
func TestAnnouncementsShareTheLeaderLookup(t *testing.T) {
	sent := messagesSentWithoutLeader(t, func(c ControlAPI, id string) error {
		return c.Announce(context.Background(), fleet.Server{ID: id, Pool: "p", Address: id, Sequence: 1})
	})
	if sent > requestsWithoutLeader {
		t.Errorf("%d messages were sent", sent)
	}
}

// Commands for the log can't share a request as announcements do. 200 departures without a
// leader sent 7,600 messages within their timeout of 0.9 s; retries must be rare.
func TestDeparturesWithoutALeaderSendFewMessages(t *testing.T) {
	sent := messagesSentWithoutLeader(t, func(c ControlAPI, id string) error {
		return c.Depart(context.Background(), fleet.Start{Name: id, StartedAt: 1})
	})
	if sent > 20*requestsWithoutLeader {
		t.Errorf("%d messages were sent", sent)
	}
}

const requestsWithoutLeader = 200

// messagesSentWithoutLeader returns how many messages a replica without a leader sends
// while requestsWithoutLeader concurrent requests wait there.
func messagesSentWithoutLeader(t *testing.T, ask func(c ControlAPI, id string) error) int64 {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	group[1].kill()
	group[2].kill()
	alone := group[0]
	time.Sleep(time.Second) // time for a former leader to notice that it has lost its quorum
	c.waitUntil("there is no leader", 5*time.Second, func() bool { v, _ := alone.replica.View(); return !v.Leading })
	time.Sleep(2500 * time.Millisecond) // after this time it no longer accepts announcements on behalf of the next leader
	before := alone.transport.MessagesSent.Load()
	var asking sync.WaitGroup
	for i := range requestsWithoutLeader {
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

// Without a leader, a replica acknowledges an announcement immediately and forwards it to
// the next leader. Otherwise, with a slow leader, 3,000 engines time out and retry at other
// replicas, which makes 300 new connections a second at each of nine replicas.
func TestAnnouncementWithoutALeaderReachesTheNextLeader(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	time.Sleep(time.Second) // time for the leader to start serving
	leader := slices.IndexFunc(group, func(m *member) bool { v, _ := m.replica.View(); return v.Leading })
	alone, other := group[leader], group[(leader+1)%3]
	other.kill()
	group[(leader+2)%3].kill()
	c.waitUntil("there is no leader", 5*time.Second, func() bool { v, _ := alone.replica.View(); return !v.Leading })
	began := time.Now()
	err := alone.control.Announce(context.Background(), fleet.Server{ID: "s", Pool: "p", Address: "s", Sequence: 1})
	if took := time.Since(began); err != nil || took > 300*time.Millisecond {
		t.Errorf("not acknowledged immediately, but after %v: %v", took, err)
	}
	again := c.start("again", other.peer, other.folder, false)
	got := c.watchFleet(again)
	c.waitUntil("the server is known without another announcement", 10*time.Second, func() bool {
		return slices.ContainsFunc(<-got, func(s fleet.Server) bool { return s.ID == "s" })
	})
}

// A leader that many entries watch redirects further ones to the followers. Entries that
// reach no other replica must be served nevertheless.
func TestEntriesThatReachOnlyTheLeaderAreServed(t *testing.T) {
	const entries = 40
	c := newCluster(t)
	group := c.startReplicas()
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
		c.waitUntil("all have the declaration", 2*propagationLimit, func() bool {
			for i := range versions {
				if versions[i].Load() != version+1 {
					return false
				}
			}
			return true
		})
	}
}

// A starting entry must not receive the whole fleet from every replica: with 1,000 engines,
// nine replicas saturated its network link for seconds.
func TestStartingEntryFetchesTheFleetOnce(t *testing.T) {
	const servers = 600
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	// The servers repeat their announcements, as engines do: a leader that fails within
	// 100 ms of an announcement has not logged it.
	c.waitUntil("all servers are in the log", 20*time.Second, func() bool {
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
	c.waitUntil("the entry has all servers", propagationLimit, func() bool { return len(<-got) == servers })
	const maxBytes = 125 * servers // one list from the log and one from the leader, with a margin
	if bytes := sent() - before; bytes > maxBytes {
		t.Errorf("the replicas sent %d bytes, more than %d", bytes, maxBytes)
	} else {
		t.Logf("the replicas sent %d bytes", bytes)
	}
}

// A departed server must not be listed again by the next leader.
func TestDepartedServerStaysRemovedAfterLeaderChange(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	for _, id := range []string{"a", "b"} {
		c.announce(group[1], fleet.Server{ID: id, Pool: "p", Address: "10.0.0.1:1", Sequence: 1})
	}
	c.waitUntil("both servers are in the log", 5*time.Second, func() bool { v, _ := group[2].replica.View(); return len(v.Routing.Servers) == 2 })
	c.depart(group[1], fleet.Start{Name: "a"})
	left := c.killLeader(group)
	// A new entry learns only what the new leader has in its log.
	got := c.watchFleet(left[0])
	c.waitUntil("the new leader lists b and not a", 10*time.Second, func() bool {
		list := <-got
		return len(list) == 1 && list[0].ID == "b"
	})
}

// A server crashes and restarts under the same name. After the announcement of the new start
// is acknowledged, a delayed one of the former start must be ignored, also by a new leader.
func TestFormerStartStaysReplacedAfterLeaderChange(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	start := func(born int64, sequence uint64) fleet.Server {
		return fleet.Server{ID: fleet.StartID(fleet.Start{Name: "a", StartedAt: born}), Name: "a", StartedAt: born, Pool: "p", Address: "10.0.0.1:1", Sequence: sequence}
	}
	c.announce(group[1], start(100, 9))
	c.announce(group[1], start(200, 1))
	c.waitUntil("the new start is in every log", 5*time.Second, func() bool {
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
	// A departure without a start time applies to the newest start.
	c.depart(left[1], fleet.Start{Name: "a"})
	c.waitUntil("nothing is listed", 5*time.Second, func() bool { return len(<-got) == 0 })
}
