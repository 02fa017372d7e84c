package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/replica"
)

// ledService returns the service of a leader with a fleet of ready servers.
func ledService(servers int) (*Service, replica.View) {
	s := &Service{registry: fleet.NewRegistry(), notifier: newNotifier(), heartbeats: heartbeatBatch{}}
	s.followed.Store(&followedState{})
	s.update(func() {
		for i := range servers {
			s.registry.Announce(time.Now(), testServer(i, 1))
		}
	})
	return s, replica.View{Ready: true, Leading: true, Term: 3}
}

func testServer(i, slots int) fleet.Server {
	return fleet.Server{ID: fmt.Sprintf("i-%010x", i), Pool: "huvo11a", Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), Zone: "waitemata", Slots: slots, Sequence: 1}
}

// Guards against an overload that kept itself up: while engines announced themselves, the
// leader built and encoded a listing of the whole fleet for each of eight replicas that follow
// it, answered none of them in time, and built all of them again.
func TestFollowersShareTheListingsOfALeaderThatTakesAnnouncements(t *testing.T) {
	// On a simulated clock: on a slow machine a round would take longer than
	// minNotifyInterval, and another notification would be due within it.
	synctest.Test(t, func(t *testing.T) {
		const servers, followers, rounds = 3000, 8, 10
		s, v := ledService(servers)
		listings := map[*encodedListing]bool{}
		positions := make([]fleet.Position, followers)
		for round := range rounds {
			for f := range followers {
				// Each message from another replica changes the registry.
				s.update(func() { s.registry.Announce(time.Now(), testServer(round, 2+f)) })
				req := watchRequest{ForRelay: true, Deltas: true, AcrossTerms: true, Term: positions[f].Term, Version: positions[f].Version}
				reply, _, _ := s.changesFor(&req, v)
				if reply.Listing == nil {
					continue
				}
				listings[reply.Listing] = true
				positions[f] = fleet.Position{Term: reply.Listing.Term, Version: reply.Listing.Version}
			}
			s.notifier.notifyNow()
		}
		t.Logf("%d listings for %d requests", len(listings), followers*rounds)
		if len(listings) > rounds+1 {
			t.Errorf("%d listings were built and encoded in %d rounds", len(listings), rounds)
		}
	})
}

// BenchmarkListingsForFollowers measures a leader's work for eight replicas that follow it and
// lack all of 3,000 servers, while servers announce themselves.
func BenchmarkListingsForFollowers(b *testing.B) {
	s, v := ledService(3000)
	n := 0
	for b.Loop() {
		for range 8 {
			n++
			s.update(func() { s.registry.Announce(time.Now(), testServer(n%3000, n)) })
			s.changesFor(&watchRequest{ForRelay: true, Deltas: true, AcrossTerms: true}, v)
		}
		s.notifier.notifyNow()
	}
}

// Guards against an overload that kept itself up: announcements and heartbeats of other
// replicas waited for seconds at the leader, behind hundreds of watch requests.
func TestMessagesOfReplicasDoNotWaitForWatchRequests(t *testing.T) {
	s, v := ledService(100)
	if reply, _, _ := s.changesFor(&watchRequest{ForRelay: true, AcrossTerms: true}, v); reply.Listing == nil {
		t.Fatal("no listing")
	}
	s.relay.mu.Lock() // as a watch request does while its listing is put together
	defer s.relay.mu.Unlock()
	v.Routing.Revision++
	v.Routing.Withdrawals = []fleet.Withdrawal{{ServerID: testServer(1, 1).ID, Phase: fleet.Departed}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.follow(v)
		s.update(func() { s.registry.RecordHeartbeat(time.Now(), testServer(2, 1).ID, 2) })
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a message waits for a watch request")
	}
}

// Guards against messages that grow while the leader is late: all that had gathered was sent
// again at once, and took the leader longer each time.
func TestBatchesOfAnnouncementsAreBounded(t *testing.T) {
	q := announcementQueue{}
	for i := range 3000 {
		q.add(announcement{Server: testServer(i, 1)})
	}
	waiting := make(chan error, 1)
	q.add(announcement{Server: testServer(7, 1), waiters: []chan error{waiting}})
	sent := map[string]bool{}
	for round := 0; len(q) > 0; round++ {
		batch := q.take()
		if len(batch) == 0 || len(batch) > maxAnnouncementsPerBatch {
			t.Fatalf("a batch of %d announcements", len(batch))
		}
		if round == 0 && len(batch[0].waiters) != 1 {
			t.Error("the announcement that is waited for is not first")
		}
		for _, a := range batch {
			sent[a.ID] = true
		}
	}
	if len(sent) != 3000 {
		t.Errorf("%d servers were sent", len(sent))
	}
}
