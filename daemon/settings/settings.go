// Package settings reads a daemon's settings file (TOML). Every key is documented at its
// field. Unknown keys and invalid values are errors that name the file, the key and, if
// known, the line. Invalid tuning settings only cause warnings if routing is enabled.
package settings

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/bundle"
)

// Settings holds the contents of a daemon's settings file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Machine  Machine  `toml:"machine"`
	Callers  Callers  `toml:"callers"`
	Peers    Peers    `toml:"peers"`
	Replicas Replicas `toml:"replicas"`
	Trust    Trust    `toml:"trust"`
	Log      Log      `toml:"log"`
	Metrics  Metrics  `toml:"metrics"`
	Routing  Routing  `toml:"routing"`
	Provider Provider `toml:"provider"`
	Usage    Usage    `toml:"usage"`
	Capacity Capacity `toml:"capacity"`
	Faults   Faults   `toml:"faults"`
	// Experiment selects a baseline policy.
	Experiment Experiment `toml:"experiment"`

	tuning   Tuning
	warnings []Problem
}

// Instance identifies this daemon.
type Instance struct {
	// Name is unique among the instances. Required.
	Name string `toml:"name"`
	// AvailabilityZone is the zone that the instance runs in. Required.
	AvailabilityZone string `toml:"availability_zone"`
	// DataFolder makes the instance a replica; empty for instances without a disk.
	DataFolder string `toml:"data_folder"`
}

// Machine describes what the machine gives this process.
type Machine struct {
	// MemoryMB is the memory in MB (2^20 bytes) beyond which the process is ended. 40% of it are
	// for what clients make the process hold. Default: GOMEMLIMIT, or else the machine's memory.
	MemoryMB Text `toml:"memory_mb"`
	// MaxDescriptors is the number of files and connections that the process may have open, of which
	// clients' connections use up to half. Default: the process's limit on open files.
	MaxDescriptors Text `toml:"max_descriptors"`
}

// Callers configures the HTTP listener for callers, backend servers and operators.
type Callers struct {
	// Address is IP:port. Required.
	Address string `toml:"address"`
	// MaxBodyBytes bounds the body of a call. Default 1 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// AddressTTL is how long callers may cache a list of addresses. Default 2 s.
	AddressTTL bundle.Duration `toml:"address_ttl"`
	// DrainTimeout bounds a graceful shutdown. Default 10 min.
	DrainTimeout Text `toml:"drain_timeout"`
}

// Peers configures the frame listener for the other instances.
type Peers struct {
	// Address is IP:port. Required.
	Address string `toml:"address"`
	// Listen is the listen address, IP:port, if it differs from Address, as behind a
	// port mapping. Default: Address.
	Listen string `toml:"listen"`
	// Seeds are peer addresses through which other instances are discovered. Required.
	Seeds []string `toml:"seeds"`
	// SeedPort replaces the port of all seeds, if they are known by another of their
	// addresses. Default 0: the seeds are used unchanged.
	SeedPort uint16 `toml:"seed_port"`
	// Keys authenticate frames. The first is used for outgoing connections and all are
	// accepted, so that keys can be rotated without downtime. Required.
	Keys []FrameKey `toml:"keys"`
}

// FrameKey is a secret shared by the instances.
type FrameKey struct {
	ID string `toml:"id"`
	// Secret is at least 32 bytes in base64.
	Secret string `toml:"secret"`
}

// Replicas configures the replica group: the instances with a data folder.
type Replicas struct {
	// Addresses holds an odd number of peer addresses. Required, except with routing,
	// where the replicas are discovered through the seeds.
	Addresses []string `toml:"addresses"`
	// Bootstrap lets the seeds form the initial group on empty disks. Only with routing.
	// Default false.
	Bootstrap bool `toml:"bootstrap"`
}

// Trust lists the operators that are trusted until the first bundle lists its own.
type Trust struct {
	// Operators maps names to ed25519 public keys in base64. Required.
	Operators map[string]string `toml:"operators"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `toml:"level"`
}

// Metrics configures the metrics page.
type Metrics struct {
	// Token is the bearer token for GET /metrics; empty disables the page.
	Token string `toml:"token"`
	// Address serves the page without a token at any path; IP:port. Only with routing.
	// Empty for none.
	Address string `toml:"address"`
}

// Faults injects faults for tests.
type Faults struct {
	// CutFile names a file with lines "in ADDRESS" or "out ADDRESS". Frames from or to
	// these peer addresses ("*" for all) are silently dropped while they are listed. With
	// routing, "servers hang", "servers reset" and "servers refuse" partition the instance
	// from all backend servers.
	// Empty in production.
	CutFile string `toml:"cut_file"`
}

// Experiment configures measurements.
type Experiment struct {
	// Baseline replaces the dispatcher by "round_robin" or "two_choices".
	// Empty in production.
	Baseline string `toml:"baseline"`
}

// Defaults.
const (
	DefaultMaxBody      = 1 << 20
	DefaultAddressTTL   = 2 * time.Second
	DefaultDrainTimeout = 10 * time.Minute
	minSecretBytes      = 32
)

// Problem is an error or warning about a key of a settings file.
type Problem struct{ Key, Reason string }

// Problems is the error that lists all problems of a settings file.
type Problems struct {
	File string
	List []Problem
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, x := range p.List {
		lines[i] = fmt.Sprintf("%s: %s: %s", p.File, x.Key, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings; file is the name used in messages.
func Parse(file string, data []byte) (*Settings, error) {
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, &Problems{file, decodeProblems(err)}
	}
	s.fillDefaults()
	s.parseTuning()
	if list := s.check(); len(list) > 0 {
		return nil, &Problems{file, list}
	}
	return &s, nil
}

func decodeProblems(err error) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for _, e := range strict.Errors {
			row, _ := e.Position()
			out = append(out, Problem{strings.Join(e.Key(), "."), fmt.Sprintf("unknown key (line %d)", row)})
		}
		return out
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, col := decodeErr.Position()
		return []Problem{{fmt.Sprintf("line %d, column %d", row, col), decodeErr.Error()}}
	}
	return []Problem{{"toml", err.Error()}}
}

func (s *Settings) fillDefaults() {
	if s.Callers.MaxBodyBytes == 0 {
		s.Callers.MaxBodyBytes = DefaultMaxBody
	}
	if s.Callers.AddressTTL == 0 {
		s.Callers.AddressTTL = bundle.Duration(DefaultAddressTTL)
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

// nameRE matches names that may be used in bundles and commands.
var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,63}$`)

type checker struct{ list []Problem }

func (c *checker) require(ok bool, key, reason string) {
	if !ok {
		c.list = append(c.list, Problem{key, reason})
	}
}

func (c *checker) address(key, a string) {
	ap, err := netip.ParseAddrPort(a)
	c.require(err == nil && ap.Port() != 0, key, fmt.Sprintf("%q is not an IP number with a port, for example \"127.0.0.1:7101\"", a))
}

func (s *Settings) check() []Problem {
	if s.Routing.Enabled {
		return s.checkWithRouting()
	}
	c := &checker{}
	c.require(nameRE.MatchString(s.Instance.Name), "instance.name", "is required: lower-case letters, digits, '-', '_', '.'")
	c.require(nameRE.MatchString(s.Instance.AvailabilityZone), "instance.availability_zone", "is required: the zone this instance stands in")
	c.address("callers.address", s.Callers.Address)
	c.require(s.Callers.MaxBodyBytes > 0 && s.Callers.MaxBodyBytes <= 64<<20, "callers.max_body_bytes", "must be 1 to 67108864")
	c.require(s.Callers.AddressTTL.D() >= 100*time.Millisecond, "callers.address_ttl", "must be at least 100ms")
	c.require(s.tuning.DrainTimeout > 0, "callers.drain_timeout", "must be above 0")
	c.list = append(c.list, s.warnings...)
	s.checkPeers(c)
	b := s.Experiment.Baseline
	c.require(b == "" || b == "round_robin" || b == "two_choices", "experiment.baseline", "must be empty, \"round_robin\" or \"two_choices\"")
	c.require(len(s.Trust.Operators) > 0, "trust.operators", "needs at least one operator's public key; make one with: cardamomctl keys generate")
	for name, key := range s.Trust.Operators {
		_, err := bundle.ParsePublicKey(key)
		c.require(err == nil, "trust.operators."+name, "must be an ed25519 public key in base64")
	}
	s.checkLog(c)
	return c.list
}

func (s *Settings) checkLog(c *checker) {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.require(false, "log.level", "must be debug, info, warn or error")
	}
}

func (s *Settings) checkPeers(c *checker) {
	s.checkFrames(c)
	n := len(s.Replicas.Addresses)
	c.require(n%2 == 1, "replicas.addresses", fmt.Sprintf("has %d addresses; an odd number is required", n))
	listed := false
	for _, a := range s.Replicas.Addresses {
		c.address("replicas.addresses", a)
		listed = listed || a == s.Peers.Address
	}
	c.require(s.Instance.DataFolder == "" || listed, "replicas.addresses", "does not list this instance's peers.address although instance.data_folder is set")
	c.require(s.Instance.DataFolder != "" || !listed, "instance.data_folder", "is required: this instance's peers.address is listed in replicas.addresses")
}

func (s *Settings) checkFrames(c *checker) {
	c.address("peers.address", s.Peers.Address)
	if s.Peers.Listen != "" {
		c.address("peers.listen", s.Peers.Listen)
	}
	c.require(len(s.Peers.Seeds) > 0 || s.Routing.Enabled, "peers.seeds", "needs at least one peer address")
	for _, a := range s.Peers.Seeds {
		c.address("peers.seeds", a)
	}
	c.require(len(s.Peers.Keys) > 0, "peers.keys", "needs at least one key; make one with: cardamomctl keys frame")
	for _, k := range s.Peers.Keys {
		raw, err := base64.StdEncoding.DecodeString(k.Secret)
		c.require(k.ID != "", "peers.keys.id", "is required")
		c.require(err == nil && len(raw) >= minSecretBytes, "peers.keys.secret", fmt.Sprintf("key %q: at least %d bytes in base64", k.ID, minSecretBytes))
	}
}
