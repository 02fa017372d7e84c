package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Provider is whoever provides the machines, where it takes calls of this system.
type Provider struct {
	// Address is where it takes them; host:port. Empty for none.
	Address string `toml:"address"`
	// Duties are what it asks for and takes, in its own words, separated by commas.
	Duties string `toml:"duties"`
	// Exclusive is the time within which no two instances may act in turn on one duty.
	// Default 3 s.
	Exclusive Text `toml:"exclusive"`
	// CallsPerSecond is what it takes of all instances together. Default 20.
	CallsPerSecond Text `toml:"calls_per_second"`
}

// Usage counts runs for each customer.
type Usage struct {
	// Record counts runs and keeps them in windows. Default true.
	Record *bool `toml:"record"`
	// Report sends windows to a provider that asks for them. Default true.
	Report *bool `toml:"report"`
	// Window is the length of a window. Default 1 min.
	Window Text `toml:"window"`
	// Within is how long after its end a window must be reported. Default two windows.
	Within Text `toml:"within"`
	// Keep is how long recorded windows are kept, at most 100,000 counts. Default 1 h.
	Keep Text `toml:"keep"`
}

// Capacity orders backend servers where a declaration allows it.
type Capacity struct {
	// Order switches it on. Default true.
	Order *bool `toml:"order"`
	// Reserve is how many times the servers that are needed there should be after a zone
	// has lost all of its reclaimable ones. Default 1.
	Reserve Text `toml:"reserve"`
	// RegularShare is the part of the needed servers that may not be reclaimable. Default
	// 0.
	RegularShare Text `toml:"regular_share"`
	// MostPrice bounds what all servers of a pool cost at a time, in regular servers of a
	// zone with price 1. Default 0: no bound.
	MostPrice Text `toml:"most_price"`
}

// TunedProvider are the provider's settings that only tune.
type TunedProvider struct {
	Exclusive      time.Duration
	CallsPerSecond float64
}

// TunedUsage are the settings of usage that only tune.
type TunedUsage struct{ Window, Within, Keep time.Duration }

// TunedCapacity are the settings of capacity that only tune.
type TunedCapacity struct{ Reserve, RegularShare, MostPrice float64 }

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
	// leastExclusive is what renewals through the log need to be sure of a lease.
	leastExclusive = time.Second
	mostCalls      = 1000
	// leastWindow is a few of the times between two reports of an instance.
	leastWindow = 2 * time.Second
	mostReserve = 10
	mostPrice   = 1e6
	// usualWithin is how many windows after its end a window must be reported.
	usualWithin = 2
)

// tuneDuties resolves the settings of the duties that only tune.
func (s *Settings) tuneDuties(n *notices) {
	t := &s.tuned
	t.Provider.Exclusive = n.time("provider.exclusive", s.Provider.Exclusive, DefaultExclusive, leastExclusive)
	t.Provider.CallsPerSecond = max(1, n.number("provider.calls_per_second", s.Provider.CallsPerSecond, DefaultCallsPerSecond, mostCalls))
	t.Usage.Window = n.time("usage.window", s.Usage.Window, DefaultUsageWindow, leastWindow)
	t.Usage.Within = n.time("usage.within", s.Usage.Within, usualWithin*t.Usage.Window, leastWindow)
	t.Usage.Keep = n.time("usage.keep", s.Usage.Keep, DefaultUsageKeep, leastWindow)
	t.Capacity.Reserve = max(1, n.number("capacity.reserve", s.Capacity.Reserve, DefaultReserve, mostReserve))
	t.Capacity.RegularShare = n.number("capacity.regular_share", s.Capacity.RegularShare, DefaultRegularShare, 1)
	t.Capacity.MostPrice = n.number("capacity.most_price", s.Capacity.MostPrice, 0, mostPrice)
}

// DutyWords lists the provider's words for its duties.
func (p *Provider) DutyWords() []string {
	var out []string
	for w := range strings.SplitSeq(p.Duties, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// On reports whether a switch is on, which it is by default.
func On(b *bool) bool { return b == nil || *b }

func (s *Settings) checkDuties(c *checker) {
	_, _, err := net.SplitHostPort(s.Provider.Address)
	c.require(s.Provider.Address == "" || err == nil, "provider.address", fmt.Sprintf("%q is not a host with a port, for example \"10.0.0.7:8424\"", s.Provider.Address))
	c.require(s.Provider.Duties == "" || s.Provider.Address != "", "provider.address", "is required with provider.duties")
}
