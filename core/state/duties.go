package state

import (
	"maps"
	"slices"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/duty"
	"cardamomwick.example/core/usage"
)

// DutyCommand claims or releases the lease of a duty.
type DutyCommand struct {
	Duty  string     `msgpack:"d"`
	Claim duty.Claim `msgpack:"c"`
}

// ActCommand records an effect of a duty. It has no effect unless its sender holds the
// duty in the term it names.
type ActCommand struct {
	Duty   string `msgpack:"d"`
	Holder string `msgpack:"o"`
	Term   uint64 `msgpack:"t"`
	// Close closes a window of usage, to be reported with the fence given out.
	Close usage.Window `msgpack:"w,omitempty"`
	// Taken notes that a window has been taken; no fence is given out for it.
	Taken usage.Window `msgpack:"k,omitempty"`
	// Forget drops windows before this one that were taken.
	Forget usage.Window `msgpack:"x,omitempty"`
	// Order is an order of backend servers, to be sent with the fence given out.
	Order *capacity.Order `msgpack:"r,omitempty"`
}

// mostDuties bounds what a faulty sender can make the log remember.
const mostDuties = 64

// dutyState is the part of the machine that holds duties and what they have done.
type dutyState struct {
	Duties map[string]duty.State `msgpack:"d,omitempty"`
	Usage  usage.Ledger          `msgpack:"u"`
	// Orders are the last ones of each subject.
	Orders capacity.Orders `msgpack:"o,omitempty"`
	// Revision rises with every change of the above.
	Revision uint64 `msgpack:"r"`
}

func (s *dutyState) claim(c *DutyCommand) Result {
	d, known := s.Duties[c.Duty]
	if !known && len(s.Duties) >= mostDuties {
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

// act records an effect of the duty's holder.
func (s *dutyState) act(c *ActCommand, nowMillis int64) Result {
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

// report counts what instances tell of runs.
func (s *dutyState) report(list []usage.Report) Result {
	res := Result{Code: CodeOK, Counted: make(map[string]uint64, len(list))}
	for _, r := range list {
		s.Usage.Apply(r)
		res.Counted[r.Reporter] = s.Usage.Number(r.Reporter)
	}
	s.Revision++
	return res
}

// Duties is what readers outside the log need of the duties. Read only.
type Duties struct {
	Duties   map[string]duty.State
	Usage    usage.View
	Orders   capacity.Orders
	Revision uint64
}

// Duties returns a copy of what is committed about duties.
func (m *Machine) Duties() Duties {
	s := &m.duties
	return Duties{Duties: maps.Clone(s.Duties), Usage: s.Usage.View(), Orders: slices.Clone(s.Orders), Revision: s.Revision}
}

// DutiesRevision returns the revision of what Duties would return.
func (m *Machine) DutiesRevision() uint64 { return m.duties.Revision }
