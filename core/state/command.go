// Package state is the replicated state machine: what the group of replicas
// agrees on. It holds the configuration in force (bundles and retirements),
// the audit trail and the records of calls that must not run twice or get
// lost. Apply is deterministic: it reads no clock and no randomness.
package state

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/duty"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/core/wire"
)

// CommandType tells which field of a Command is meant.
type CommandType uint8

// Kinds of commands.
const (
	// CommandGenesis names the operators trusted before the first bundle.
	CommandGenesis CommandType = iota + 1
	// CommandOrder is an operator's signed order.
	CommandOrder
	// CommandAccept records a durable call before it is acknowledged.
	CommandAccept
	// CommandClaim gives one entry the right to dispatch a call.
	CommandClaim
	// CommandRelease returns a claim: the call certainly did not run.
	CommandRelease
	// CommandFinish records the outcome of a claimed call.
	CommandFinish
	// CommandTakeOver moves an open durable call to another instance.
	CommandTakeOver
	// CommandOrderLease renews, takes over or reads the lease for engine orders.
	CommandOrderLease
	// CommandEngineOrder records an engine order before it is sent.
	CommandEngineOrder
	// CommandDeclare puts a routing declaration in force.
	CommandDeclare
	// CommandWithdraw notes that backend servers leave.
	CommandWithdraw
	// CommandRegister remembers backend servers that have announced themselves.
	CommandRegister
	// CommandRule remembers a ruling of the quarantine.
	CommandRule
	// CommandDuty claims or releases the lease of a duty.
	CommandDuty
	// CommandAct records an effect of a duty before it is sent, and gives it its fence.
	CommandAct
	// CommandUsage counts what instances report of runs.
	CommandUsage
)

// Command is one entry of the replicated log.
type Command struct {
	Type CommandType `msgpack:"t"`
	// NowMillis is the leader's wall clock in Unix milliseconds. The state
	// machine keeps the highest one seen, for retention only.
	NowMillis int64               `msgpack:"n"`
	Operators map[string]string   `msgpack:"o,omitempty"` // genesis: name to public key
	Order     *bundle.SignedOrder `msgpack:"r,omitempty"`
	Call      *CallCommand        `msgpack:"c,omitempty"`
	Lease     *LeaseCommand       `msgpack:"l,omitempty"`
	Engine    *EngineOrder        `msgpack:"e,omitempty"`
	Declare   *DeclareCommand     `msgpack:"d,omitempty"`
	// Withdraw is one withdrawal; Withdrawals are any number.
	Withdraw    *fleet.Withdrawal  `msgpack:"w,omitempty"`
	Withdrawals []fleet.Withdrawal `msgpack:"x,omitempty"`
	// Register is one server, as in logs that older versions wrote; Servers are any
	// number.
	Register *fleet.Server        `msgpack:"g,omitempty"`
	Servers  []fleet.Server       `msgpack:"v,omitempty"`
	Rule     *quarantine.Decision `msgpack:"u,omitempty"`
	Duty     *DutyCommand         `msgpack:"y,omitempty"`
	Act      *ActCommand          `msgpack:"a,omitempty"`
	Reports  []usage.Report       `msgpack:"p,omitempty"`
}

// CallCommand is the subject of the commands about one call.
type CallCommand struct {
	Key CallKey `msgpack:"k"`
	// CallID is drawn anew by each entry that handles the call; it makes
	// resent commands idempotent.
	CallID string `msgpack:"i"`
	// Owner is the instance process that handles the call.
	Owner string `msgpack:"o"`
	// RequestDigest detects a key that is used again for another request.
	RequestDigest string `msgpack:"d,omitempty"`
	Class         string `msgpack:"s,omitempty"`
	Idempotent    bool   `msgpack:"p,omitempty"`
	// Request is kept for durable calls until they finish.
	Request *StoredRequest `msgpack:"q,omitempty"`
	// Answer is set by CommandFinish.
	Answer *StoredAnswer `msgpack:"a,omitempty"`
	// PreviousOwner is whom CommandTakeOver expects.
	PreviousOwner string `msgpack:"w,omitempty"`
}

// CallKey identifies a call over resends by its caller.
type CallKey struct {
	Customer string `msgpack:"c"`
	Pool     string `msgpack:"p"`
	// Key is the caller's idempotency key, a UUIDv7.
	Key string `msgpack:"k"`
	// Millis is the key's own time in Unix milliseconds.
	Millis int64 `msgpack:"m"`
}

// StoredRequest is what another instance needs to run a durable call.
type StoredRequest struct {
	Method      string `msgpack:"m"`
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// Outcome is the final word on a call.
type Outcome string

// The three outcomes of a call.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "unknown"
)

// StoredAnswer is a recorded answer. Truncated answers keep their status and
// digest only.
type StoredAnswer struct {
	Outcome     Outcome `msgpack:"o"`
	Status      int     `msgpack:"s"`
	ContentType string  `msgpack:"t,omitempty"`
	Body        []byte  `msgpack:"b,omitempty"`
	Truncated   bool    `msgpack:"u,omitempty"`
}

// Limits on stored calls.
const (
	// Retention is how long a call is remembered, counted from its key's time.
	// Older keys are refused, so that forgetting can't cause a second run.
	Retention = 10 * time.Minute
	// MaxSkew is how far ahead of the group's clock a key's time may be.
	MaxSkew = time.Minute
	// MaxStoredAnswer bounds a recorded answer's body in bytes.
	MaxStoredAnswer = 16 << 10
	// MaxStoredRequest bounds a durable call's body in bytes.
	MaxStoredRequest = 256 << 10
)

// Code tells how a command ended.
type Code string

// Codes of results.
const (
	CodeOK Code = "ok"
	// CodeConflict: another version or another request holds the name.
	CodeConflict Code = "conflict"
	// CodeExists: the call is handled or finished elsewhere; see Record.
	CodeExists Code = "exists"
	// CodeExpired: the key's time is outside what is remembered.
	CodeExpired Code = "expired"
	// CodeStale: the order expects another generation, or the command comes
	// from an entry that no longer holds the call.
	CodeStale Code = "stale"
	// CodeRefused: not signed by a known operator, or invalid.
	CodeRefused Code = "refused"
)

// Result is what Apply answers to the proposer.
type Result struct {
	Code    Code        `msgpack:"c" json:"code"`
	Message string      `msgpack:"m,omitempty" json:"message,omitempty"`
	Order   OrderResult `msgpack:"o,omitempty" json:"order"`
	Record  *CallRecord `msgpack:"r,omitempty" json:"-"`
	Lease   *duty.Lease `msgpack:"l,omitempty" json:"-"`
	// Fence is the token of the effect that was recorded.
	Fence  uint64        `msgpack:"f,omitempty" json:"-"`
	Window *usage.Record `msgpack:"w,omitempty" json:"-"`
	// Counted has the last report that is counted of each process named in the command.
	Counted map[string]uint64 `msgpack:"n,omitempty" json:"-"`
}

// OrderResult describes the effect of an operator's order.
type OrderResult struct {
	// Generation is the one that the order brought in force, or the current
	// one when it changed nothing.
	Generation uint64 `msgpack:"g" json:"generation"`
	Version    uint64 `msgpack:"v" json:"version"`
	// WinnerDigest and WinnerOperator name the bundle that holds a contested
	// version.
	WinnerDigest   string `msgpack:"d,omitempty" json:"winner_digest,omitempty"`
	WinnerOperator string `msgpack:"o,omitempty" json:"winner_operator,omitempty"`
}

// Encode returns the command's bytes.
func (c *Command) Encode() []byte {
	data, err := msgpack.Marshal(c)
	if err != nil {
		panic(err) // plain data; encoding to memory can't fail
	}
	return data
}

// DecodeCommand reads a command's bytes.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := wire.Decode(data, &c); err != nil {
		return nil, err
	}
	return &c, nil
}
