package state

import (
	"fmt"

	"cardamomwick.example/core/bundle"
)

// applyOrder executes a signed order. A resent order gets its first answer
// again; an order that expects another generation changes nothing.
func (m *Machine) applyOrder(o *bundle.SignedOrder) Result {
	if r, ok := m.config.answered(o.ID()); ok {
		return r
	}
	if r, ok := m.config.publishedBefore(o); ok {
		return r
	}
	if err := o.Verify(m.config.operators()); err != nil {
		return m.config.refuse(CodeRefused, err.Error())
	}
	before := m.config.history.current.Generation
	if o.Expected != before {
		return m.config.refuse(CodeStale, fmt.Sprintf("the order expects generation %d; %d is in force", o.Expected, before))
	}
	r := m.config.execute(o)
	if r.Code != CodeOK {
		return r
	}
	r.Order = OrderResult{Generation: m.config.history.current.Generation, Version: m.config.versionInForce()}
	m.config.remember(o.ID(), r)
	m.audit.add(m.nowMillis, o, before, m.config.history.current)
	return r
}

func (s *configState) refuse(code Code, message string) Result {
	return Result{Code: code, Message: message, Order: OrderResult{Generation: s.history.current.Generation, Version: s.versionInForce()}}
}

// publishedBefore answers a publish whose version is taken: with the first
// answer for the same digest, else with a conflict that names the winner.
func (s *configState) publishedBefore(o *bundle.SignedOrder) (Result, bool) {
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
	r := s.refuse(CodeConflict, fmt.Sprintf("version %d was published by %s with digest %s", v.Version, v.Operator, v.Digest))
	r.Order.WinnerDigest = v.Digest
	r.Order.WinnerOperator = v.Operator
	return r, true
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
	return s.refuse(CodeRefused, fmt.Sprintf("unknown order %q", o.Kind))
}

func (s *configState) publish(o *bundle.SignedOrder) Result {
	if o.Version <= s.highest {
		return s.refuse(CodeConflict, fmt.Sprintf("version %d is not above %d, the highest published", o.Version, s.highest))
	}
	if contentDigest(o.Content) != o.Digest {
		return s.refuse(CodeRefused, "the content does not fit the signed digest")
	}
	b, err := bundle.Decode(o.Content)
	if err != nil {
		return s.refuse(CodeRefused, "undecodable content: "+err.Error())
	}
	if p := b.Check(); len(p) > 0 {
		return s.refuse(CodeRefused, p.Error())
	}
	if b.Version != o.Version || b.Digest() != o.Digest {
		return s.refuse(CodeRefused, "the content is another bundle than the order names")
	}
	v := storedVersion{Version: o.Version, Digest: o.Digest, Operator: o.Operator, Content: o.Content, Generation: s.history.current.Generation + 1}
	if err := s.activate(v); err != nil {
		return s.refuse(CodeRefused, err.Error())
	}
	s.store(v)
	return Result{Code: CodeOK}
}

func (s *configState) rollForward(o *bundle.SignedOrder) Result {
	v := s.find(o.Version)
	if v == nil {
		return s.refuse(CodeRefused, fmt.Sprintf("version %d is not stored; the last %d versions are", o.Version, keptVersions))
	}
	if s.versionInForce() == o.Version {
		return s.refuse(CodeRefused, fmt.Sprintf("version %d is in force already", o.Version))
	}
	v.Withdrawn = false
	if err := s.activate(*v); err != nil {
		return s.refuse(CodeRefused, err.Error())
	}
	return Result{Code: CodeOK}
}

// withdraw brings back the content of the version that was in force before,
// as a new and higher generation.
func (s *configState) withdraw(o *bundle.SignedOrder) Result {
	if s.versionInForce() != o.Version {
		return s.refuse(CodeRefused, fmt.Sprintf("version %d is not in force; version %d is", o.Version, s.versionInForce()))
	}
	previous := s.previousVersion(o.Version)
	if previous == nil {
		return s.refuse(CodeRefused, "no earlier version is left to go back to")
	}
	if v := s.find(o.Version); v != nil {
		v.Withdrawn = true
	}
	if err := s.activate(*previous); err != nil {
		return s.refuse(CodeRefused, err.Error())
	}
	return Result{Code: CodeOK}
}

func (s *configState) previousVersion(version uint64) *storedVersion {
	for i := len(s.inForce) - 1; i >= 0; i-- {
		v := s.find(s.inForce[i])
		if v != nil && v.Version != version && !v.Withdrawn {
			return v
		}
	}
	return nil
}

func (s *configState) retire(o *bundle.SignedOrder) Result {
	if o.Server == "" {
		return s.refuse(CodeRefused, "the order names no backend server")
	}
	if g, ok := s.history.current.Retired[o.Server]; ok {
		return s.refuse(CodeExists, fmt.Sprintf("backend server %s was retired in generation %d", o.Server, g))
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
