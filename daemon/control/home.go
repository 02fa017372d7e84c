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
	v, _ := s.replica.View()
	return homeOf(serverID, v.Members, s.instances())
}

// homeOf returns the first of the members that are alive, in the server's own ranking.
func homeOf(serverID string, members []string, alive []membership.Instance) string {
	var replicas []membership.Instance
	for _, i := range alive {
		if !i.Draining && i.State == membership.Alive && slices.Contains(members, i.PeerAddress) {
			replicas = append(replicas, i)
		}
	}
	first := membership.First(serverID, replicas)
	if len(first) == 0 {
		return ""
	}
	return first[0].PeerAddress
}
