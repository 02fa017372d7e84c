// Package bundle defines the declarations that operators keep in version
// control: request classes with tiers and targets, pools of backend servers,
// customers, and the operators' own keys. It decodes them from TOML, checks
// them with every error at once, gives them canonical bytes and a digest, and
// computes small deltas between two of them.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// Duration is a time span written as in Go, for example "400ms".
type Duration time.Duration

// UnmarshalText reads a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the standard type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// QueueOrder is how calls of one class wait.
type QueueOrder string

// Orders of waiting calls.
const (
	// QueueFIFO serves the oldest call first. The default.
	QueueFIFO QueueOrder = "fifo"
	// QueueNewest serves the newest call first; under overload more calls
	// meet their targets and some wait until they are refused.
	QueueNewest QueueOrder = "newest"
	// QueueAttainable serves the oldest call that can still meet its first-token
	// target; calls that have lost it run when there is none, and in a fixed
	// part of the grants, so that each of them runs. Nothing is refused by it.
	QueueAttainable QueueOrder = "attainable"
)

// GiveUp is when a waiting call is refused.
type GiveUp string

// Times at which a waiting call is refused with a final answer.
const (
	// GiveUpDeadline refuses at the call's deadline. The default.
	GiveUpDeadline GiveUp = "deadline"
	// GiveUpFirstToken refuses once the first-token target can't be met any
	// more because the call has waited for it.
	GiveUpFirstToken GiveUp = "first_token"
)

// WhenIsolated is what an entry does with new calls while it has no fresh
// configuration lease.
type WhenIsolated string

// Behaviours of an entry without a fresh configuration lease.
const (
	// IsolatedRefuse answers not_run with other addresses. The default, and
	// the only choice for classes that are not idempotent.
	IsolatedRefuse WhenIsolated = "refuse"
	// IsolatedServe goes on with the last known configuration for
	// Class.IsolatedFor.
	IsolatedServe WhenIsolated = "serve"
)

// Class is a kind of request: its rank, its targets and its promises.
type Class struct {
	// Tier is the rank; 1 is the highest, at most MaxTier.
	Tier int `toml:"tier" msgpack:"t"`
	// Idempotent allows a call to be sent again after a failure. When false a
	// call needs an idempotency key and runs at most once.
	Idempotent bool `toml:"idempotent" msgpack:"i"`
	// Durable calls are recorded before they are dispatched and are taken over
	// by another instance if the first one dies.
	Durable bool `toml:"durable" msgpack:"d,omitempty"`
	// FirstTokenTarget bounds the time to the first token (or, at a plain
	// service, to the answer). Required.
	FirstTokenTarget Duration `toml:"first_token_target" msgpack:"f"`
	// PerTokenTarget bounds the mean time between tokens. 0 is no target.
	PerTokenTarget Duration `toml:"per_token_target" msgpack:"p,omitempty"`
	// TotalTarget bounds the time to the end of the answer. 0 is no target.
	TotalTarget Duration `toml:"total_target" msgpack:"o,omitempty"`
	// Deadline is the longest time to the answer's end that a caller gets
	// when it names none. Required.
	Deadline Duration `toml:"deadline" msgpack:"l"`
	// Share is the guaranteed part of a pool's work under overload, 0 to 0.5.
	Share float64 `toml:"share" msgpack:"s"`
	// Order and GiveUp: see the types.
	Order  QueueOrder `toml:"order" msgpack:"r"`
	GiveUp GiveUp     `toml:"give_up" msgpack:"g"`
	// MaxOutputTokens caps the output length. 0 is no cap.
	MaxOutputTokens int `toml:"max_output_tokens" msgpack:"m,omitempty"`
	// WhenIsolated and IsolatedFor: see the type.
	WhenIsolated WhenIsolated `toml:"when_isolated" msgpack:"w"`
	IsolatedFor  Duration     `toml:"isolated_for" msgpack:"z,omitempty"`
}

// PoolKind is the protocol that a pool's backend servers speak.
type PoolKind string

// Kinds of pools.
const (
	// PoolModel: chat completions with server-sent events.
	PoolModel PoolKind = "model"
	// PoolService: plain HTTP calls.
	PoolService PoolKind = "service"
)

// Pool is a set of backend servers that are alike: one model or one service.
type Pool struct {
	Kind PoolKind `toml:"kind" msgpack:"k"`
	// DefaultClass is used when a call names no class.
	DefaultClass string `toml:"default_class" msgpack:"c"`
	// AnnounceTokens are SHA-256 digests (hex) of the tokens with which its
	// servers announce themselves; several allow rotation.
	AnnounceTokens []string `toml:"announce_token_sha256" msgpack:"a"`
	// EngineVersion is the model version that its engines are ordered to load,
	// one engine at a time; empty leaves them alone.
	EngineVersion string `toml:"engine_version" msgpack:"v,omitempty"`
	// Adapters are loaded with it.
	Adapters []string `toml:"adapters" msgpack:"d,omitempty"`
	// ChecksFencing: the engines refuse orders with an old fencing number. For
	// others a new orderer first waits until no older order can be on its way.
	ChecksFencing bool `toml:"checks_fencing" msgpack:"f,omitempty"`
}

// WeightStore is the store that engines load models from.
type WeightStore struct {
	// LoadsPerMinute limits engine orders over all pools. 0 is no limit.
	LoadsPerMinute float64 `toml:"loads_per_minute" msgpack:"l"`
}

// Customer is an application with keys and limits.
type Customer struct {
	// Keys are SHA-256 digests (hex) of its bearer keys; several allow
	// rotation.
	Keys []string `toml:"key_sha256" msgpack:"k"`
	// Weight is its part among the customers of one class. Default 1.
	Weight float64 `toml:"weight" msgpack:"w"`
	// RequestsPerSecond and Burst limit its calls per pool over all entries.
	// 0 is no limit.
	RequestsPerSecond float64 `toml:"requests_per_second" msgpack:"r,omitempty"`
	Burst             int     `toml:"burst" msgpack:"b,omitempty"`
	// MaxRunning limits its running calls per pool. 0 is no limit.
	MaxRunning int `toml:"max_running" msgpack:"m,omitempty"`
}

// Operator may sign orders.
type Operator struct {
	// PublicKey is an ed25519 key in base64.
	PublicKey string `toml:"public_key" msgpack:"k"`
}

// Bundle is one version of all declarations.
type Bundle struct {
	// Version is chosen by the operators and must rise with each bundle.
	Version uint64 `toml:"version" msgpack:"v"`
	// Description is free text for the audit trail.
	Description string              `toml:"description" msgpack:"d,omitempty"`
	Classes     map[string]Class    `toml:"classes" msgpack:"c"`
	Pools       map[string]Pool     `toml:"pools" msgpack:"p"`
	Customers   map[string]Customer `toml:"customers" msgpack:"u"`
	Operators   map[string]Operator `toml:"operators" msgpack:"o"`
	WeightStore WeightStore         `toml:"weight_store" msgpack:"w"`
}

// Canonical returns bytes that depend on the content only: map keys are
// sorted.
func (b *Bundle) Canonical() []byte {
	enc := canonicalBundle{
		Version: b.Version, Description: b.Description,
		Classes: sorted(b.Classes), Pools: sorted(b.Pools),
		Customers: sorted(b.Customers), Operators: sorted(b.Operators), WeightStore: b.WeightStore,
	}
	data, err := msgpack.Marshal(&enc)
	if err != nil {
		panic(err) // plain data; encoding to memory can't fail
	}
	return data
}

// Digest returns the SHA-256 of the canonical bytes in hex.
func (b *Bundle) Digest() string {
	sum := sha256.Sum256(b.Canonical())
	return hex.EncodeToString(sum[:])
}

type named[T any] struct {
	Name  string `msgpack:"n"`
	Value T      `msgpack:"v"`
}

type canonicalBundle struct {
	Version     uint64            `msgpack:"v"`
	Description string            `msgpack:"d"`
	Classes     []named[Class]    `msgpack:"c"`
	Pools       []named[Pool]     `msgpack:"p"`
	Customers   []named[Customer] `msgpack:"u"`
	Operators   []named[Operator] `msgpack:"o"`
	WeightStore WeightStore       `msgpack:"w"`
}

func sorted[T any](m map[string]T) []named[T] {
	out := make([]named[T], 0, len(m))
	for k, v := range m {
		out = append(out, named[T]{k, v})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Decode reads canonical bytes.
func Decode(data []byte) (*Bundle, error) {
	var enc canonicalBundle
	if err := wire.Decode(data, &enc); err != nil {
		return nil, err
	}
	b := &Bundle{Version: enc.Version, Description: enc.Description,
		Classes: unsorted(enc.Classes), Pools: unsorted(enc.Pools),
		Customers: unsorted(enc.Customers), Operators: unsorted(enc.Operators), WeightStore: enc.WeightStore}
	return b, nil
}

func unsorted[T any](list []named[T]) map[string]T {
	out := make(map[string]T, len(list))
	for _, x := range list {
		out[x.Name] = x.Value
	}
	return out
}
