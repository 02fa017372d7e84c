package control

import (
	"slices"

	"cardamomwick.example/core/membership"
)

// OnInstances sets what lists the instances that are alive. Call it before Serve.
func (s *Service) OnInstances(f func() []membership.Instance) { s.instances = f }

// Home returns the peer address of the replica to which a server's announcements are to
// come, "" where none is known to be alive.
//
// The load pattern it answers: after a loss of everything, and at the first start, the
// first replica that is there is found by all of 3,000 engines. Where each replica kept
// those that it had acknowledged, that one alone bore their connections and heartbeats for
// good, and had no time left for the group's work. A replica that joins or is lost moves
// its share of the servers only.
func (s *Service) Home(serverID string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return homeAmong(serverID, s.homes)
}

// noteHomes looks up the replicas that are alive. Heartbeats come by the hundreds a second,
// and the instances are hundreds.
func (s *Service) noteHomes(members []string) {
	homes := living(members, s.instances())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes = homes
}

// living returns the instances that are alive and hold replicas.
func living(members []string, alive []membership.Instance) []membership.Instance {
	var replicas []membership.Instance
	for _, i := range alive {
		if !i.Draining && i.State == membership.Alive && slices.Contains(members, i.PeerAddress) {
			replicas = append(replicas, i)
		}
	}
	return replicas
}

// homeAmong returns the peer address of the first replica in the server's own ranking.
func homeAmong(serverID string, replicas []membership.Instance) string {
	first := membership.TopTwo(serverID, replicas)
	if len(first) == 0 {
		return ""
	}
	return first[0].PeerAddress
}
