// Package bundle defines the configuration that operators keep in version control:
// request classes with tiers and targets, pools of backend servers, customers, and the
// operators' own keys. It parses bundles from TOML, validates them with all errors at
// once, computes their canonical encoding and digest, and the deltas between them.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// Duration is a time.Duration with a text form such as "400ms".
type Duration time.Duration

// UnmarshalText parses a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText formats a Go duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// QueueOrder is the order in which waiting calls of a class are served.
type QueueOrder string

// Queue orders.
const (
	// QueueFIFO serves the oldest call first. The default.
	QueueFIFO QueueOrder = "fifo"
	// QueueNewest serves the newest call first. Under overload more calls meet their
	// targets, and some wait until they are refused.
	QueueNewest QueueOrder = "newest"
	// QueueAttainable serves the oldest call that can still meet its first-token target.
	// Calls that have missed it run when there is no such call, and in a fixed share of
	// the grants, so that they are not starved. It refuses no calls.
	QueueAttainable QueueOrder = "attainable"
)

// GiveUp determines when a waiting call is refused.
type GiveUp string

// Conditions under which a waiting call is refused with a final answer.
const (
	// GiveUpDeadline refuses at the call's deadline. The default.
	GiveUpDeadline GiveUp = "deadline"
	// GiveUpFirstToken refuses as soon as waiting has made the first-token target
	// unattainable.
	GiveUpFirstToken GiveUp = "first_token"
)

// WhenIsolated determines how an entry handles new calls while it has no valid
// configuration lease.
type WhenIsolated string

// Behaviors of an entry without a valid configuration lease.
const (
	// IsolatedRefuse refuses calls with outcome not_run and returns the addresses of
	// other entries. It is the default, and required for classes that are not idempotent.
	IsolatedRefuse WhenIsolated = "refuse"
	// IsolatedServe continues with the last known configuration for Class.IsolatedFor.
	IsolatedServe WhenIsolated = "serve"
)

// Class is a class of requests with its priority tier, targets and guarantees.
type Class struct {
	// Tier is the priority tier, from 1 (highest) to MaxTier.
	Tier int `toml:"tier" msgpack:"t"`
	// Idempotent calls may be retried after a failure. Other calls need an idempotency key
	// and run at most once.
	Idempotent bool `toml:"idempotent" msgpack:"i"`
	// Durable calls are recorded before they are dispatched, and taken over by another
	// instance if the first one fails.
	Durable bool `toml:"durable" msgpack:"d,omitempty"`
	// FirstTokenTarget is the target time to the first token, or to the answer of a plain
	// service. Required.
	FirstTokenTarget Duration `toml:"first_token_target" msgpack:"f"`
	// PerTokenTarget is the target mean time between tokens. 0 means no target.
	PerTokenTarget Duration `toml:"per_token_target" msgpack:"p,omitempty"`
	// TotalTarget is the target time to the end of the answer. 0 means no target.
	TotalTarget Duration `toml:"total_target" msgpack:"o,omitempty"`
	// Deadline is the default deadline for the complete answer, used when the caller
	// specifies none. Required.
	Deadline Duration `toml:"deadline" msgpack:"l"`
	// Share is the guaranteed share of a pool's capacity under overload, 0 to 0.5.
	Share float64 `toml:"share" msgpack:"s"`
	// Order and GiveUp: see the types.
	Order  QueueOrder `toml:"order" msgpack:"r"`
	GiveUp GiveUp     `toml:"give_up" msgpack:"g"`
	// MaxOutputTokens limits the output length. 0 means no limit.
	MaxOutputTokens int `toml:"max_output_tokens" msgpack:"m,omitempty"`
	// WhenIsolated and IsolatedFor: see the type.
	WhenIsolated WhenIsolated `toml:"when_isolated" msgpack:"w"`
	IsolatedFor  Duration     `toml:"isolated_for" msgpack:"z,omitempty"`
}

// PoolKind is the protocol that a pool's backend servers speak.
type PoolKind string

// Kinds of pools.
const (
	// PoolModel servers serve chat completions with server-sent events.
	PoolModel PoolKind = "model"
	// PoolService servers serve plain HTTP calls.
	PoolService PoolKind = "service"
)

// Pool is a set of interchangeable backend servers of one model or service.
type Pool struct {
	Kind PoolKind `toml:"kind" msgpack:"k"`
	// DefaultClass is used when a call specifies no class.
	DefaultClass string `toml:"default_class" msgpack:"c"`
	// AnnounceTokens are SHA-256 digests (hex) of the tokens with which the pool's
	// backend servers announce themselves. Several tokens allow rotation.
	AnnounceTokens []string `toml:"announce_token_sha256" msgpack:"a"`
	// EngineVersion is the model version that the engines are instructed to load, one
	// engine at a time. If it is empty, no orders are sent.
	EngineVersion string `toml:"engine_version" msgpack:"v,omitempty"`
	// Adapters are loaded together with EngineVersion.
	Adapters []string `toml:"adapters" msgpack:"d,omitempty"`
	// ChecksFencing means that the engines reject orders with an old fencing token. For
	// other engines, a new lease holder first waits until no older order can still be in
	// transit.
	ChecksFencing bool `toml:"checks_fencing" msgpack:"f,omitempty"`
}

// WeightStore is the storage from which engines load models.
type WeightStore struct {
	// LoadsPerMinute limits engine orders across all pools. 0 means no limit.
	LoadsPerMinute float64 `toml:"loads_per_minute" msgpack:"l"`
}

// Customer is an application with its API keys and limits.
type Customer struct {
	// Keys are SHA-256 digests (hex) of the customer's bearer keys. Several keys allow
	// rotation.
	Keys []string `toml:"key_sha256" msgpack:"k"`
	// Weight is the customer's relative share within a class. Default 1.
	Weight float64 `toml:"weight" msgpack:"w"`
	// RequestsPerSecond and Burst limit the customer's calls per pool across all entries.
	// 0 means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second" msgpack:"r,omitempty"`
	Burst             int     `toml:"burst" msgpack:"b,omitempty"`
	// MaxRunning limits the customer's running calls per pool. 0 means no limit.
	MaxRunning int `toml:"max_running" msgpack:"m,omitempty"`
}

// Operator is a person or system that may sign orders.
type Operator struct {
	// PublicKey is an ed25519 key in base64.
	PublicKey string `toml:"public_key" msgpack:"k"`
}

// Bundle is one version of the complete configuration.
type Bundle struct {
	// Version is set by the operators and must increase with each bundle.
	Version uint64 `toml:"version" msgpack:"v"`
	// Description is free text for the audit trail.
	Description string              `toml:"description" msgpack:"d,omitempty"`
	Classes     map[string]Class    `toml:"classes" msgpack:"c"`
	Pools       map[string]Pool     `toml:"pools" msgpack:"p"`
	Customers   map[string]Customer `toml:"customers" msgpack:"u"`
	Operators   map[string]Operator `toml:"operators" msgpack:"o"`
	WeightStore WeightStore         `toml:"weight_store" msgpack:"w"`
}

// Canonical returns the canonical encoding, which depends only on the content: map
// entries are sorted by name.
func (b *Bundle) Canonical() []byte {
	enc := canonicalBundle{
		Version: b.Version, Description: b.Description,
		Classes: sortedList(b.Classes), Pools: sortedList(b.Pools),
		Customers: sortedList(b.Customers), Operators: sortedList(b.Operators), WeightStore: b.WeightStore,
	}
	data, err := msgpack.Marshal(&enc)
	if err != nil {
		panic(err) // unreachable: the struct has only encodable fields
	}
	return data
}

// Digest returns the SHA-256 digest of the canonical encoding in hex.
func (b *Bundle) Digest() string {
	sum := sha256.Sum256(b.Canonical())
	return hex.EncodeToString(sum[:])
}

type namedValue[T any] struct {
	Name  string `msgpack:"n"`
	Value T      `msgpack:"v"`
}

type canonicalBundle struct {
	Version     uint64                 `msgpack:"v"`
	Description string                 `msgpack:"d"`
	Classes     []namedValue[Class]    `msgpack:"c"`
	Pools       []namedValue[Pool]     `msgpack:"p"`
	Customers   []namedValue[Customer] `msgpack:"u"`
	Operators   []namedValue[Operator] `msgpack:"o"`
	WeightStore WeightStore            `msgpack:"w"`
}

func sortedList[T any](m map[string]T) []namedValue[T] {
	out := make([]namedValue[T], 0, len(m))
	for k, v := range m {
		out = append(out, namedValue[T]{k, v})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Decode parses a canonical encoding.
func Decode(data []byte) (*Bundle, error) {
	var enc canonicalBundle
	if err := wire.Decode(data, &enc); err != nil {
		return nil, err
	}
	b := &Bundle{Version: enc.Version, Description: enc.Description,
		Classes: toMap(enc.Classes), Pools: toMap(enc.Pools),
		Customers: toMap(enc.Customers), Operators: toMap(enc.Operators), WeightStore: enc.WeightStore}
	return b, nil
}

func toMap[T any](list []namedValue[T]) map[string]T {
	out := make(map[string]T, len(list))
	for _, x := range list {
		out[x.Name] = x.Value
	}
	return out
}
