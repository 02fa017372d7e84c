package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Limits on the content of a bundle.
const (
	MaxTier      = 8
	MaxEntries   = 10000
	MaxBytes     = 8 << 20
	maxNameBytes = 64
)

// Problem is one validation error of a bundle.
type Problem struct {
	Key    string
	Reason string
}

// Problems lists all validation errors of a bundle.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.Key + ": " + x.Reason
	}
	return strings.Join(lines, "\n")
}

// ParseTOML parses a bundle, fills in defaults and validates it. Unknown keys are errors.
func ParseTOML(data []byte) (*Bundle, error) {
	var b Bundle
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return nil, decodeProblems(err)
	}
	b.fillDefaults()
	if p := b.Check(); len(p) > 0 {
		return nil, p
	}
	return &b, nil
}

func decodeProblems(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out Problems
		for _, e := range strict.Errors {
			row, _ := e.Position()
			out = append(out, Problem{strings.Join(e.Key(), "."), fmt.Sprintf("unknown key (line %d)", row)})
		}
		return out
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return Problems{{strings.Join(de.Key(), "."), fmt.Sprintf("line %d, column %d: %s", row, col, de.Error())}}
	}
	return Problems{{"bundle", err.Error()}}
}

func (b *Bundle) fillDefaults() {
	for name, c := range b.Classes {
		if c.Order == "" {
			c.Order = QueueFIFO
		}
		if c.GiveUp == "" {
			c.GiveUp = GiveUpDeadline
		}
		if c.WhenIsolated == "" {
			c.WhenIsolated = IsolatedRefuse
		}
		b.Classes[name] = c
	}
	for name, c := range b.Customers {
		if c.Weight == 0 {
			c.Weight = 1
		}
		b.Customers[name] = c
	}
}

// Check returns all validation errors of the bundle, sorted by key.
func (b *Bundle) Check() Problems {
	c := &checker{}
	c.require(b.Version > 0, "version", "must be at least 1")
	c.count("classes", len(b.Classes), 1)
	c.count("pools", len(b.Pools), 1)
	c.count("customers", len(b.Customers), 1)
	c.count("operators", len(b.Operators), 1)
	share := 0.0
	for name, x := range b.Classes {
		c.class("classes."+name, name, x)
		share += x.Share
	}
	c.require(share <= 0.5, "classes", fmt.Sprintf("shares add up to %.2f; at most 0.5 may be guaranteed", share))
	for name, x := range b.Pools {
		c.pool("pools."+name, name, x, b)
	}
	seen := map[string]string{}
	for name, x := range b.Customers {
		c.customer("customers."+name, name, x, seen)
	}
	for name, x := range b.Operators {
		c.name("operators."+name, name)
		_, err := ParsePublicKey(x.PublicKey)
		c.require(err == nil, "operators."+name+".public_key", "must be an ed25519 public key in base64")
	}
	c.require(b.WeightStore.LoadsPerMinute >= 0, "weight_store.loads_per_minute", "must not be negative")
	sort.Slice(c.problems, func(i, j int) bool { return c.problems[i].Key < c.problems[j].Key })
	return c.problems
}

type checker struct{ problems Problems }

func (c *checker) require(ok bool, key, reason string) {
	if !ok {
		c.problems = append(c.problems, Problem{key, reason})
	}
}

func (c *checker) count(key string, n, minCount int) {
	c.require(n >= minCount && n <= MaxEntries, key, fmt.Sprintf("has %d entries; between %d and %d are allowed", n, minCount, MaxEntries))
}

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]*$`)

func (c *checker) name(key, name string) {
	c.require(len(name) <= maxNameBytes && nameRE.MatchString(name), key, "a name has lower-case letters, digits, '-', '_' and '.', at most 64")
}

func (c *checker) class(key, name string, x Class) {
	c.name(key, name)
	c.require(x.Tier >= 1 && x.Tier <= MaxTier, key+".tier", fmt.Sprintf("must be 1 (highest) to %d", MaxTier))
	c.require(x.FirstTokenTarget > 0, key+".first_token_target", "is required, for example \"400ms\"")
	c.require(x.Deadline > 0, key+".deadline", "is required, for example \"30s\"")
	c.require(x.Deadline >= x.FirstTokenTarget, key+".deadline", "must not be shorter than first_token_target")
	c.require(x.PerTokenTarget >= 0 && x.TotalTarget >= 0, key, "targets must not be negative")
	c.require(x.Share >= 0 && x.Share <= 0.5, key+".share", "must be 0 to 0.5")
	c.require(x.Order == QueueFIFO || x.Order == QueueNewest || x.Order == QueueAttainable, key+".order", "must be \"fifo\", \"newest\" or \"attainable\"")
	c.require(x.GiveUp == GiveUpDeadline || x.GiveUp == GiveUpFirstToken, key+".give_up", "must be \"deadline\" or \"first_token\"")
	c.require(x.MaxOutputTokens >= 0, key+".max_output_tokens", "must not be negative")
	c.require(x.WhenIsolated == IsolatedRefuse || x.WhenIsolated == IsolatedServe, key+".when_isolated", "must be \"refuse\" or \"serve\"")
	if x.WhenIsolated == IsolatedServe {
		c.require(x.Idempotent, key+".when_isolated", "\"serve\" is only for idempotent classes")
		c.require(x.IsolatedFor > 0, key+".isolated_for", "is required with when_isolated = \"serve\"")
	}
}

func (c *checker) pool(key, name string, x Pool, b *Bundle) {
	c.name(key, name)
	c.require(x.Kind == PoolModel || x.Kind == PoolService, key+".kind", "must be \"model\" or \"service\"")
	_, ok := b.Classes[x.DefaultClass]
	c.require(ok, key+".default_class", fmt.Sprintf("names the class %q, which is not declared", x.DefaultClass))
	c.require(len(x.AnnounceTokens) > 0, key+".announce_token_sha256", "needs at least one digest")
	c.require(x.EngineVersion == "" || x.Kind == PoolModel, key+".engine_version", "is only for pools of kind \"model\"")
	c.require(len(x.Adapters) == 0 || x.EngineVersion != "", key+".adapters", "need engine_version")
	for _, d := range x.AnnounceTokens {
		c.digest(key+".announce_token_sha256", d)
	}
}

func (c *checker) customer(key, name string, x Customer, seen map[string]string) {
	c.name(key, name)
	c.require(len(x.Keys) > 0, key+".key_sha256", "needs at least one digest")
	for _, d := range x.Keys {
		c.digest(key+".key_sha256", d)
		c.require(seen[d] == "", key+".key_sha256", "the same key belongs to customer "+seen[d])
		seen[d] = name
	}
	c.require(x.Weight > 0, key+".weight", "must be above 0")
	c.require(x.RequestsPerSecond >= 0 && x.Burst >= 0 && x.MaxRunning >= 0, key, "limits must not be negative")
	c.require(x.RequestsPerSecond == 0 || x.Burst > 0, key+".burst", "is required with requests_per_second")
}

func (c *checker) digest(key, d string) {
	raw, err := hex.DecodeString(d)
	c.require(err == nil && len(raw) == 32 && d == strings.ToLower(d), key, "must be a SHA-256 digest in lower-case hex; see cardamomctl keys")
}

// ParsePublicKey parses an ed25519 public key in base64.
func ParsePublicKey(s string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, err
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key has %d bytes, not %d", len(raw), ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(raw), nil
}
