package state

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
)

// Machine is the state of one replica. Not safe for concurrent use.
type Machine struct {
	// NowMillis is the highest clock value applied.
	nowMillis  int64
	config     configState
	audit      auditState
	calls      callState
	placement  placementState
	routing    routingState
	quarantine quarantineState
	duties     dutyState
}

// New returns the empty machine that every group starts from.
func New() *Machine {
	return &Machine{config: newConfigState(), calls: newCallState()}
}

// Apply executes the committed command with the log index. Equal machines
// stay equal when they apply equal commands.
func (m *Machine) Apply(data []byte) Result {
	c, err := DecodeCommand(data)
	if err != nil {
		return Result{Code: CodeRefused, Message: "undecodable command: " + err.Error()}
	}
	m.nowMillis = max(m.nowMillis, c.NowMillis)
	switch {
	case c.Type == CommandGenesis:
		return m.config.genesis(c.Operators)
	case c.Type == CommandOrder && c.Order != nil:
		return m.applyOrder(c.Order)
	case c.Type == CommandOrderLease && c.Lease != nil:
		return m.placement.lease(c.Lease)
	case c.Type == CommandEngineOrder && c.Engine != nil:
		return m.placement.order(c.Engine, m.loadsPerMinute(), m.nowMillis)
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
	case c.Type == CommandRule && c.Rule != nil:
		return m.quarantine.rule(*c.Rule, m.nowMillis)
	case c.Type == CommandDuty && c.Duty != nil:
		return m.duties.claim(c.Duty)
	case c.Type == CommandAct && c.Act != nil:
		return m.duties.act(c.Act, m.nowMillis)
	case c.Type == CommandUsage:
		return m.duties.report(c.Reports)
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

// Snapshot returns the machine's bytes.
func (m *Machine) Snapshot() []byte {
	s := snapshot{NowMillis: m.nowMillis, Config: m.config.snapshot(), Audit: m.audit, Calls: m.calls.list(), Placement: m.placement, Routing: m.routing, Quarantine: m.quarantine, Duties: m.duties}
	data, err := msgpack.Marshal(&s)
	if err != nil {
		panic(err) // plain data; encoding to memory can't fail
	}
	return data
}

// Restore replaces the machine's state by a snapshot.
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
	for _, r := range s.Calls {
		m.calls.put(r)
	}
	return nil
}
