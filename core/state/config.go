package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"cardamomwick.example/core/bundle"
)

// Limits on the stored configuration history.
const (
	// maxStoredVersions limits the bundle versions available for roll-forward.
	maxStoredVersions = 32
	// maxOrderResults limits the order results kept to answer retries.
	maxOrderResults = 1024
)

// storedVersion is a published bundle. Only Withdrawn changes after it is stored.
type storedVersion struct {
	Version    uint64 `msgpack:"v"`
	Digest     string `msgpack:"d"`
	Operator   string `msgpack:"o"`
	Generation uint64 `msgpack:"g"`
	Withdrawn  bool   `msgpack:"w"`
	Content    []byte `msgpack:"c"`
}

type storedOrderResult struct {
	ID     string `msgpack:"i"`
	Result Result `msgpack:"r"`
}

type configState struct {
	history History
	// bootstrapOperators is used until the first bundle defines its own operators.
	bootstrapOperators map[string]bundle.Operator
	versions           []storedVersion // in ascending order
	// highest is the highest version ever published.
	highest uint64
	// activated lists the versions in order of activation, latest last.
	activated    []uint64
	orderResults []storedOrderResult
}

func newConfigState() configState {
	return configState{history: NewHistory()}
}

func (s *configState) bootstrap(keys map[string]string) Result {
	if s.bootstrapOperators != nil {
		return Result{Code: CodeExists}
	}
	s.bootstrapOperators = map[string]bundle.Operator{}
	for name, key := range keys {
		s.bootstrapOperators[name] = bundle.Operator{PublicKey: key}
	}
	return Result{Code: CodeOK}
}

func (s *configState) operators() map[string]bundle.Operator {
	if s.history.current.Bundle != nil {
		return s.history.current.Bundle.Operators
	}
	return s.bootstrapOperators
}

// Config returns the active configuration.
func (m *Machine) Config() Config { return m.config.history.current }

// UpdateSince returns the update from the given generation to the active one.
func (m *Machine) UpdateSince(generation uint64) Update { return m.config.history.Since(generation) }

// activate makes a stored version the active bundle in a new generation.
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
	s.activated = append(s.activated, v.Version)
	if len(s.activated) > maxStoredVersions {
		s.activated = slices.Clone(s.activated[len(s.activated)-maxStoredVersions:])
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
	if len(s.versions) > maxStoredVersions {
		s.versions = slices.Clone(s.versions[len(s.versions)-maxStoredVersions:])
	}
}

func (s *configState) storeResult(id string, r Result) {
	s.orderResults = append(s.orderResults, storedOrderResult{id, r})
	if len(s.orderResults) > maxOrderResults {
		s.orderResults = slices.Clone(s.orderResults[len(s.orderResults)-maxOrderResults:])
	}
}

func (s *configState) storedResult(id string) (Result, bool) {
	for i := len(s.orderResults) - 1; i >= 0; i-- {
		if s.orderResults[i].ID == id {
			return s.orderResults[i].Result, true
		}
	}
	return Result{}, false
}

// activeVersion returns the version of the active bundle, or 0 if there is none.
func (s *configState) activeVersion() uint64 {
	if s.history.current.Bundle == nil {
		return 0
	}
	return s.history.current.Bundle.Version
}

type configSnapshot struct {
	Generation         uint64                     `msgpack:"g"`
	Bundle             []byte                     `msgpack:"b,omitempty"`
	Retired            map[string]uint64          `msgpack:"r"`
	BootstrapOperators map[string]bundle.Operator `msgpack:"t"`
	Versions           []storedVersion            `msgpack:"v"`
	Highest            uint64                     `msgpack:"h"`
	Activated          []uint64                   `msgpack:"f"`
	Changes            []Change                   `msgpack:"c"`
	OrderResults       []storedOrderResult        `msgpack:"a"`
}

func (s *configState) snapshot() configSnapshot {
	out := configSnapshot{Generation: s.history.current.Generation, Retired: s.history.current.Retired, BootstrapOperators: s.bootstrapOperators,
		Versions: s.versions, Highest: s.highest, Activated: s.activated, Changes: s.history.changes, OrderResults: s.orderResults}
	if s.history.current.Bundle != nil {
		out.Bundle = s.history.current.Bundle.Canonical()
	}
	return out
}

func (c *configSnapshot) restore() (configState, error) {
	u := Update{Generation: c.Generation, Full: true, Bundle: c.Bundle, Retired: c.Retired}
	current, err := u.fullConfig()
	return configState{history: History{current, c.Changes}, bootstrapOperators: c.BootstrapOperators, versions: c.Versions, highest: c.Highest,
		activated: c.Activated, orderResults: c.OrderResults}, err
}

func contentDigest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
