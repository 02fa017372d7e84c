package control

import (
	"slices"

	"cardamomwick.example/core/membership"
)

// SetInstances sets the function that lists the live instances. Call it before Serve.
func (s *Service) SetInstances(f func() []membership.Instance) { s.instances = f }

// AssignedReplica returns the peer address of the replica that a server should send its
// announcements to, "" if no live replica is known.
//
// After a full restart, and at the first start, 3,000 engines all find the first replica
// that is up. If servers stayed with the replica that acknowledged them first, that one
// would permanently carry all connections and heartbeats and have no time left for the
// replica group. A replica that joins or is lost moves only its share of the servers.
func (s *Service) AssignedReplica(serverID string) string {
	live := s.liveReplicas.Load()
	if live == nil {
		return ""
	}
	return replicaFor(serverID, *live)
}

// updateLiveReplicas refreshes the list of live replicas. It is not computed per heartbeat, since
// hundreds of heartbeats a second would each scan hundreds of instances.
func (s *Service) updateLiveReplicas(members []string) {
	live := filterLiveReplicas(members, s.instances())
	s.liveReplicas.Store(&live)
}

// filterLiveReplicas returns the live instances that hold replicas.
func filterLiveReplicas(members []string, alive []membership.Instance) []membership.Instance {
	var replicas []membership.Instance
	for _, i := range alive {
		if !i.Draining && i.State == membership.Alive && slices.Contains(members, i.PeerAddress) {
			replicas = append(replicas, i)
		}
	}
	return replicas
}

// replicaFor returns the peer address of the replica that ranks first for the server.
func replicaFor(serverID string, replicas []membership.Instance) string {
	ranked := membership.TopTwo(serverID, replicas)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].PeerAddress
}
