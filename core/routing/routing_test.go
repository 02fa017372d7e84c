package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func declaration() *Declaration {
	return &Declaration{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Targets: []Target{{"plain", 1}}},
			{Name: "chat", Host: "a.example", PathPrefix: "/chat/", Timeout: time.Second, Targets: []Target{{"engines", 90}, {"plain", 10}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/chat/deep/", Timeout: time.Second, Targets: []Target{{"engines", 1}}},
		},
		Pools:     []Pool{{Name: "plain", MaxConnections: 10}, {Name: "engines", Engine: &Engine{Slots: 64}}},
		Customers: []Customer{{Name: "x", Keys: []string{"k1", "k2"}, Rank: 1}, {Name: "y", Keys: []string{"k3"}}},
	}
}

func TestCheckRejectsInvalidDeclarations(t *testing.T) {
	cases := map[string]func(*Declaration){
		"no version":      func(d *Declaration) { d.Version = 0 },
		"unknown pool":    func(d *Declaration) { d.Routes[0].Targets[0].Pool = "none" },
		"duplicate route": func(d *Declaration) { d.Routes[1].PathPrefix = "/" },
		"no weight":       func(d *Declaration) { d.Routes[0].Targets[0].Weight = 0 },
		"negative weight": func(d *Declaration) { d.Routes[1].Targets[1].Weight = -5 },
		"no target":       func(d *Declaration) { d.Routes[0].Targets = nil },
		"no timeout":      func(d *Declaration) { d.Routes[2].Timeout = 0 },
		"shared key":      func(d *Declaration) { d.Customers[1].Keys = []string{"k1"} },
	}
	for name, invalidate := range cases {
		d := declaration()
		if err := d.Check(); err != nil {
			t.Fatalf("a valid declaration is rejected: %v", err)
		}
		invalidate(d)
		var invalid *InvalidError
		if err := d.Check(); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v, want an InvalidError", name, err)
		}
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(declaration())
	for path, want := range map[string]string{"/": "all", "/x": "all", "/chat": "all", "/chat/": "chat", "/chat/1/2": "chat",
		"/chat/deep/": "deep", "/chat/deep/x": "deep", "/chat/deepest": "chat"} {
		if got := table.Route("a.example", path); got == nil || got.Name != want {
			t.Errorf("%s: got %v, want %s", path, got, want)
		}
	}
	if table.Route("b.example", "/") != nil || table.Route("a.example", "") != nil {
		t.Error("a route was found for an unknown host or an empty path")
	}
}

func TestCustomersByKey(t *testing.T) {
	table := NewTable(declaration())
	if c := table.Customer("k2"); c == nil || c.Name != "x" {
		t.Errorf("k2 belongs to %v", c)
	}
	if table.Customer("") != nil || table.Customer("k") != nil {
		t.Error("an unknown key belongs to a customer")
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := declaration().Routes[1]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	if counts["engines"] != 900 || counts["plain"] != 100 {
		t.Errorf("picked %v, want 900 and 100", counts)
	}
}

// A call of a higher tier has priority over one of a lower tier, regardless of the ranks
// of their customers.
func TestTierTakesPrecedenceOverRank(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("tier first", prop.ForAll(func(tierA, tierB, rankA, rankB int) bool {
		a := (&Route{Tier: tierA}).Priority(&Customer{Rank: rankA})
		b := (&Route{Tier: tierB}).Priority(&Customer{Rank: rankB})
		return tierA >= tierB || a < b
	}, gen.IntRange(0, 3), gen.IntRange(0, 3), gen.IntRange(0, 9), gen.IntRange(0, 9)))
	p.TestingRun(t)
}

func TestEncodingRoundTrip(t *testing.T) {
	data, err := declaration().Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := got.Encode()
	if err != nil || string(again) != string(data) {
		t.Errorf("the encoding changed after a round trip: %v", err)
	}
}

func TestRetryableCalls(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{{Route{}, false}, {Route{Semantics: Idempotent}, true}, {Route{Semantics: Stream}, false}, {Route{Semantics: Stream, Resumable: true}, true}, {Route{Resumable: true}, false}} {
		if got := c.route.Retryable(); got != c.want {
			t.Errorf("%v resumable %v: retryable %v", c.route.Semantics, c.route.Resumable, got)
		}
	}
}

// Only prompt-aware routes count; other routes to the same pool may have a lower tier.
func TestLowestTierCountsOnlyPromptAwareRoutes(t *testing.T) {
	to := func(pool string) []Target { return []Target{{Pool: pool, Weight: 1}} }
	table := NewTable(&Declaration{Routes: []Route{
		{Name: "chat", PathPrefix: "/a/", Tier: 0, PromptAware: true, Targets: to("llm")},
		{Name: "digest", PathPrefix: "/b/", Tier: 2, PromptAware: true, Targets: to("llm")},
		{Name: "probe", PathPrefix: "/c/", Tier: 7, Targets: to("llm")},
		{Name: "elsewhere", PathPrefix: "/d/", Tier: 5, PromptAware: true, Targets: to("other")},
	}})
	if got := table.LowestTier("llm"); got != 2 {
		t.Errorf("got tier %d, want 2", got)
	}
}
