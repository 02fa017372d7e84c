package balance

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// longCall returns a long prompt with a shared part.
func longCall(part string) Call {
	return Call{Tokens: 9200, Unshared: 2900, MaxOutput: 60, Target: 800 * time.Millisecond, Gap: 500 * time.Millisecond, AffinityKey: part}
}

// poolWithCacheView returns a pool whose parts have been tracked for long enough, and
// the current time.
func poolWithCacheView() (*Balancer, []fleet.Server, time.Time) {
	b, list := pool12()
	b.SumTo(t0, "other")
	return b, list, t0.Add(2 * cacheViewDelay)
}

// When the home server of a part is backlogged, another instance places the part
// elsewhere. Calls with the part must follow once that use is reported.
func TestCallsFollowPartPlacedByPeer(t *testing.T) {
	a, list := pool12()
	b := New("b", 1)
	b.SetFleet(list)
	b.SetEngines("p", 500_000, 0)
	c := longCall("s")
	home, _ := a.Choose(t0, "p", c, nil, fixedRandom)
	elsewhere, _ := a.Choose(t0, "p", c, func(id string) bool { return id == home.ID }, fixedRandom)
	ticket := a.Start(t0, elsewhere.ID, c)
	a.RecordFirstEvent(t0.Add(100*time.Millisecond), &ticket)
	a.End(ticket)
	now := t0.Add(200 * time.Millisecond)
	if got, _ := b.Choose(now, "p", c, nil, fixedRandom); got.ID != home.ID {
		t.Fatalf("before the report, another instance selects %s, not the home server %s", got.ID, home.ID)
	}
	sendSum(now, a, b)
	if got, _ := b.Choose(now, "p", c, nil, fixedRandom); got.ID != elsewhere.ID {
		t.Errorf("the part is cached on %s, the call was placed on %s", elsewhere.ID, got.ID)
	}
}

// While no server has the parts of a burst cached, the backlog must include them in
// full; further calls with the same part add only their own tokens.
func TestFirstUseOfPartCountsInFull(t *testing.T) {
	b, list, now := poolWithCacheView()
	c := longCall("s")
	s, _ := b.Choose(now, "p", c, nil, fixedRandom)
	first := b.Start(now, s.ID, c)
	second := b.Start(now, s.ID, c)
	if first.load.PendingPromptTokens != c.Tokens || second.load.PendingPromptTokens != c.Unshared {
		t.Errorf("unread tokens are %d and %d, want %d and %d", first.load.PendingPromptTokens, second.load.PendingPromptTokens, c.Tokens, c.Unshared)
	}
	b.SetFleet(append([]fleet.Server{{ID: s.ID + "@2", Name: s.ID, StartedAt: 2, Pool: "p", Slots: 64}}, list[:3]...))
	again := b.Start(now, s.ID+"@2", c)
	if again.load.PendingPromptTokens != c.Tokens {
		t.Errorf("a restarted engine is assumed to have the part cached: %d unread", again.load.PendingPromptTokens)
	}
}

func TestPartsExpire(t *testing.T) {
	b, _, now := poolWithCacheView()
	c := longCall("s")
	s, _ := b.Choose(now, "p", c, nil, fixedRandom)
	b.Start(now, s.ID, c)
	now = now.Add(2 * maxCacheLifetime)
	b.Choose(now, "p", c, nil, fixedRandom)
	if ticket := b.Start(now, s.ID, c); ticket.load.PendingPromptTokens != c.Tokens {
		t.Errorf("a part that was not used for %v counts as cached", 2*maxCacheLifetime)
	}
}

func TestTrackedPartsAreBounded(t *testing.T) {
	var p partCache
	for i := range 3 * maxTrackedParts {
		p.recordUse(t0, keyOf(fmt.Sprint(i)))
	}
	if len(p.used) > maxTrackedParts {
		t.Errorf("%d parts are tracked for one server", len(p.used))
	}
}

// With two parts in a chain, a server that has only the first cached must process the
// second, and one that has only the second cached must process both.
func TestPartNeedsAllEarlierParts(t *testing.T) {
	var p partCache
	chain := []hashedPart{{keyOf("common"), 2500}, {keyOf("own"), 3800}}
	if got := p.missing(t0, chain, time.Minute); got != 6300 {
		t.Errorf("nothing is cached: %d missing", got)
	}
	p.recordUse(t0, keyOf("own"))
	if got := p.missing(t0, chain, time.Minute); got != 6300 {
		t.Errorf("the first part is not cached: %d missing", got)
	}
	p.recordUse(t0, keyOf("common"))
	if got := p.missing(t0, chain, time.Minute); got != 0 {
		t.Errorf("both are cached: %d missing", got)
	}
	var first partCache
	first.recordUse(t0, keyOf("common"))
	if got := first.missing(t0, chain, time.Minute); got != 3800 {
		t.Errorf("only the first part is cached: %d missing", got)
	}
}

// While the long side has no spare prefill capacity, a long prompt must wait for a
// server that has its parts cached, however long that server's backlog is.
func TestLongPromptsStayWithCacheUnderLoad(t *testing.T) {
	b, _, now := poolWithCacheView()
	cached := longCall("kept")
	first, _ := b.Choose(now, "p", cached, nil, fixedRandom)
	b.Start(now, first.ID, cached)
	for i := range 300 {
		c := longCall(fmt.Sprint(i))
		now = now.Add(3 * time.Millisecond)
		b.RecordArrival(now, "p", c)
		s, _ := b.Choose(now, "p", c, nil, fixedRandom)
		b.Start(now, s.ID, c)
	}
	if b.pool("p").longLoad < busyUtilization {
		t.Fatalf("the long side's load is only %.2f", b.pool("p").longLoad)
	}
	if got, _ := b.Choose(now, "p", cached, nil, fixedRandom); got.ID != first.ID {
		t.Errorf("the part is cached on %s, the call was placed on %s", first.ID, got.ID)
	}
}
