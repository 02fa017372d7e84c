package bundle

import (
	"errors"
	"reflect"
	"sort"
)

// Delta is the difference between two bundles. Its size depends on the number of changes,
// not on the size of the bundles.
type Delta struct {
	From        string             `msgpack:"f"` // digest of the base bundle
	To          string             `msgpack:"t"` // digest of the result
	Version     uint64             `msgpack:"v"`
	Description string             `msgpack:"d,omitempty"`
	Classes     mapDelta[Class]    `msgpack:"c"`
	Pools       mapDelta[Pool]     `msgpack:"p"`
	Customers   mapDelta[Customer] `msgpack:"u"`
	Operators   mapDelta[Operator] `msgpack:"o"`
	WeightStore WeightStore        `msgpack:"w"`
}

type mapDelta[T any] struct {
	Set    map[string]T `msgpack:"s,omitempty"`
	Remove []string     `msgpack:"r,omitempty"`
}

// ErrDeltaMismatch means that the delta was computed from another bundle.
var ErrDeltaMismatch = errors.New("bundle: delta does not apply to this bundle")

// Diff returns the delta between two bundles.
func Diff(from, to *Bundle) *Delta {
	return &Delta{From: from.Digest(), To: to.Digest(), Version: to.Version, Description: to.Description,
		Classes: diffMap(from.Classes, to.Classes), Pools: diffMap(from.Pools, to.Pools),
		Customers: diffMap(from.Customers, to.Customers), Operators: diffMap(from.Operators, to.Operators), WeightStore: to.WeightStore}
}

func diffMap[T any](from, to map[string]T) mapDelta[T] {
	var e mapDelta[T]
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

// Apply returns the bundle that results from applying the delta to b.
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

func (e mapDelta[T]) apply(m map[string]T) map[string]T {
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

// Lines returns a readable description of the delta, one line per change.
func (d *Delta) Lines() []string {
	var out []string
	out = append(out, deltaLines("classes", d.Classes)...)
	out = append(out, deltaLines("pools", d.Pools)...)
	out = append(out, deltaLines("customers", d.Customers)...)
	return append(out, deltaLines("operators", d.Operators)...)
}
