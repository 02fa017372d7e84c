package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// group runs tables on a fake clock with cut instances.
type group struct {
	now    time.Time
	tables map[string]*Table
	cut    map[string]bool
	sent   int
}

func newGroup(n int) *group {
	g := &group{now: time.Unix(1_800_000_000, 0), tables: map[string]*Table{}, cut: map[string]bool{}}
	rnd := rand.New(rand.NewSource(1))
	for k := range n {
		a := fmt.Sprintf("a%d", k)
		g.tables[a] = New(Instance{Name: a, PeerAddress: a, Process: "p"}, []string{"a0", "a1"}, g.now, rnd.Intn)
	}
	return g
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(50 * time.Millisecond) {
		for k := range len(g.tables) {
			a := fmt.Sprintf("a%d", k)
			g.deliver(a, g.tables[a].Tick(g.now))
		}
	}
}

func (g *group) deliver(from string, list []Outgoing) {
	for _, o := range list {
		g.sent++
		if t := g.tables[o.To]; t != nil && !g.cut[from] && !g.cut[o.To] {
			g.deliver(o.To, t.Handle(g.now, o.Message))
		}
	}
}

func (g *group) seen(at string) int { return len(g.tables[at].Instances()) }

func TestDetectsHealsAndRefutes(t *testing.T) {
	g := newGroup(9)
	g.run(8 * time.Second)
	for a := range g.tables {
		if g.seen(a) != 9 {
			t.Fatalf("%s sees %d of 9", a, g.seen(a))
		}
	}
	g.cut["a4"] = true
	start := g.now
	for g.seen("a0") == 9 {
		g.run(50 * time.Millisecond)
	}
	t.Logf("a lost instance was believed dead after %v", g.now.Sub(start))
	if g.now.Sub(start) > 6*time.Second {
		t.Fatal("too late")
	}
	g.run(30 * time.Second)
	g.cut["a4"] = false
	g.run(20 * time.Second)
	for a := range g.tables {
		if g.seen(a) != 9 {
			t.Fatalf("after healing %s sees %d of 9", a, g.seen(a))
		}
	}
}

// TestLevelLoad: messages per instance and second do not grow with the group.
func TestLevelLoad(t *testing.T) {
	rate := func(n int) float64 {
		g := newGroup(n)
		g.run(20 * time.Second)
		g.sent = 0
		g.run(20 * time.Second)
		return float64(g.sent) / 20 / float64(n)
	}
	small, large := rate(9), rate(120)
	t.Logf("messages per instance and second: %.1f with 9, %.1f with 120", small, large)
	if large > 1.5*small {
		t.Fatal("the load grows with the group")
	}
}

func TestRankMovesOnlyWhatWasLost(t *testing.T) {
	var list []Instance
	for k := range 9 {
		list = append(list, Instance{Name: fmt.Sprint("i", k)})
	}
	for k := range 200 {
		key := fmt.Sprint("pool", k)
		before := Rank(key, list)
		after := Rank(key, list[1:])
		if before[0].Name != list[0].Name && before[0].Name != after[0].Name {
			t.Fatalf("%s moved from %s to %s although %s was lost", key, before[0].Name, after[0].Name, list[0].Name)
		}
	}
}

func TestFirstIsTheBeginningOfTheRanking(t *testing.T) {
	var list []Instance
	for i := range 50 {
		for k := range 20 {
			key := fmt.Sprint("key ", k)
			want := Rank(key, list)
			got := First(key, list)
			if !slices.Equal(got, want[:min(2, len(want))]) {
				t.Fatalf("of %d instances got %v, want %v", i, got, want[:min(2, len(want))])
			}
		}
		list = append(list, Instance{Name: fmt.Sprint("instance-", i)})
	}
}
