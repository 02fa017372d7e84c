package state

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
)

// Machine is the state of one replica. Not safe for concurrent use.
type Machine struct {
	// nowMillis is the highest NowMillis of all applied commands.
	nowMillis  int64
	config     configState
	audit      auditState
	calls      callState
	placement  placementState
	routing    routingState
	quarantine quarantineState
	duties     dutyState
}

// New returns an empty state machine.
func New() *Machine {
	return &Machine{config: newConfigState(), calls: newCallState()}
}

// Apply executes a committed command. It is deterministic: equal machines that apply
// equal commands remain equal.
func (m *Machine) Apply(data []byte) Result {
	c, err := DecodeCommand(data)
	if err != nil {
		return Result{Code: CodeRefused, Message: "undecodable command: " + err.Error()}
	}
	m.nowMillis = max(m.nowMillis, c.NowMillis)
	switch {
	case c.Type == CommandBootstrap:
		return m.config.bootstrap(c.Operators)
	case c.Type == CommandOrder && c.Order != nil:
		return m.applyOrder(c.Order)
	case c.Type == CommandOrderLease && c.Lease != nil:
		return m.placement.lease(c.Lease)
	case c.Type == CommandEngineOrder && c.Engine != nil:
		return m.placement.recordOrder(c.Engine, m.loadsPerMinute(), m.nowMillis)
	case c.Type == CommandDeclare && c.Declare != nil:
		return m.routing.declare(c.Declare)
	case c.Type == CommandWithdraw && c.Withdraw != nil:
		return m.routing.withdraw([]fleet.Withdrawal{*c.Withdraw})
	case c.Type == CommandWithdraw && len(c.Withdrawals) > 0:
		return m.routing.withdraw(c.Withdrawals)
	case c.Type == CommandRegister && c.Register != nil:
		return m.routing.register([]fleet.Server{*c.Register})
	case c.Type == CommandRegister:
		return m.routing.register(c.Servers)
	case c.Type == CommandDecision && c.Decision != nil:
		return m.quarantine.storeDecision(*c.Decision, m.nowMillis)
	case c.Type == CommandDuty && c.Duty != nil:
		return m.duties.claim(c.Duty)
	case c.Type == CommandEffect && c.Effect != nil:
		return m.duties.recordEffect(c.Effect, m.nowMillis)
	case c.Type == CommandUsage:
		return m.duties.countReports(c.Reports)
	case c.Call != nil:
		m.calls.prune(m.nowMillis)
		return m.calls.apply(c.Type, c.Call, m.nowMillis)
	}
	return Result{Code: CodeRefused, Message: fmt.Sprintf("unknown command type %d", c.Type)}
}

func (m *Machine) loadsPerMinute() float64 {
	if b := m.Config().Bundle; b != nil {
		return b.WeightStore.LoadsPerMinute
	}
	return 0
}

// snapshot is the serialized form of a Machine.
type snapshot struct {
	NowMillis  int64           `msgpack:"n"`
	Config     configSnapshot  `msgpack:"c"`
	Audit      auditState      `msgpack:"a"`
	Calls      []*CallRecord   `msgpack:"r"`
	Placement  placementState  `msgpack:"p"`
	Routing    routingState    `msgpack:"t"`
	Quarantine quarantineState `msgpack:"q"`
	Duties     dutyState       `msgpack:"d"`
}

// Snapshot serializes the machine.
func (m *Machine) Snapshot() []byte {
	s := snapshot{NowMillis: m.nowMillis, Config: m.config.snapshot(), Audit: m.audit, Calls: m.calls.list(), Placement: m.placement, Routing: m.routing, Quarantine: m.quarantine, Duties: m.duties}
	data, err := msgpack.Marshal(&s)
	if err != nil {
		panic(err) // unreachable: the struct has only encodable fields
	}
	return data
}

// Restore replaces the machine's state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := wire.Decode(data, &s); err != nil {
		return err
	}
	config, err := s.Config.restore()
	if err != nil {
		return err
	}
	*m = Machine{nowMillis: s.NowMillis, config: config, audit: s.Audit, calls: newCallState(), placement: s.Placement, routing: s.Routing, quarantine: s.Quarantine, duties: s.Duties}
	m.routing.restoreSoftware()
	for _, r := range s.Calls {
		m.calls.put(r)
	}
	return nil
}
