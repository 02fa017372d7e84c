package membership

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// expectHolders checks how many share holders each running member counts.
func (n *network) expectHolders(t *testing.T, when string, want int) {
	t.Helper()
	for _, address := range slices.Sorted(maps.Keys(n.tables)) {
		if got := len(n.tables[address].ShareHolders()); !n.stopped[address] && got != want {
			t.Fatalf("%s: %s counts %d share holders, want %d", when, address, got, want)
		}
	}
}

// The halves of a fleet that lost sight of each other each divided the whole of a bound among
// themselves, and members that started meanwhile knew only those in sight.
func TestMembersBeyondAPartitionHoldTheirShares(t *testing.T) {
	const (
		cutAt, restartAt, healAt = 4 * time.Second, 10 * time.Second, 15 * time.Second
		// joinTime is the time that members need to know the others after a start.
		joinTime = 3 * time.Second
	)
	for _, members := range []int{6, 67, 376} {
		n := newNetwork(members, 0.02, 1)
		n.run(t, cutAt)
		n.expectHolders(t, "before the partition", members)
		n.sides = map[string]int{}
		for address, table := range n.tables {
			n.sides[address] = len(strings.TrimPrefix(table.self.Zone, "zone-1")) // one zone, with a seed, and the others
		}
		n.run(t, restartAt)
		n.expectHolders(t, "in the partition", members)
		for _, address := range slices.Sorted(maps.Keys(n.tables)) {
			if table := n.tables[address]; !slices.Contains(table.seeds, address) {
				n.start(table.self, table.seeds, n.started.Add(restartAt))
			}
		}
		n.run(t, restartAt+joinTime)
		n.expectHolders(t, "after all but the seeds have restarted in the partition", members)
		n.run(t, healAt)
		n.sides = nil
		n.run(t, healAt+joinTime)
		n.expectHolders(t, "after the partition", members)
	}
}

// A member that is gone for good holds its share for deadRetention; members that start and tell
// each other of it must not keep it for longer.
func TestShareOfADeadMemberEnds(t *testing.T) {
	const members = 6
	n := newNetwork(members, 0, 1)
	n.run(t, 4*time.Second)
	addresses := slices.Sorted(maps.Keys(n.tables))
	n.stopped[addresses[members-1]] = true
	n.run(t, 20*time.Second)
	n.expectHolders(t, "soon after the death", members)
	for at := time.Minute; at < deadRetention; at += time.Minute {
		restarted := n.tables[addresses[int(at/time.Minute)%(members-1)]]
		n.start(restarted.self, restarted.seeds, n.started.Add(at))
		n.run(t, at+30*time.Second)
		n.expectHolders(t, "after a restart of another member", members)
	}
	n.run(t, deadRetention+30*time.Second)
	n.expectHolders(t, "after the retention", members-1)
}

// A member that has announced to drain ends by itself, and one without callers' address takes no
// part. What the one that has drained used of a bound counts for a while.
func TestDrainedMembersHoldNoShare(t *testing.T) {
	retention := uint32(drainedRetention.Milliseconds())
	if i := (Instance{CallerAddress: "a", Draining: true, State: Dead, DeadMillis: retention}); i.holdsShare() {
		t.Errorf("%+v holds a share", i)
	}
	for _, i := range []Instance{{CallerAddress: "a", Draining: true}, {CallerAddress: "a", Draining: true, State: Dead, DeadMillis: retention - 1}} {
		if !i.holdsShare() {
			t.Errorf("%+v holds no share", i)
		}
	}
	for _, i := range []Instance{{CallerAddress: "a", State: Dead}, {CallerAddress: "a", Isolated: true}, {CallerAddress: "a", Partitioned: true}} {
		if !i.holdsShare() {
			t.Errorf("%+v holds no share", i)
		}
	}
	if (&Instance{}).holdsShare() {
		t.Error("an instance without callers holds a share")
	}
}

// Instances that had drained and ended held no share from then on: the others divided the slack of
// the retry budget anew in the window in which those had used their parts.
func TestDrainedMembersHoldTheirSharesForAWindow(t *testing.T) {
	const members, drained = 6, 3
	n := newNetwork(members, 0, 1)
	n.run(t, 4*time.Second)
	addresses := slices.Sorted(maps.Keys(n.tables))
	for _, a := range addresses[members-drained:] {
		n.tables[a].SetFlags(n.started.Add(4*time.Second), Flags{Draining: true})
	}
	n.run(t, 6*time.Second)
	for _, a := range addresses[members-drained:] {
		n.stopped[a] = true
	}
	n.run(t, 6*time.Second+drainedRetention)
	n.expectHolders(t, "soon after the drained ones have ended", members)
	n.run(t, 10*time.Second+drainedRetention)
	n.expectHolders(t, "later", members-drained)
}
