package settings

import (
	"net/netip"
	"time"

	"cardamomwick.example/core/bundle"
)

// Routing makes the instance serve declared routes.
type Routing struct {
	// Enabled switches it on. Default false.
	Enabled bool `toml:"enabled"`
	// ReadinessAddress answers whether callers.address takes calls; IP:port.
	// Empty for none.
	ReadinessAddress string `toml:"readiness_address"`
	// ControlAddress is for operators and backend servers; IP:port. Needs a data
	// folder. Empty for none.
	ControlAddress string `toml:"control_address"`
	// DirectoryAddress tells callers where to connect; IP:port. Empty for none.
	DirectoryAddress string `toml:"directory_address"`
	// RetryRatio is how many repeated attempts one call to a pool earns, over all
	// instances. Default 0.1.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetrySlack is how many repeated attempts all instances may make besides in
	// RetryWindow. Default 10.
	RetrySlack float64 `toml:"retry_slack"`
	// RetryWindow is the span of time that both hold for. Default 10 s.
	RetryWindow bundle.Duration `toml:"retry_window"`
}

// Defaults of Routing.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 10
	DefaultRetryWindow = 10 * time.Second
)

func (r *Routing) fillDefaults() {
	if r.RetryWindow == 0 {
		r.RetryWindow = bundle.Duration(DefaultRetryWindow)
		r.RetryRatio = DefaultRetryRatio
		r.RetrySlack = DefaultRetrySlack
	}
}

// SeedAddresses returns the seeds' peer addresses.
func (p *Peers) SeedAddresses() []string {
	out := make([]string, 0, len(p.Seeds))
	for _, s := range p.Seeds {
		ap, err := netip.ParseAddrPort(s)
		if err == nil && p.SeedPort != 0 {
			s = netip.AddrPortFrom(ap.Addr(), p.SeedPort).String()
		}
		out = append(out, s)
	}
	return out
}

// checkRouted checks the settings of an instance that serves declared routes.
func (s *Settings) checkRouted() []Problem {
	c := &checker{}
	c.require(nameRE.MatchString(s.Instance.Name), "instance.name", "is required: lower-case letters, digits, '-', '_', '.'")
	c.require(nameRE.MatchString(s.Instance.AvailabilityZone), "instance.availability_zone", "is required: the zone this instance stands in")
	s.checkFrames(c)
	c.optionalAddress("callers.address", s.Callers.Address)
	c.require(s.Callers.AddressTTL.D() >= 100*time.Millisecond, "callers.address_ttl", "must be at least 100ms")
	c.require(s.Callers.DrainTimeout > 0, "callers.drain_timeout", "must be above 0")
	r := &s.Routing
	c.optionalAddress("routing.readiness_address", r.ReadinessAddress)
	c.optionalAddress("routing.control_address", r.ControlAddress)
	c.optionalAddress("routing.directory_address", r.DirectoryAddress)
	c.optionalAddress("metrics.address", s.Metrics.Address)
	c.require(r.ControlAddress == "" || s.Instance.DataFolder != "", "routing.control_address", "needs instance.data_folder")
	c.require(r.RetryRatio >= 0 && r.RetryRatio <= 1, "routing.retry_ratio", "must be 0 to 1")
	c.require(r.RetrySlack >= 0, "routing.retry_slack", "must be at least 0")
	c.require(r.RetryWindow.D() >= time.Second, "routing.retry_window", "must be at least 1s")
	s.checkLog(c)
	return c.list
}

func (c *checker) optionalAddress(key, a string) {
	if a != "" {
		c.address(key, a)
	}
}
