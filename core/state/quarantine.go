package state

import (
	"slices"
	"time"

	"cardamomwick.example/core/quarantine"
)

// maxRulings limits the stored rulings; the oldest are dropped first. It equals the
// limit of an instance.
const maxRulings = 512

// StoredRuling is a quarantine ruling that must survive a restart of all instances.
// Without it, a quarantined request would crash three more servers after each restart.
type StoredRuling struct {
	Ruling quarantine.Decision `msgpack:"r"`
	// DecidedMillis is the time of the decision by the group's clock. A clock skew of
	// seconds is negligible for a quarantine of minutes.
	DecidedMillis int64 `msgpack:"m"`
}

// RulingAt returns the ruling with its age at the given time in Unix milliseconds.
func (h *StoredRuling) RulingAt(nowMillis int64) quarantine.Decision {
	x := h.Ruling
	x.Age = time.Duration(max(0, nowMillis-h.DecidedMillis)) * time.Millisecond
	return x
}

// quarantineState holds the quarantine rulings.
type quarantineState struct {
	Rulings []StoredRuling `msgpack:"h"`
	// Revision increases with every change of Rulings.
	Revision uint64 `msgpack:"r"`
}

// storeRuling stores a ruling if its version is higher than the stored one's. Of equal
// versions, a ruling that holds the request takes precedence.
func (s *quarantineState) storeRuling(x quarantine.Decision, nowMillis int64) Result {
	decided := StoredRuling{Ruling: x, DecidedMillis: nowMillis - x.Age.Milliseconds()}
	decided.Ruling.Age = 0
	at := slices.IndexFunc(s.Rulings, func(h StoredRuling) bool { return h.Ruling.Digest == x.Digest })
	if at >= 0 {
		old := &s.Rulings[at].Ruling
		if x.Version < old.Version || x.Version == old.Version && x.Status <= old.Status {
			return Result{Code: CodeOK}
		}
	}
	s.Rulings = slices.DeleteFunc(slices.Clone(s.Rulings), func(h StoredRuling) bool { return h.Ruling.Digest == x.Digest || h.expired(nowMillis) })
	s.Rulings = append(s.Rulings, decided)
	s.Rulings = s.Rulings[max(0, len(s.Rulings)-maxRulings):]
	s.Revision++
	return Result{Code: CodeOK}
}

// expired reports whether the ruling no longer has any effect.
func (h *StoredRuling) expired(nowMillis int64) bool { x := h.RulingAt(nowMillis); return x.Expired() }

// Rulings returns the stored rulings. The slice is read-only.
func (m *Machine) Rulings() []StoredRuling { return m.quarantine.Rulings }

// RulingsRevision returns the current revision of the stored rulings.
func (m *Machine) RulingsRevision() uint64 { return m.quarantine.Revision }
