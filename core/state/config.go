package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"cardamomwick.example/core/bundle"
)

// Bounds on what the machine remembers about configurations.
const (
	// keptChanges is how many generations back a delta can be served.
	keptChanges = 256
	// keptVersions is how many bundle versions can be rolled forward to.
	keptVersions = 32
	// keptAnswers is how many orders' answers are kept for resends.
	keptAnswers = 1024
)

// Config is the configuration in force. Values are shared and read-only.
type Config struct {
	// Generation rises by one with every accepted order and never goes back.
	Generation uint64
	// Bundle is nil before the first publish.
	Bundle *bundle.Bundle
	// Retired maps retired backend servers to the generation that did it.
	Retired map[string]uint64
}

// Change is the step from one generation to the next.
type Change struct {
	Generation uint64        `msgpack:"g"`
	Delta      *bundle.Delta `msgpack:"d,omitempty"`
	Retire     string        `msgpack:"r,omitempty"`
}

// Update brings a holder of an older configuration up to date: either Changes
// in order, or a Full configuration.
type Update struct {
	Generation uint64            `msgpack:"g"`
	Changes    []Change          `msgpack:"c,omitempty"`
	Full       bool              `msgpack:"f,omitempty"`
	Bundle     []byte            `msgpack:"b,omitempty"`
	Retired    map[string]uint64 `msgpack:"r,omitempty"`
}

// storedVersion is a bundle that was signed off. Winner facts never change.
type storedVersion struct {
	Version    uint64 `msgpack:"v"`
	Digest     string `msgpack:"d"`
	Operator   string `msgpack:"o"`
	Generation uint64 `msgpack:"g"`
	Withdrawn  bool   `msgpack:"w"`
	Content    []byte `msgpack:"c"`
}

type orderAnswer struct {
	ID     string `msgpack:"i"`
	Result Result `msgpack:"r"`
}

type configState struct {
	current Config
	// trusted holds the genesis operators until the first bundle names its own.
	trusted  map[string]bundle.Operator
	versions []storedVersion // by rising version
	// highest is the highest version ever accepted.
	highest uint64
	// inForce lists the versions that were in force, latest last.
	inForce []uint64
	changes []Change
	answers []orderAnswer
}

func newConfigState() configState {
	return configState{current: Config{Retired: map[string]uint64{}}}
}

func (s *configState) genesis(keys map[string]string) Result {
	if s.trusted != nil {
		return Result{Code: CodeExists}
	}
	s.trusted = map[string]bundle.Operator{}
	for name, key := range keys {
		s.trusted[name] = bundle.Operator{PublicKey: key}
	}
	return Result{Code: CodeOK}
}

func (s *configState) operators() map[string]bundle.Operator {
	if s.current.Bundle != nil {
		return s.current.Bundle.Operators
	}
	return s.trusted
}

// Config returns the configuration in force.
func (m *Machine) Config() Config { return m.config.current }

// UpdateSince returns what a holder of the given generation lacks.
func (m *Machine) UpdateSince(generation uint64) Update {
	cur := m.config.current
	u := Update{Generation: cur.Generation}
	if generation == cur.Generation {
		return u
	}
	missing := cur.Generation - generation
	if generation < cur.Generation && missing <= uint64(len(m.config.changes)) {
		u.Changes = m.config.changes[uint64(len(m.config.changes))-missing:]
		return u
	}
	u.Full = true
	u.Retired = cur.Retired
	if cur.Bundle != nil {
		u.Bundle = cur.Bundle.Canonical()
	}
	return u
}

// Apply returns the configuration after the update. An error asks for a full
// update: call again with generation 0.
func (u *Update) Apply(c Config) (Config, error) {
	if u.Full {
		return u.full()
	}
	for _, ch := range u.Changes {
		next, err := ch.apply(c)
		if err != nil {
			return c, err
		}
		c = next
	}
	if c.Generation != u.Generation {
		return c, fmt.Errorf("update ends at generation %d, not %d", c.Generation, u.Generation)
	}
	return c, nil
}

func (u *Update) full() (Config, error) {
	c := Config{Generation: u.Generation, Retired: u.Retired}
	if c.Retired == nil {
		c.Retired = map[string]uint64{}
	}
	if len(u.Bundle) == 0 {
		return c, nil
	}
	b, err := bundle.Decode(u.Bundle)
	c.Bundle = b
	return c, err
}

func (ch *Change) apply(c Config) (Config, error) {
	if ch.Generation != c.Generation+1 {
		return c, fmt.Errorf("change to generation %d does not follow %d", ch.Generation, c.Generation)
	}
	next := Config{Generation: ch.Generation, Bundle: c.Bundle, Retired: c.Retired}
	if ch.Retire != "" {
		next.Retired = cloneWith(c.Retired, ch.Retire, ch.Generation)
	}
	if ch.Delta != nil {
		from := c.Bundle
		if from == nil {
			from = &bundle.Bundle{}
		}
		b, err := ch.Delta.Apply(from)
		if err != nil {
			return c, err
		}
		next.Bundle = b
	}
	return next, nil
}

func cloneWith(m map[string]uint64, key string, v uint64) map[string]uint64 {
	out := make(map[string]uint64, len(m)+1)
	for k, x := range m {
		out[k] = x
	}
	out[key] = v
	return out
}

// advance moves to the next generation.
func (s *configState) advance(ch Change) {
	ch.Generation = s.current.Generation + 1
	next, err := ch.apply(s.current)
	if err != nil {
		panic(err) // the change was made from the current configuration
	}
	s.current = next
	s.changes = append(s.changes, ch)
	if len(s.changes) > keptChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-keptChanges:])
	}
}

// activate puts a stored version in force as a new generation.
func (s *configState) activate(v storedVersion) error {
	b, err := bundle.Decode(v.Content)
	if err != nil {
		return err
	}
	from := s.current.Bundle
	if from == nil {
		from = &bundle.Bundle{}
	}
	s.advance(Change{Delta: bundle.Diff(from, b)})
	s.inForce = append(s.inForce, v.Version)
	if len(s.inForce) > keptVersions {
		s.inForce = slices.Clone(s.inForce[len(s.inForce)-keptVersions:])
	}
	return nil
}

func (s *configState) find(version uint64) *storedVersion {
	for i := range s.versions {
		if s.versions[i].Version == version {
			return &s.versions[i]
		}
	}
	return nil
}

func (s *configState) store(v storedVersion) {
	s.versions = append(s.versions, v)
	s.highest = v.Version
	if len(s.versions) > keptVersions {
		s.versions = slices.Clone(s.versions[len(s.versions)-keptVersions:])
	}
}

func (s *configState) remember(id string, r Result) {
	s.answers = append(s.answers, orderAnswer{id, r})
	if len(s.answers) > keptAnswers {
		s.answers = slices.Clone(s.answers[len(s.answers)-keptAnswers:])
	}
}

func (s *configState) answered(id string) (Result, bool) {
	for i := len(s.answers) - 1; i >= 0; i-- {
		if s.answers[i].ID == id {
			return s.answers[i].Result, true
		}
	}
	return Result{}, false
}

// versionInForce returns the version of the current bundle, 0 for none.
func (s *configState) versionInForce() uint64 {
	if s.current.Bundle == nil {
		return 0
	}
	return s.current.Bundle.Version
}

type configSnapshot struct {
	Generation uint64                     `msgpack:"g"`
	Bundle     []byte                     `msgpack:"b,omitempty"`
	Retired    map[string]uint64          `msgpack:"r"`
	Trusted    map[string]bundle.Operator `msgpack:"t"`
	Versions   []storedVersion            `msgpack:"v"`
	Highest    uint64                     `msgpack:"h"`
	InForce    []uint64                   `msgpack:"f"`
	Changes    []Change                   `msgpack:"c"`
	Answers    []orderAnswer              `msgpack:"a"`
}

func (s *configState) snapshot() configSnapshot {
	out := configSnapshot{Generation: s.current.Generation, Retired: s.current.Retired, Trusted: s.trusted,
		Versions: s.versions, Highest: s.highest, InForce: s.inForce, Changes: s.changes, Answers: s.answers}
	if s.current.Bundle != nil {
		out.Bundle = s.current.Bundle.Canonical()
	}
	return out
}

func (c *configSnapshot) restore() (configState, error) {
	u := Update{Generation: c.Generation, Full: true, Bundle: c.Bundle, Retired: c.Retired}
	current, err := u.full()
	return configState{current: current, trusted: c.Trusted, versions: c.Versions, highest: c.Highest,
		inForce: c.InForce, changes: c.Changes, answers: c.Answers}, err
}

func contentDigest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
