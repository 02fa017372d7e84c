package state

import (
	"fmt"
	"slices"

	"cardamomwick.example/core/bundle"
)

// keptChanges is how many generations back a delta can be served.
const keptChanges = 256

// Config is the configuration in force. Values are shared and read-only.
type Config struct {
	// Generation rises by one with every accepted order and never goes back.
	Generation uint64
	// Bundle is nil before the first publish.
	Bundle *bundle.Bundle
	// Retired maps retired backend servers to the generation that did it.
	Retired map[string]uint64
}

// Change is the step from one generation to the next.
type Change struct {
	Generation uint64        `msgpack:"g"`
	Delta      *bundle.Delta `msgpack:"d,omitempty"`
	Retire     string        `msgpack:"r,omitempty"`
}

// Update brings a holder of an older configuration up to date: either Changes
// in order, or a Full configuration.
type Update struct {
	Generation uint64            `msgpack:"g"`
	Changes    []Change          `msgpack:"c,omitempty"`
	Full       bool              `msgpack:"f,omitempty"`
	Bundle     []byte            `msgpack:"b,omitempty"`
	Retired    map[string]uint64 `msgpack:"r,omitempty"`
}

// History is a configuration with the changes that led to it, from which
// holders of older ones are brought up to date. The replicas have one, and every
// instance that passes its lease on. Not safe for concurrent use.
type History struct {
	current Config
	// changes lead up to current, one per generation.
	changes []Change
}

// NewHistory returns the empty configuration.
func NewHistory() History { return History{current: Config{Retired: map[string]uint64{}}} }

// Current returns the configuration in force.
func (h *History) Current() Config { return h.current }

// Since returns what a holder of the given generation lacks.
func (h *History) Since(generation uint64) Update {
	u := Update{Generation: h.current.Generation}
	if generation == h.current.Generation {
		return u
	}
	missing := h.current.Generation - generation
	if generation < h.current.Generation && missing <= uint64(len(h.changes)) {
		u.Changes = h.changes[uint64(len(h.changes))-missing:]
		return u
	}
	u.Full = true
	u.Retired = h.current.Retired
	if h.current.Bundle != nil {
		u.Bundle = h.current.Bundle.Canonical()
	}
	return u
}

// Take applies an update. An error leaves the history as it was and asks for a
// full update: call Since with a generation that is too high.
func (h *History) Take(u *Update) error {
	next, err := u.Apply(h.current)
	if err != nil {
		return err
	}
	h.current = next
	if u.Full {
		h.changes = nil
		return nil
	}
	h.keep(u.Changes...)
	return nil
}

func (h *History) keep(changes ...Change) {
	h.changes = append(h.changes, changes...)
	if len(h.changes) > keptChanges {
		h.changes = slices.Clone(h.changes[len(h.changes)-keptChanges:])
	}
}

// advance moves to the next generation.
func (h *History) advance(ch Change) {
	ch.Generation = h.current.Generation + 1
	next, err := ch.apply(h.current)
	if err != nil {
		panic(err) // the change was made from the current configuration
	}
	h.current = next
	h.keep(ch)
}

// Apply returns the configuration after the update. An error asks for a full
// update, as Since gives for a generation that is too high.
func (u *Update) Apply(c Config) (Config, error) {
	if u.Full {
		return u.full()
	}
	for _, ch := range u.Changes {
		next, err := ch.apply(c)
		if err != nil {
			return c, err
		}
		c = next
	}
	if c.Generation != u.Generation {
		return c, fmt.Errorf("update ends at generation %d, not %d", c.Generation, u.Generation)
	}
	return c, nil
}

func (u *Update) full() (Config, error) {
	c := Config{Generation: u.Generation, Retired: u.Retired}
	if c.Retired == nil {
		c.Retired = map[string]uint64{}
	}
	if len(u.Bundle) == 0 {
		return c, nil
	}
	b, err := bundle.Decode(u.Bundle)
	c.Bundle = b
	return c, err
}

func (ch *Change) apply(c Config) (Config, error) {
	if ch.Generation != c.Generation+1 {
		return c, fmt.Errorf("change to generation %d does not follow %d", ch.Generation, c.Generation)
	}
	next := Config{Generation: ch.Generation, Bundle: c.Bundle, Retired: c.Retired}
	if ch.Retire != "" {
		next.Retired = cloneWith(c.Retired, ch.Retire, ch.Generation)
	}
	if ch.Delta != nil {
		from := c.Bundle
		if from == nil {
			from = &bundle.Bundle{}
		}
		b, err := ch.Delta.Apply(from)
		if err != nil {
			return c, err
		}
		next.Bundle = b
	}
	return next, nil
}

func cloneWith(m map[string]uint64, key string, v uint64) map[string]uint64 {
	out := make(map[string]uint64, len(m)+1)
	for k, x := range m {
		out[k] = x
	}
	out[key] = v
	return out
}
