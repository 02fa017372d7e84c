// Package routing holds what operators declare about the traffic that passes
// through: routes by host and path prefix, the pools that serve them, the
// customers and their keys, and what callers may send. A declaration is whole
// and carries a version; the highest version is in force.
//
// The package is pure: it checks declarations and answers look-ups.
package routing

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/wire"
)

// Semantics tells what may be repeated.
type Semantics uint8

// The semantics of a route's calls.
const (
	// AtMostOnce calls run once at most; the zero value, so that an unknown kind
	// of call is never repeated.
	AtMostOnce Semantics = iota
	// Idempotent calls may run again.
	Idempotent
	// Stream calls are answered by a series of events. They run once at most
	// unless the route is Resumable.
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

// Declaration is one version of everything that operators declare.
type Declaration struct {
	Version   uint64     `msgpack:"v"`
	Routes    []Route    `msgpack:"r"`
	Pools     []Pool     `msgpack:"p"`
	Customers []Customer `msgpack:"c"`
	Limits    Limits     `msgpack:"l"`
}

// Route sends the calls of a host under a path prefix to pools.
type Route struct {
	Name       string    `msgpack:"n"`
	Host       string    `msgpack:"h"`
	PathPrefix string    `msgpack:"x"`
	Semantics  Semantics `msgpack:"s"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `msgpack:"t"`
	// TargetLatency is the time to the answer, or to a stream's first event,
	// that the operator wants.
	TargetLatency time.Duration `msgpack:"a"`
	// TargetGap is the longest pause between two events of a stream that is
	// still on time; zero where none is declared.
	TargetGap time.Duration `msgpack:"g"`
	// Tier is the rank; 0 is the highest.
	Tier int `msgpack:"i"`
	// Targets share the route's calls by weight.
	Targets []Target `msgpack:"w"`
	// MaxAttempts bounds the backend servers that one call is sent to.
	MaxAttempts int `msgpack:"m"`
	// Public routes need no key.
	Public bool `msgpack:"o"`
	// PromptAware routes carry prompts whose shared parts are cached.
	PromptAware bool `msgpack:"k"`
	// Resumable streams may go on at another backend server.
	Resumable bool `msgpack:"e"`
}

// Repeatable reports whether a call may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// Limits of a caller's patience with a silent stream, as callers have agreed.
const (
	leastSilence  = 2 * time.Second
	silentTargets = 4
	silentGaps    = 8
)

// EventTimeout is how long callers wait for the next event of a stream, the first one
// included, before they leave.
func (r *Route) EventTimeout() time.Duration {
	if r.Semantics != Stream {
		return r.Timeout
	}
	return max(leastSilence, silentTargets*r.TargetLatency, silentGaps*r.TargetGap)
}

// Target is a pool with its share of a route's calls.
type Target struct {
	Pool   string `msgpack:"p"`
	Weight int    `msgpack:"w"`
}

// Pool is a set of backend servers that answer the same calls.
type Pool struct {
	Name string `msgpack:"n"`
	// MaxConnections bounds the connections to one backend server, from all
	// instances together. Zero means no bound.
	MaxConnections int `msgpack:"c"`
	// Engine is nil for plain services.
	Engine *Engine `msgpack:"e,omitempty"`
	// Scaling says what may be ordered for the pool; nil where nothing can.
	Scaling *capacity.Scaling `msgpack:"s,omitempty"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is how many calls one engine runs at once.
	Slots int `msgpack:"s"`
	// KVTokens is the engine's memory for prompts and answers, in tokens.
	KVTokens int `msgpack:"k"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int `msgpack:"t"`
}

// Customer is an application with keys.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Rank orders customers within a route's tier; 0 is the highest.
	Rank int `msgpack:"i,omitempty"`
}

// Limits bound what a caller may send. Zero means the product's default.
type Limits struct {
	MaxHeaderBytes int           `msgpack:"h"`
	MaxBodyBytes   int64         `msgpack:"b"`
	HeaderTimeout  time.Duration `msgpack:"t"`
	IdleTimeout    time.Duration `msgpack:"i"`
}

// Encode returns the declaration's bytes.
func (d *Declaration) Encode() ([]byte, error) { return msgpack.Marshal(d) }

// Decode reads a declaration's bytes.
func Decode(data []byte) (*Declaration, error) {
	var d Declaration
	if err := wire.Decode(data, &d); err != nil {
		return nil, err
	}
	return &d, nil
}
