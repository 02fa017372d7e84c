package control

import (
	"fmt"
	"testing"

	"cardamomwick.example/core/membership"
)

func homeOf(serverID string, members []string, alive []membership.Instance) string {
	return homeAmong(serverID, living(members, alive))
}

func replicasOf(n int) (members []string, alive []membership.Instance) {
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:7340", i)
		members = append(members, address)
		alive = append(alive, membership.Instance{Name: fmt.Sprint("replica-", i), PeerAddress: address, State: membership.Alive})
	}
	return members, alive
}

// TestServersSpreadOverTheReplicas: none has much more than its share of thousands, also
// when few are back after a loss of everything, and a replica that is lost moves its own
// servers only.
func TestServersSpreadOverTheReplicas(t *testing.T) {
	const servers = 3000
	members, alive := replicasOf(9)
	before := make([]string, servers)
	for there := 1; there <= len(alive); there++ {
		load := map[string]int{}
		for i := range servers {
			before[i] = homeOf(fmt.Sprint("i-", i), members, alive[:there])
			load[before[i]]++
		}
		for home, n := range load {
			if most := servers/there*5/4 + 1; n > most {
				t.Errorf("%s has %d of %d servers, of %d replicas", home, n, servers, there)
			}
		}
	}
	lost := alive[4].PeerAddress
	without := append(append([]membership.Instance{}, alive[:4]...), alive[5:]...)
	for i := range servers {
		now := homeOf(fmt.Sprint("i-", i), members, without)
		if before[i] != lost && now != before[i] {
			t.Fatalf("server %d moved from %s to %s, which %s does not explain", i, before[i], now, lost)
		}
	}
}

// TestAHomeIsAReplicaThatIsAlive.
func TestAHomeIsAReplicaThatIsAlive(t *testing.T) {
	members, alive := replicasOf(3)
	alive[0].Draining = true
	alive[1].State = membership.Suspect
	alive = append(alive, membership.Instance{Name: "entry", PeerAddress: "10.0.1.1:7340", State: membership.Alive})
	if got := homeOf("i-1", members, alive); got != alive[2].PeerAddress {
		t.Errorf("home is %s", got)
	}
	if got := homeOf("i-1", members, nil); got != "" {
		t.Errorf("nobody is alive, and home is %s", got)
	}
}

// BenchmarkHome looks up a server's home among 309 instances with nine replicas.
func BenchmarkHome(b *testing.B) {
	members, alive := replicasOf(9)
	for i := range 300 {
		alive = append(alive, membership.Instance{Name: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprintf("10.1.%d.%d:7340", i/250, i%250), State: membership.Alive})
	}
	b.Run("looked up for each", func(b *testing.B) {
		for b.Loop() {
			homeOf("i-7f3a91c2", members, alive)
		}
	})
	b.Run("looked up before", func(b *testing.B) {
		replicas := living(members, alive)
		for b.Loop() {
			homeAmong("i-7f3a91c2", replicas)
		}
	})
}
