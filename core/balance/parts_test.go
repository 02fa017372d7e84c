package balance

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// longCall is a long prompt with a shared part.
func longCall(part string) Call {
	return Call{Tokens: 9200, Unshared: 2900, MaxOutput: 60, Target: 800 * time.Millisecond, Gap: 500 * time.Millisecond, Home: part}
}

// seasoned is a pool whose parts have been followed for long enough, and the time then.
func seasoned() (*Balancer, []fleet.Server, time.Time) {
	b, list := pool12()
	b.SumTo(t0, "other")
	return b, list, t0.Add(2 * seasonTime)
}

// Another instance gave a part to an engine that is not its home, when the home was
// behind. A call with the part follows it there, as soon as that was told.
func TestCallsFollowAPartThatOthersPlaced(t *testing.T) {
	a, list := pool12()
	b := New("b", 1)
	b.SetFleet(list)
	b.SetEngines("p", 500_000, 0)
	c := longCall("s")
	home, _ := a.Choose(t0, "p", c, nil, middle)
	elsewhere, _ := a.Choose(t0, "p", c, func(id string) bool { return id == home.ID }, middle)
	ticket := a.Start(t0, elsewhere.ID, c)
	a.Began(t0.Add(100*time.Millisecond), &ticket)
	a.End(ticket)
	now := t0.Add(200 * time.Millisecond)
	if got, _ := b.Choose(now, "p", c, nil, middle); got.ID != home.ID {
		t.Fatalf("before it was told, another instance takes %s, not the home %s", got.ID, home.ID)
	}
	tell(now, a, b)
	if got, _ := b.Choose(now, "p", c, nil, middle); got.ID != elsewhere.ID {
		t.Errorf("the part is at %s, and the call goes to %s", elsewhere.ID, got.ID)
	}
}

// Nobody has read the parts of a burst yet: what waits must count whole, and the
// next calls with a part only their own tokens.
func TestFirstUseOfAPartCountsWhole(t *testing.T) {
	b, list, now := seasoned()
	c := longCall("s")
	s, _ := b.Choose(now, "p", c, nil, middle)
	first := b.Start(now, s.ID, c)
	second := b.Start(now, s.ID, c)
	if first.load.PendingPromptTokens != c.Tokens || second.load.PendingPromptTokens != c.Unshared {
		t.Errorf("pending prompt tokens are %d and %d, want %d and %d", first.load.PendingPromptTokens, second.load.PendingPromptTokens, c.Tokens, c.Unshared)
	}
	b.SetFleet(append([]fleet.Server{{ID: s.ID + "@2", Name: s.ID, StartedAt: 2, Pool: "p", Slots: 64}}, list[:3]...))
	again := b.Start(now, s.ID+"@2", c)
	if again.load.PendingPromptTokens != c.Tokens {
		t.Errorf("an engine that has started again is taken to keep the part: %d pending prompt tokens", again.load.PendingPromptTokens)
	}
}

func TestPartsAreForgottenInTime(t *testing.T) {
	b, _, now := seasoned()
	c := longCall("s")
	s, _ := b.Choose(now, "p", c, nil, middle)
	b.Start(now, s.ID, c)
	now = now.Add(2 * mostHeld)
	b.Choose(now, "p", c, nil, middle)
	if ticket := b.Start(now, s.ID, c); ticket.load.PendingPromptTokens != c.Tokens {
		t.Errorf("a part that was not used for %v counts as kept", 2*mostHeld)
	}
}

func TestFollowedPartsAreBounded(t *testing.T) {
	var p parts
	for i := range 3 * keptParts {
		p.use(t0, keyOf(fmt.Sprint(i)))
	}
	if len(p.used) > keptParts {
		t.Errorf("%d parts are followed at one server", len(p.used))
	}
}

// Two parts in a row: a server that keeps only the first one has to read the second,
// and one that keeps only the second has to read both.
func TestPartsCountOnlyBehindThoseBefore(t *testing.T) {
	var p parts
	chain := []keyedPart{{keyOf("common"), 2500}, {keyOf("own"), 3800}}
	if got := p.missing(t0, chain, time.Minute); got != 6300 {
		t.Errorf("nothing is kept: %d missing", got)
	}
	p.use(t0, keyOf("own"))
	if got := p.missing(t0, chain, time.Minute); got != 6300 {
		t.Errorf("the first part is not kept: %d missing", got)
	}
	p.use(t0, keyOf("common"))
	if got := p.missing(t0, chain, time.Minute); got != 0 {
		t.Errorf("both are kept: %d missing", got)
	}
	var first parts
	first.use(t0, keyOf("common"))
	if got := first.missing(t0, chain, time.Minute); got != 3800 {
		t.Errorf("only the first part is kept: %d missing", got)
	}
}

// While the long side has no reading to spare, a long prompt waits where its parts
// are kept, however far behind that engine is.
func TestPartsAreNotReadAgainWhenReadingIsShort(t *testing.T) {
	b, _, now := seasoned()
	kept := longCall("kept")
	first, _ := b.Choose(now, "p", kept, nil, middle)
	b.Start(now, first.ID, kept)
	for i := range 300 {
		c := longCall(fmt.Sprint(i))
		now = now.Add(3 * time.Millisecond)
		b.Arrive(now, "p", c)
		s, _ := b.Choose(now, "p", c, nil, middle)
		b.Start(now, s.ID, c)
	}
	if b.pool("p").use < busyUse {
		t.Fatalf("the use is %.2f only", b.pool("p").use)
	}
	if got, _ := b.Choose(now, "p", kept, nil, middle); got.ID != first.ID {
		t.Errorf("the part is kept at %s, and the call goes to %s", first.ID, got.ID)
	}
}
