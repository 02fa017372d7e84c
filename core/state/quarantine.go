package state

import (
	"slices"
	"time"

	"cardamomwick.example/core/quarantine"
)

// maxDecisions limits the stored decisions; the oldest are dropped first. It equals the
// limit of an instance.
const maxDecisions = 512

// StoredDecision is a quarantine decision that must survive a restart of all instances.
// Without it, a held request would crash three more servers after each restart.
type StoredDecision struct {
	Decision quarantine.Decision `msgpack:"r"`
	// DecidedMillis is the time of the decision by the replica group's clock. A clock skew of
	// seconds is negligible for a hold of minutes.
	DecidedMillis int64 `msgpack:"m"`
}

// DecisionAt returns the decision with its age at the given time in Unix milliseconds.
func (d *StoredDecision) DecisionAt(nowMillis int64) quarantine.Decision {
	x := d.Decision
	x.Age = time.Duration(max(0, nowMillis-d.DecidedMillis)) * time.Millisecond
	return x
}

// quarantineState holds the quarantine decisions.
type quarantineState struct {
	Decisions []StoredDecision `msgpack:"h"`
	// Revision increases with every change of Decisions.
	Revision uint64 `msgpack:"r"`
}

// storeDecision stores a decision if its version is higher than the stored one's or, for
// equal versions, if its status takes precedence.
func (s *quarantineState) storeDecision(x quarantine.Decision, nowMillis int64) Result {
	stored := StoredDecision{Decision: x, DecidedMillis: nowMillis - x.Age.Milliseconds()}
	stored.Decision.Age = 0
	i := slices.IndexFunc(s.Decisions, func(d StoredDecision) bool { return d.Decision.Digest == x.Digest })
	if i >= 0 {
		old := &s.Decisions[i].Decision
		if x.Version < old.Version || x.Version == old.Version && x.Status <= old.Status {
			return Result{Code: CodeOK}
		}
	}
	s.Decisions = slices.DeleteFunc(slices.Clone(s.Decisions), func(d StoredDecision) bool { return d.Decision.Digest == x.Digest || d.expired(nowMillis) })
	s.Decisions = append(s.Decisions, stored)
	s.Decisions = s.Decisions[max(0, len(s.Decisions)-maxDecisions):]
	s.Revision++
	return Result{Code: CodeOK}
}

// expired reports whether the decision no longer has any effect.
func (d *StoredDecision) expired(nowMillis int64) bool {
	x := d.DecisionAt(nowMillis)
	return x.Expired()
}

// Decisions returns the stored decisions. The slice is read-only.
func (m *Machine) Decisions() []StoredDecision { return m.quarantine.Decisions }

// DecisionsRevision returns the current revision of the stored decisions.
func (m *Machine) DecisionsRevision() uint64 { return m.quarantine.Revision }
