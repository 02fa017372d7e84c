package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"cardamomwick.example/core/bundle"
)

// Bounds on what the machine remembers about configurations.
const (
	// keptVersions is how many bundle versions can be rolled forward to.
	keptVersions = 32
	// keptAnswers is how many orders' answers are kept for resends.
	keptAnswers = 1024
)

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
	history History
	// trusted holds the genesis operators until the first bundle names its own.
	trusted  map[string]bundle.Operator
	versions []storedVersion // by rising version
	// highest is the highest version ever accepted.
	highest uint64
	// inForce lists the versions that were in force, latest last.
	inForce []uint64
	answers []orderAnswer
}

func newConfigState() configState {
	return configState{history: NewHistory()}
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
	if s.history.current.Bundle != nil {
		return s.history.current.Bundle.Operators
	}
	return s.trusted
}

// Config returns the configuration in force.
func (m *Machine) Config() Config { return m.config.history.current }

// UpdateSince returns what a holder of the given generation lacks.
func (m *Machine) UpdateSince(generation uint64) Update { return m.config.history.Since(generation) }

// activate puts a stored version in force as a new generation.
func (s *configState) activate(v storedVersion) error {
	b, err := bundle.Decode(v.Content)
	if err != nil {
		return err
	}
	from := s.history.current.Bundle
	if from == nil {
		from = &bundle.Bundle{}
	}
	s.history.advance(Change{Delta: bundle.Diff(from, b)})
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
	if s.history.current.Bundle == nil {
		return 0
	}
	return s.history.current.Bundle.Version
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
	out := configSnapshot{Generation: s.history.current.Generation, Retired: s.history.current.Retired, Trusted: s.trusted,
		Versions: s.versions, Highest: s.highest, InForce: s.inForce, Changes: s.history.changes, Answers: s.answers}
	if s.history.current.Bundle != nil {
		out.Bundle = s.history.current.Bundle.Canonical()
	}
	return out
}

func (c *configSnapshot) restore() (configState, error) {
	u := Update{Generation: c.Generation, Full: true, Bundle: c.Bundle, Retired: c.Retired}
	current, err := u.full()
	return configState{history: History{current, c.Changes}, trusted: c.Trusted, versions: c.Versions, highest: c.Highest,
		inForce: c.InForce, answers: c.Answers}, err
}

func contentDigest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
