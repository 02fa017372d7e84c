package state

import (
	"slices"
	"time"

	"cardamomwick.example/core/quarantine"
)

// keptHolds bounds the rulings remembered; the oldest go first. It is as many as an
// instance holds.
const keptHolds = 512

// Hold is a ruling that must outlive a restart of all instances: without it, a request
// that is held would end three more servers after each.
type Hold struct {
	Ruling quarantine.Decision `msgpack:"r"`
	// DecidedMillis is when it was decided, by the group's clock. Clocks that are
	// seconds apart make no difference to a hold of minutes.
	DecidedMillis int64 `msgpack:"m"`
}

// Told returns the ruling with its age at a time, in Unix milliseconds.
func (h *Hold) Told(nowMillis int64) quarantine.Decision {
	x := h.Ruling
	x.Age = time.Duration(max(0, nowMillis-h.DecidedMillis)) * time.Millisecond
	return x
}

// quarantineState is the part of the machine that keeps holds.
type quarantineState struct {
	Holds []Hold `msgpack:"h"`
	// Revision rises with every change of the above.
	Revision uint64 `msgpack:"r"`
}

// rule keeps the highest version of a ruling, a hold before others of that version.
func (s *quarantineState) rule(x quarantine.Decision, nowMillis int64) Result {
	decided := Hold{Ruling: x, DecidedMillis: nowMillis - x.Age.Milliseconds()}
	decided.Ruling.Age = 0
	at := slices.IndexFunc(s.Holds, func(h Hold) bool { return h.Ruling.Digest == x.Digest })
	if at >= 0 {
		old := &s.Holds[at].Ruling
		if x.Version < old.Version || x.Version == old.Version && x.Status <= old.Status {
			return Result{Code: CodeOK}
		}
	}
	s.Holds = slices.DeleteFunc(slices.Clone(s.Holds), func(h Hold) bool { return h.Ruling.Digest == x.Digest || h.over(nowMillis) })
	s.Holds = append(s.Holds, decided)
	s.Holds = s.Holds[max(0, len(s.Holds)-keptHolds):]
	s.Revision++
	return Result{Code: CodeOK}
}

// over reports whether nothing follows from the ruling any more.
func (h *Hold) over(nowMillis int64) bool { x := h.Told(nowMillis); return x.Expired() }

// Holds returns the rulings that are kept. Read only.
func (m *Machine) Holds() []Hold { return m.quarantine.Holds }

// HoldsRevision returns the revision of what Holds would return.
func (m *Machine) HoldsRevision() uint64 { return m.quarantine.Revision }
