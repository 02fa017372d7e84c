package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

// Routing configures the serving of declared routes.
type Routing struct {
	// Enabled enables it. Default false.
	Enabled bool `toml:"enabled"`
	// ReadinessAddress serves the readiness of callers.address; IP:port.
	// Empty for none.
	ReadinessAddress string `toml:"readiness_address"`
	// ControlAddress serves operators and backend servers; IP:port. Requires a data
	// folder. Empty for none.
	ControlAddress string `toml:"control_address"`
	// DirectoryAddress serves the addresses that callers connect to; IP:port. Empty for
	// none.
	DirectoryAddress string `toml:"directory_address"`
	// RetryRatio is the number of retries allowed per call to a pool, over all instances.
	// Default 0.1.
	RetryRatio Text `toml:"retry_ratio"`
	// RetrySlack is the number of additional retries that all instances may make in
	// RetryWindow. Default 10.
	RetrySlack Text `toml:"retry_slack"`
	// RetryWindow is the time that RetryRatio and RetrySlack apply to. Default 10 s.
	RetryWindow Text `toml:"retry_window"`
}

// Defaults of Routing.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 10
	DefaultRetryWindow = 10 * time.Second
)

// maxNameBytes bounds a name that is assigned by a platform.
const maxNameBytes = 255

// validPlatformName reports whether a name that is assigned by a platform is valid. Such
// names are only compared and logged.
func validPlatformName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unicode.IsControl)
}

// SeedAddresses returns the peer addresses of the seeds.
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

// checkWithRouting checks the settings of an instance that serves declared routes.
func (s *Settings) checkWithRouting() []Problem {
	c := &checker{}
	c.require(validPlatformName(s.Instance.Name), "instance.name", fmt.Sprintf("is required: up to %d bytes of text", maxNameBytes))
	c.require(validPlatformName(s.Instance.AvailabilityZone), "instance.availability_zone", "is required: the zone this instance stands in")
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
