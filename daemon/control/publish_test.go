package control

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/replica"
)

// ledService returns the service of a leader with a fleet of ready servers.
func ledService(servers int) (*Service, replica.View) {
	s := &Service{registry: fleet.NewRegistry(), changed: make(chan struct{}), heartbeats: heartbeatBatch{}}
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
		s.mu.Lock()
		s.notifyNow()
		s.mu.Unlock()
	}
	t.Logf("%d listings for %d requests", len(listings), followers*rounds)
	if len(listings) > rounds+1 {
		t.Errorf("%d listings were built and encoded in %d rounds", len(listings), rounds)
	}
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
		s.mu.Lock()
		s.notifyNow()
		s.mu.Unlock()
	}
}
