package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testport"
)

func TestDeclarationIsInForceAtEntriesAndReadBackAnywhere(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	entry := c.start("e0", testport.Reserve(t), "", false)
	if entry.ready() {
		t.Error("an entry without a declaration is ready")
	}
	for version := uint64(3); version < 9; version += 2 {
		c.declare(group[version%3], version)
		c.waitUntil("the declaration is in force", propagationLimit, func() bool { tb := entry.watch.Table(); return tb != nil && tb.Version() == version })
		for _, m := range group {
			c.expectSource(m, version)
		}
	}
	c.declare(group[0], 2) // an older version is acknowledged without effect
	c.expectSource(group[1], 7)
	if !entry.ready() || entry.watch.Table().Version() != 7 {
		t.Errorf("the entry has version %d, ready %v", entry.watch.Table().Version(), entry.ready())
	}
}

// replacementLimit is the time within which a new replica must replace a lost one. After
// that, the group must tolerate the loss of another.
const replacementLimit = 4 * time.Second

// A new replica at another address replaces one that is permanently lost, and the group then
// tolerates the loss of another.
func TestEmptyReplicaReplacesALostOne(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	group[2].kill()
	fresh := c.start("r9", testport.Reserve(t), t.TempDir(), false)
	c.declare(group[0], 2)
	c.waitUntil("the new replica has the declaration", 15*time.Second, func() bool {
		v, _ := fresh.replica.View()
		return v.Routing.Declared.Version == 2
	})
	c.waitUntil("the lost replica is removed and the new one is a member", replacementLimit, func() bool {
		v, _ := group[0].replica.View()
		return len(v.Members) == 3 && !slices.Contains(v.Members, group[2].peer) && slices.Contains(v.Members, fresh.peer) && memberCount(fresh) == 3
	})
	time.Sleep(500 * time.Millisecond)
	group[1].kill()
	c.declare(fresh, 5)
	c.expectSource(group[0], 5)
}

// A replica that lost its disk restarts empty at its former address. It must not count as
// the former member, whose votes and log entries it no longer has.
func TestReplicaThatLostItsDiskJoinsAsANewMember(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	c.declare(group[0], 1)
	group[1].kill()
	back := c.start("r1", group[1].peer, t.TempDir(), false)
	c.waitUntil("the replica is a member again", 15*time.Second, func() bool {
		v, _ := back.replica.View()
		return v.Ready && len(v.Members) == 3 && v.Routing.Declared.Version == 1
	})
	c.declare(back, 2)
	c.expectSource(group[2], 2)
}

func TestRestartedGroupKeepsAcknowledgedDeclarations(t *testing.T) {
	c := newCluster(t)
	group := c.startReplicas()
	for version := uint64(1); version <= 40; version++ {
		c.declare(group[version%3], version)
	}
	for _, m := range group {
		m.kill()
	}
	var again []*member
	for i, m := range group {
		again = append(again, c.start(fmt.Sprint("r", i), m.peer, m.folder, false))
	}
	for _, m := range again {
		c.expectSource(m, 40)
	}
}
