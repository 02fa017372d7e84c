// Package routing defines the operators' routing declaration: routes by host and path
// prefix, the pools that serve them, customers and their keys, and limits on requests.
// A declaration is always complete and has a version; the highest version is active.
//
// The package performs no I/O: it validates declarations and answers lookups.
package routing

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/wire"
)

// Semantics is the kind of a route's calls, which determines whether they may be retried.
type Semantics uint8

// Call semantics.
const (
	// AtMostOnce calls run at most once. It is the zero value, so that calls of an
	// unknown kind are never retried.
	AtMostOnce Semantics = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls are answered with a stream of events. They run at most once unless
	// the route is Resumable.
	Stream
)

// String returns the name used in logs.
func (s Semantics) String() string {
	switch s {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "at_most_once"
}

// Declaration is one version of the complete routing configuration.
type Declaration struct {
	Version   uint64     `msgpack:"v"`
	Routes    []Route    `msgpack:"r"`
	Pools     []Pool     `msgpack:"p"`
	Customers []Customer `msgpack:"c"`
	Limits    Limits     `msgpack:"l"`
}

// Route maps the calls of a host under a path prefix to pools.
type Route struct {
	Name       string    `msgpack:"n"`
	Host       string    `msgpack:"h"`
	PathPrefix string    `msgpack:"x"`
	Semantics  Semantics `msgpack:"s"`
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration `msgpack:"t"`
	// TargetLatency is the target time to the answer, or to a stream's first event.
	TargetLatency time.Duration `msgpack:"a"`
	// TargetGap is the target for the longest gap between two events of a stream; zero
	// means none.
	TargetGap time.Duration `msgpack:"g"`
	// Tier is the priority tier; 0 is the highest.
	Tier int `msgpack:"i"`
	// Targets divide the route's calls by weight.
	Targets []Target `msgpack:"w"`
	// MaxAttempts limits the number of backend servers that one call is sent to.
	MaxAttempts int `msgpack:"m"`
	// Public routes require no key.
	Public bool `msgpack:"o"`
	// PromptAware routes carry prompts whose common prefixes are cached by engines.
	PromptAware bool `msgpack:"k"`
	// Resumable streams may continue on another backend server.
	Resumable bool `msgpack:"e"`
}

// Retryable reports whether a call may be retried after it may have run.
func (r *Route) Retryable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// HasTarget reports whether calls of the route may go to a pool.
func (r *Route) HasTarget(pool string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool == pool && t.Weight > 0 })
}

// HasOnlyTarget reports whether all calls of the route go to a pool.
func (r *Route) HasOnlyTarget(pool string) bool {
	return r.HasTarget(pool) && !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool != pool && t.Weight > 0 })
}

// Parameters of EventTimeout, as agreed with the callers.
const (
	minEventTimeout     = 2 * time.Second
	targetLatencyFactor = 4
	targetGapFactor     = 8
)

// EventTimeout is how long callers wait for the next event of a stream, including the
// first one, before they disconnect.
func (r *Route) EventTimeout() time.Duration {
	if r.Semantics != Stream {
		return r.Timeout
	}
	return max(minEventTimeout, targetLatencyFactor*r.TargetLatency, targetGapFactor*r.TargetGap)
}

// Target is a pool with its weight in a route.
type Target struct {
	Pool   string `msgpack:"p"`
	Weight int    `msgpack:"w"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string `msgpack:"n"`
	// MaxConnections limits the connections to one backend server, summed over all
	// instances. Zero means no limit.
	MaxConnections int `msgpack:"c"`
	// Engine is nil for plain services.
	Engine *Engine `msgpack:"e,omitempty"`
	// Scaling defines how the pool may be scaled; nil if it can't be.
	Scaling *capacity.Scaling `msgpack:"s,omitempty"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of calls that one engine runs concurrently.
	Slots int `msgpack:"s"`
	// KVTokens is the capacity of the engine's KV cache in tokens.
	KVTokens int `msgpack:"k"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `msgpack:"t"`
}

// Customer is an application and its API keys.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Rank is the priority of the customer within a route's tier; 0 is the highest.
	Rank int `msgpack:"i,omitempty"`
}

// Limits restrict callers' requests. Zero means the built-in default.
type Limits struct {
	MaxHeaderBytes int           `msgpack:"h"`
	MaxBodyBytes   int64         `msgpack:"b"`
	HeaderTimeout  time.Duration `msgpack:"t"`
	IdleTimeout    time.Duration `msgpack:"i"`
}

// Encode serializes the declaration.
func (d *Declaration) Encode() ([]byte, error) { return msgpack.Marshal(d) }

// Decode parses a serialized declaration.
func Decode(data []byte) (*Declaration, error) {
	var d Declaration
	if err := wire.Decode(data, &d); err != nil {
		return nil, err
	}
	return &d, nil
}
