package routing

import (
	"slices"
	"strings"
)

// Table answers look-ups in one declaration. It is immutable and safe for
// concurrent use.
type Table struct {
	declaration *Declaration
	byHost      map[string]map[string]*Route
	byKey       map[string]*Customer
	pools       map[string]*Pool
}

// NewTable indexes a checked declaration, which must not change afterwards.
func NewTable(d *Declaration) *Table {
	t := &Table{declaration: d, byHost: map[string]map[string]*Route{}, byKey: map[string]*Customer{}, pools: map[string]*Pool{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		prefixes := t.byHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			t.byHost[r.Host] = prefixes
		}
		prefixes[r.PathPrefix] = r
	}
	for i := range d.Customers {
		c := &d.Customers[i]
		for _, k := range c.Keys {
			t.byKey[k] = c
		}
	}
	for i := range d.Pools {
		t.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	return t
}

// Version returns the declaration's version.
func (t *Table) Version() uint64 { return t.declaration.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.declaration.Limits }

// HasCustomers reports whether keys are asked for at all.
func (t *Table) HasCustomers() bool { return len(t.declaration.Customers) > 0 }

// Route returns the route of the host with the longest prefix of the path, or
// nil. Prefixes end with a slash, so only these places of the path are tried.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.byHost[host]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Customer returns the customer that holds a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.byKey[key] }

// Pools lists the pools. Read only.
func (t *Table) Pools() []Pool { return t.declaration.Pools }

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// LowestTier returns the rank of the least urgent prompts that a pool gets.
func (t *Table) LowestTier(pool string) int {
	lowest := 0
	for _, r := range t.declaration.Routes {
		gets := slices.ContainsFunc(r.Targets, func(x Target) bool { return x.Pool == pool })
		if r.PromptAware && gets {
			lowest = max(lowest, r.Tier)
		}
	}
	return lowest
}

// Pick returns the pool for one call; random is uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(random * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Priority ranks a call for waiting and preemption: 0 is the most urgent. The
// route's tier goes first, so that a higher tier is never preempted for a lower
// one; the customer's rank orders the calls of equal tiers. customer may be nil.
func (r *Route) Priority(c *Customer) int {
	rank := 0
	if c != nil {
		rank = min(max(0, c.Rank), ranksPerTier-1)
	}
	return min(LowestPriority, max(0, r.Tier)*ranksPerTier+rank)
}

const (
	// ranksPerTier is how many ranks of customers are told apart in one tier.
	ranksPerTier = 3
	// LowestPriority is the last of the ten levels that engines tell apart.
	LowestPriority = 9
)
