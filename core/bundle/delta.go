package bundle

import (
	"errors"
	"reflect"
	"sort"
)

// Delta turns one bundle into another. Its size follows what changed, not the
// size of the bundle.
type Delta struct {
	From        string         `msgpack:"f"` // digest of the bundle it applies to
	To          string         `msgpack:"t"` // digest of the result
	Version     uint64         `msgpack:"v"`
	Description string         `msgpack:"d,omitempty"`
	Classes     edit[Class]    `msgpack:"c"`
	Pools       edit[Pool]     `msgpack:"p"`
	Customers   edit[Customer] `msgpack:"u"`
	Operators   edit[Operator] `msgpack:"o"`
	WeightStore WeightStore    `msgpack:"w"`
}

type edit[T any] struct {
	Set    map[string]T `msgpack:"s,omitempty"`
	Remove []string     `msgpack:"r,omitempty"`
}

// ErrDeltaMismatch: the delta does not belong to this bundle.
var ErrDeltaMismatch = errors.New("bundle: delta does not apply to this bundle")

// Diff returns the delta between two bundles.
func Diff(from, to *Bundle) *Delta {
	return &Delta{From: from.Digest(), To: to.Digest(), Version: to.Version, Description: to.Description,
		Classes: diffMap(from.Classes, to.Classes), Pools: diffMap(from.Pools, to.Pools),
		Customers: diffMap(from.Customers, to.Customers), Operators: diffMap(from.Operators, to.Operators), WeightStore: to.WeightStore}
}

func diffMap[T any](from, to map[string]T) edit[T] {
	var e edit[T]
	for k, v := range to {
		if old, ok := from[k]; !ok || !reflect.DeepEqual(old, v) {
			if e.Set == nil {
				e.Set = map[string]T{}
			}
			e.Set[k] = v
		}
	}
	for k := range from {
		if _, ok := to[k]; !ok {
			e.Remove = append(e.Remove, k)
		}
	}
	sort.Strings(e.Remove)
	return e
}

// Apply returns the bundle that the delta leads to.
func (d *Delta) Apply(b *Bundle) (*Bundle, error) {
	if b.Digest() != d.From {
		return nil, ErrDeltaMismatch
	}
	out := &Bundle{Version: d.Version, Description: d.Description,
		Classes: d.Classes.apply(b.Classes), Pools: d.Pools.apply(b.Pools),
		Customers: d.Customers.apply(b.Customers), Operators: d.Operators.apply(b.Operators), WeightStore: d.WeightStore}
	if out.Digest() != d.To {
		return nil, ErrDeltaMismatch
	}
	return out, nil
}

func (e edit[T]) apply(m map[string]T) map[string]T {
	out := make(map[string]T, len(m))
	for k, v := range m {
		out[k] = v
	}
	for k, v := range e.Set {
		out[k] = v
	}
	for _, k := range e.Remove {
		delete(out, k)
	}
	return out
}

// Lines describes the delta for people, one line per change.
func (d *Delta) Lines() []string {
	var out []string
	out = append(out, lines("classes", d.Classes)...)
	out = append(out, lines("pools", d.Pools)...)
	out = append(out, lines("customers", d.Customers)...)
	return append(out, lines("operators", d.Operators)...)
}
