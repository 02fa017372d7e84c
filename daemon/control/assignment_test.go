package control

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/membership"
)

func assignedReplica(serverID string, members []string, alive []membership.Instance) string {
	return replicaFor(serverID, filterLiveReplicas(members, alive))
}

func replicasOf(n int) (members []string, alive []membership.Instance) {
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:7340", i)
		members = append(members, address)
		alive = append(alive, membership.Instance{Name: fmt.Sprint("replica-", i), PeerAddress: address, State: membership.Alive})
	}
	return members, alive
}

// TestServersAreDistributedOverReplicas checks that no replica gets much more than its share of
// the servers, also when only some replicas are up after a full restart, and that the loss
// of a replica moves only its own servers.
func TestServersAreDistributedOverReplicas(t *testing.T) {
	const servers = 3000
	members, alive := replicasOf(9)
	before := make([]string, servers)
	for up := 1; up <= len(alive); up++ {
		load := map[string]int{}
		for i := range servers {
			before[i] = assignedReplica(fmt.Sprint("i-", i), members, alive[:up])
			load[before[i]]++
		}
		for replica, n := range load {
			if most := servers/up*5/4 + 1; n > most {
				t.Errorf("%s has %d of %d servers with %d replicas up, want at most %d", replica, n, servers, up, most)
			}
		}
	}
	lost := alive[4].PeerAddress
	without := append(append([]membership.Instance{}, alive[:4]...), alive[5:]...)
	for i := range servers {
		now := assignedReplica(fmt.Sprint("i-", i), members, without)
		if before[i] != lost && now != before[i] {
			t.Fatalf("server %d moved from %s to %s although only %s was lost", i, before[i], now, lost)
		}
	}
}

// TestAssignedReplicaIsAlive checks that draining and suspected replicas and instances
// without a replica are not chosen.
func TestAssignedReplicaIsAlive(t *testing.T) {
	members, alive := replicasOf(3)
	alive[0].Draining = true
	alive[1].State = membership.Suspect
	alive = append(alive, membership.Instance{Name: "entry", PeerAddress: "10.0.1.1:7340", State: membership.Alive})
	if got := assignedReplica("i-1", members, alive); got != alive[2].PeerAddress {
		t.Errorf("the server belongs to %s, want %s", got, alive[2].PeerAddress)
	}
	if got := assignedReplica("i-1", members, nil); got != "" {
		t.Errorf("the server belongs to %s although no instance is alive", got)
	}
}

// BenchmarkAssignedReplica chooses a server's replica among 309 instances, nine of them replicas,
// with and without filtering the live replicas for each look-up.
func BenchmarkAssignedReplica(b *testing.B) {
	members, alive := replicasOf(9)
	for i := range 300 {
		alive = append(alive, membership.Instance{Name: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprintf("10.1.%d.%d:7340", i/250, i%250), State: membership.Alive})
	}
	b.Run("looked up for each", func(b *testing.B) {
		for b.Loop() {
			assignedReplica("i-7f3a91c2", members, alive)
		}
	})
	b.Run("looked up before", func(b *testing.B) {
		replicas := filterLiveReplicas(members, alive)
		for b.Loop() {
			replicaFor("i-7f3a91c2", replicas)
		}
	})
}
