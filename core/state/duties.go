package state

import (
	"maps"
	"slices"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/duty"
	"cardamomwick.example/core/usage"
)

// DutyCommand claims or releases a duty's lease.
type DutyCommand struct {
	Duty  string     `msgpack:"d"`
	Claim duty.Claim `msgpack:"c"`
}

// EffectCommand records a duty's side effect, which is an external action of the duty's
// holder. It is rejected unless the sender holds the duty's lease in the given term.
type EffectCommand struct {
	Duty   string `msgpack:"d"`
	Holder string `msgpack:"o"`
	Term   uint64 `msgpack:"t"`
	// Close closes a usage window, to be reported with the assigned fencing token.
	Close usage.Window `msgpack:"w,omitempty"`
	// Taken marks a closed window as acknowledged by the provider; the fencing token is
	// not used.
	Taken usage.Window `msgpack:"k,omitempty"`
	// Forget deletes the acknowledged windows before this one.
	Forget usage.Window `msgpack:"x,omitempty"`
	// Order is an order for backend servers, to be sent with the assigned fencing token.
	Order *capacity.Order `msgpack:"r,omitempty"`
}

// maxDuties limits the state that a faulty sender can create.
const maxDuties = 64

// dutyState holds the leases of duties and the results of their effects.
type dutyState struct {
	Duties map[string]duty.State `msgpack:"d,omitempty"`
	Usage  usage.Ledger          `msgpack:"u"`
	// Orders holds the latest orders of each subject.
	Orders capacity.Orders `msgpack:"o,omitempty"`
	// Revision increases with every change of the other fields.
	Revision uint64 `msgpack:"r"`
}

func (s *dutyState) claim(c *DutyCommand) Result {
	d, known := s.Duties[c.Duty]
	if !known && len(s.Duties) >= maxDuties {
		return Result{Code: CodeRefused, Message: "too many duties"}
	}
	code := CodeOK
	if !d.Lease.Apply(c.Claim) {
		code = CodeStale
	}
	s.put(c.Duty, d)
	return Result{Code: code, Lease: &d.Lease}
}

func (s *dutyState) put(name string, d duty.State) {
	if s.Duties == nil {
		s.Duties = map[string]duty.State{}
	}
	s.Duties[name] = d
	s.Revision++
}

// recordEffect applies an effect command and assigns its fencing token.
func (s *dutyState) recordEffect(c *EffectCommand, nowMillis int64) Result {
	d := s.Duties[c.Duty]
	fence, ok := d.NextFence(c.Holder, c.Term, nowMillis)
	if !ok {
		lease := d.Lease
		return Result{Code: CodeStale, Lease: &lease, Message: "the duty has another holder"}
	}
	res := Result{Code: CodeOK, Fence: fence}
	if c.Taken != 0 {
		s.Usage.Acknowledge(c.Taken)
	}
	if c.Forget != 0 {
		s.Usage.DropBefore(c.Forget)
	}
	if c.Close != 0 {
		record, closed := s.Usage.Close(c.Close)
		if !closed {
			return Result{Code: CodeRefused, Message: "the window was passed over"}
		}
		res.Window = &record
	}
	if c.Order != nil {
		s.Orders = s.Orders.With(*c.Order)
	}
	s.put(c.Duty, d)
	lease := d.Lease
	res.Lease = &lease
	return res
}

// countReports adds the reported run counts to the usage ledger.
func (s *dutyState) countReports(list []usage.Report) Result {
	res := Result{Code: CodeOK, Counted: make(map[string]uint64, len(list))}
	for _, r := range list {
		s.Usage.Apply(r)
		res.Counted[r.Reporter] = s.Usage.Number(r.Reporter)
	}
	s.Revision++
	return res
}

// Duties is a read-only copy of the committed duty state.
type Duties struct {
	Duties   map[string]duty.State
	Usage    usage.View
	Orders   capacity.Orders
	Revision uint64
}

// Duties returns a copy of the committed duty state.
func (m *Machine) Duties() Duties {
	s := &m.duties
	return Duties{Duties: maps.Clone(s.Duties), Usage: s.Usage.View(), Orders: slices.Clone(s.Orders), Revision: s.Revision}
}

// DutiesRevision returns the current revision of the duty state.
func (m *Machine) DutiesRevision() uint64 { return m.duties.Revision }
