package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Provider configures the calls to the API of the infrastructure provider.
type Provider struct {
	// Address is the address of the API; host:port. Empty for none.
	Address string `toml:"address"`
	// Duties lists the duties that the provider requests, by its own names, separated by
	// commas.
	Duties string `toml:"duties"`
	// Exclusive is the time within which no two instances may act alternately on one duty.
	// Default 3 s.
	Exclusive Text `toml:"exclusive"`
	// CallsPerSecond is the rate limit for all instances together. Default 20.
	CallsPerSecond Text `toml:"calls_per_second"`
}

// Usage configures the counting of runs per customer.
type Usage struct {
	// Record counts runs and stores the counts in windows. Default true.
	Record *bool `toml:"record"`
	// Report sends windows to a provider that requests them. Default true.
	Report *bool `toml:"report"`
	// Window is the length of a window. Default 1 min.
	Window Text `toml:"window"`
	// Within is the time after its end in which a window must be reported. Default two
	// windows.
	Within Text `toml:"within"`
	// Keep is how long recorded windows are kept, at most 100,000 counts. Default 1 h.
	Keep Text `toml:"keep"`
}

// Capacity configures the ordering of backend servers, where a declaration allows it.
type Capacity struct {
	// Order enables it. Default true.
	Order *bool `toml:"order"`
	// Reserve is the ratio of present to needed servers to keep when a zone loses all of its
	// reclaimable servers. Default 1.
	Reserve Text `toml:"reserve"`
	// RegularShare is the share of the needed servers that must not be reclaimable.
	// Default 0.
	RegularShare Text `toml:"regular_share"`
	// MostPrice bounds the concurrent cost of all servers of a pool, in units of a regular
	// server in a zone with price 1. Default 0: no bound.
	MostPrice Text `toml:"most_price"`
}

// ProviderTuning holds the parsed tuning settings of Provider.
type ProviderTuning struct {
	// Exclusive is the time within which no two holders may act alternately on one duty.
	Exclusive      time.Duration
	CallsPerSecond float64
}

// UsageTuning holds the parsed tuning settings of Usage.
type UsageTuning struct{ Window, Within, Keep time.Duration }

// CapacityTuning holds the parsed tuning settings of Capacity.
type CapacityTuning struct{ Reserve, RegularShare, MaxPrice float64 }

// Defaults of the duties.
const (
	DefaultExclusive      = 3 * time.Second
	DefaultCallsPerSecond = 20
	DefaultUsageWindow    = time.Minute
	DefaultUsageKeep      = time.Hour
	DefaultReserve        = 1
	DefaultRegularShare   = 0
)

// Bounds of the duties' settings.
const (
	// minExclusive leaves enough time to renew a lease through the log.
	minExclusive      = time.Second
	maxCallsPerSecond = 1000
	// minWindow is a few report intervals of an instance.
	minWindow  = 2 * time.Second
	maxReserve = 10
	maxPrice   = 1e6
	// defaultWithinWindows is the default of Usage.Within in windows.
	defaultWithinWindows = 2
)

// parseDutyTuning parses the tuning settings of the duties.
func (s *Settings) parseDutyTuning(p *tuningParser) {
	t := &s.tuning
	t.Provider.Exclusive = p.time("provider.exclusive", s.Provider.Exclusive, DefaultExclusive, minExclusive)
	t.Provider.CallsPerSecond = max(1, p.number("provider.calls_per_second", s.Provider.CallsPerSecond, DefaultCallsPerSecond, maxCallsPerSecond))
	t.Usage.Window = p.time("usage.window", s.Usage.Window, DefaultUsageWindow, minWindow)
	t.Usage.Within = p.time("usage.within", s.Usage.Within, defaultWithinWindows*t.Usage.Window, minWindow)
	t.Usage.Keep = p.time("usage.keep", s.Usage.Keep, DefaultUsageKeep, minWindow)
	t.Capacity.Reserve = max(1, p.number("capacity.reserve", s.Capacity.Reserve, DefaultReserve, maxReserve))
	t.Capacity.RegularShare = p.number("capacity.regular_share", s.Capacity.RegularShare, DefaultRegularShare, 1)
	t.Capacity.MaxPrice = p.number("capacity.most_price", s.Capacity.MostPrice, 0, maxPrice)
}

// DutyNames returns the provider's names of the duties that it requests.
func (p *Provider) DutyNames() []string {
	var out []string
	for w := range strings.SplitSeq(p.Duties, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// Enabled reports whether an optional setting is enabled, which is the default.
func Enabled(b *bool) bool { return b == nil || *b }

func (s *Settings) checkDuties(c *checker) {
	_, _, err := net.SplitHostPort(s.Provider.Address)
	c.require(s.Provider.Address == "" || err == nil, "provider.address", fmt.Sprintf("%q is not a host with a port, for example \"10.0.0.7:8424\"", s.Provider.Address))
	c.require(s.Provider.Duties == "" || s.Provider.Address != "", "provider.address", "is required with provider.duties")
}
