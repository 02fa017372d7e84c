package state

import (
	"fmt"

	"cardamomwick.example/core/bundle"
)

// applyOrder executes a signed order. A retried order returns its original result; an
// order that expects another generation changes nothing.
func (m *Machine) applyOrder(o *bundle.SignedOrder) Result {
	if r, ok := m.config.storedResult(o.ID()); ok {
		return r
	}
	if r, ok := m.config.existingPublish(o); ok {
		return r
	}
	if err := o.Verify(m.config.operators()); err != nil {
		return m.config.refusal(CodeRefused, err.Error())
	}
	if r, ok := m.config.existingRetirement(o); ok {
		return r
	}
	before := m.config.history.current.Generation
	if o.Expected != before {
		return m.config.refusal(CodeStale, fmt.Sprintf("the order expects generation %d; %d is in force", o.Expected, before))
	}
	r := m.config.execute(o)
	if r.Code != CodeOK {
		return r
	}
	r.Order = OrderResult{Generation: m.config.history.current.Generation, Version: m.config.activeVersion()}
	m.config.storeResult(o.ID(), r)
	m.audit.add(m.nowMillis, o, before, m.config.history.current)
	return r
}

func (s *configState) refusal(code Code, message string) Result {
	return Result{Code: code, Message: message, Order: OrderResult{Generation: s.history.current.Generation, Version: s.activeVersion()}}
}

// existingPublish handles a publish order whose version already exists. It returns the
// original result if the digest is the same, else a conflict with the published bundle's
// generation, digest and operator. Neither depends on later orders, so that a repeated order
// gets the first answer again.
func (s *configState) existingPublish(o *bundle.SignedOrder) (Result, bool) {
	if o.Kind != bundle.OrderPublish {
		return Result{}, false
	}
	v := s.find(o.Version)
	if v == nil {
		return Result{}, false
	}
	if v.Digest == o.Digest {
		return Result{Code: CodeOK, Order: OrderResult{Generation: v.Generation, Version: v.Version}}, true
	}
	return Result{Code: CodeConflict, Message: fmt.Sprintf("version %d was published by %s with digest %s", v.Version, v.Operator, v.Digest),
		Order: OrderResult{Generation: v.Generation, Version: v.Version, WinnerDigest: v.Digest, WinnerOperator: v.Operator}}, true
}

// existingRetirement handles an order to retire a server that is retired already. It returns
// the generation of the retirement, for the same reason.
func (s *configState) existingRetirement(o *bundle.SignedOrder) (Result, bool) {
	g, ok := s.history.current.Retired[o.Server]
	if o.Kind != bundle.OrderRetire || !ok {
		return Result{}, false
	}
	return Result{Code: CodeExists, Message: fmt.Sprintf("backend server %s was retired in generation %d", o.Server, g),
		Order: OrderResult{Generation: g}}, true
}

func (s *configState) execute(o *bundle.SignedOrder) Result {
	switch o.Kind {
	case bundle.OrderPublish:
		return s.publish(o)
	case bundle.OrderRollForward:
		return s.rollForward(o)
	case bundle.OrderWithdraw:
		return s.withdraw(o)
	case bundle.OrderRetire:
		return s.retire(o)
	}
	return s.refusal(CodeRefused, fmt.Sprintf("unknown order %q", o.Kind))
}

func (s *configState) publish(o *bundle.SignedOrder) Result {
	if o.Version <= s.highest {
		return s.refusal(CodeConflict, fmt.Sprintf("version %d is not above %d, the highest published", o.Version, s.highest))
	}
	if contentDigest(o.Content) != o.Digest {
		return s.refusal(CodeRefused, "the content does not fit the signed digest")
	}
	b, err := bundle.Decode(o.Content)
	if err != nil {
		return s.refusal(CodeRefused, "undecodable content: "+err.Error())
	}
	if p := b.Check(); len(p) > 0 {
		return s.refusal(CodeRefused, p.Error())
	}
	if b.Version != o.Version || b.Digest() != o.Digest {
		return s.refusal(CodeRefused, "the content is another bundle than the order names")
	}
	v := storedVersion{Version: o.Version, Digest: o.Digest, Operator: o.Operator, Content: o.Content, Generation: s.history.current.Generation + 1}
	if err := s.activate(v); err != nil {
		return s.refusal(CodeRefused, err.Error())
	}
	s.store(v)
	return Result{Code: CodeOK}
}

func (s *configState) rollForward(o *bundle.SignedOrder) Result {
	v := s.find(o.Version)
	if v == nil {
		return s.refusal(CodeRefused, fmt.Sprintf("version %d is not stored; the last %d versions are", o.Version, maxStoredVersions))
	}
	if s.activeVersion() == o.Version {
		return s.refusal(CodeRefused, fmt.Sprintf("version %d is in force already", o.Version))
	}
	v.Withdrawn = false
	if err := s.activate(*v); err != nil {
		return s.refusal(CodeRefused, err.Error())
	}
	return Result{Code: CodeOK}
}

// withdraw activates the previously active version again, in a new generation.
func (s *configState) withdraw(o *bundle.SignedOrder) Result {
	if s.activeVersion() != o.Version {
		return s.refusal(CodeRefused, fmt.Sprintf("version %d is not in force; version %d is", o.Version, s.activeVersion()))
	}
	previous := s.previousVersion(o.Version)
	if previous == nil {
		return s.refusal(CodeRefused, "no earlier version is left to go back to")
	}
	if v := s.find(o.Version); v != nil {
		v.Withdrawn = true
	}
	if err := s.activate(*previous); err != nil {
		return s.refusal(CodeRefused, err.Error())
	}
	return Result{Code: CodeOK}
}

func (s *configState) previousVersion(version uint64) *storedVersion {
	for i := len(s.activated) - 1; i >= 0; i-- {
		v := s.find(s.activated[i])
		if v != nil && v.Version != version && !v.Withdrawn {
			return v
		}
	}
	return nil
}

func (s *configState) retire(o *bundle.SignedOrder) Result {
	if o.Server == "" {
		return s.refusal(CodeRefused, "the order names no backend server")
	}
	s.history.advance(Change{Retire: o.Server})
	return Result{Code: CodeOK}
}

// VersionInfo describes a stored bundle version.
type VersionInfo struct {
	Version    uint64 `json:"version" msgpack:"v"`
	Digest     string `json:"digest" msgpack:"d"`
	Operator   string `json:"operator" msgpack:"o"`
	Generation uint64 `json:"generation" msgpack:"g"`
	Withdrawn  bool   `json:"withdrawn" msgpack:"w"`
}

// Versions lists the stored bundle versions, oldest first.
func (m *Machine) Versions() []VersionInfo {
	out := make([]VersionInfo, 0, len(m.config.versions))
	for _, v := range m.config.versions {
		out = append(out, VersionInfo{v.Version, v.Digest, v.Operator, v.Generation, v.Withdrawn})
	}
	return out
}
