package routing

import (
	"slices"
	"strings"
)

// Table is an index over one declaration. It is immutable and safe for concurrent use.
type Table struct {
	declaration *Declaration
	byHost      map[string]map[string]*Route
	byKey       map[string]*Customer
	pools       map[string]*Pool
}

// NewTable indexes a valid declaration, which must not be modified afterwards.
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

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.declaration.Limits }

// HasCustomers reports whether any customers, and so any keys, are declared.
func (t *Table) HasCustomers() bool { return len(t.declaration.Customers) > 0 }

// Route returns the host's route with the longest matching path prefix, or nil. Prefixes
// end with a slash, so only prefixes of the path up to a slash are looked up.
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

// Customer returns the customer with the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.byKey[key] }

// Pools returns the pools. The slice is read-only.
func (t *Table) Pools() []Pool { return t.declaration.Pools }

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// LowestTier returns the lowest priority tier (the highest number) of the prompt-aware
// routes to a pool.
func (t *Table) LowestTier(pool string) int {
	lowest := 0
	for _, r := range t.declaration.Routes {
		receives := slices.ContainsFunc(r.Targets, func(x Target) bool { return x.Pool == pool })
		if r.PromptAware && receives {
			lowest = max(lowest, r.Tier)
		}
	}
	return lowest
}

// Pick selects the pool for one call by weight; random is uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	offset := int(random * float64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Pool
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Priority returns a call's priority for queueing and preemption; 0 is the highest. The
// route's tier takes precedence, so that a call of a higher tier is never preempted for
// one of a lower tier; the customer's rank orders calls within a tier. c may be nil.
func (r *Route) Priority(c *Customer) int {
	rank := 0
	if c != nil {
		rank = min(max(0, c.Rank), ranksPerTier-1)
	}
	return min(LowestPriority, max(0, r.Tier)*ranksPerTier+rank)
}

const (
	// ranksPerTier is the number of customer ranks distinguished within a tier.
	ranksPerTier = 3
	// LowestPriority is the last of the ten priority levels that engines support.
	LowestPriority = 9
)
