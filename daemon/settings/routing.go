package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
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
	RetryRatio Text `toml:"retry_ratio"`
	// RetrySlack is how many repeated attempts all instances may make besides in
	// RetryWindow. Default 10.
	RetrySlack Text `toml:"retry_slack"`
	// RetryWindow is the span of time that both hold for. Default 10 s.
	RetryWindow Text `toml:"retry_window"`
}

// Defaults of Routing.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 10
	DefaultRetryWindow = 10 * time.Second
)

// mostName bounds a name that a platform gives, in bytes.
const mostName = 255

// platformName reports whether a platform's name can be used: it is only compared
// and logged.
func platformName(name string) bool {
	return name != "" && len(name) <= mostName && !strings.ContainsFunc(name, unicode.IsControl)
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
	c.require(platformName(s.Instance.Name), "instance.name", fmt.Sprintf("is required: up to %d bytes of text", mostName))
	c.require(platformName(s.Instance.AvailabilityZone), "instance.availability_zone", "is required: the zone this instance stands in")
	s.checkFrames(c)
	c.optionalAddress("callers.address", s.Callers.Address)
	c.require(s.Callers.AddressTTL.D() >= 100*time.Millisecond, "callers.address_ttl", "must be at least 100ms")
	r := &s.Routing
	c.optionalAddress("routing.readiness_address", r.ReadinessAddress)
	c.optionalAddress("routing.control_address", r.ControlAddress)
	c.optionalAddress("routing.directory_address", r.DirectoryAddress)
	c.optionalAddress("metrics.address", s.Metrics.Address)
	c.require(r.ControlAddress == "" || s.Instance.DataFolder != "", "routing.control_address", "needs instance.data_folder")
	s.checkDuties(c)
	s.checkLog(c)
	return c.list
}

func (c *checker) optionalAddress(key, a string) {
	if a != "" {
		c.address(key, a)
	}
}
