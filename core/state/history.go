package state

import (
	"fmt"
	"slices"

	"cardamomwick.example/core/bundle"
)

// maxHistoryChanges is the largest number of generations that an incremental update
// can span.
const maxHistoryChanges = 256

// Config is the active configuration. Values are shared and read-only.
type Config struct {
	// Generation increases by one with every accepted order and never decreases.
	Generation uint64
	// Bundle is nil before the first publish.
	Bundle *bundle.Bundle
	// Retired maps each retired backend server to the generation that retired it.
	Retired map[string]uint64
}

// Change is the difference between one generation and the next.
type Change struct {
	Generation uint64        `msgpack:"g"`
	Delta      *bundle.Delta `msgpack:"d,omitempty"`
	Retire     string        `msgpack:"r,omitempty"`
}

// Update brings an older configuration up to date, with either an ordered list of
// Changes or a full configuration.
type Update struct {
	Generation uint64            `msgpack:"g"`
	Changes    []Change          `msgpack:"c,omitempty"`
	Full       bool              `msgpack:"f,omitempty"`
	Bundle     []byte            `msgpack:"b,omitempty"`
	Retired    map[string]uint64 `msgpack:"r,omitempty"`
}

// History is a configuration with its most recent changes, from which incremental
// updates are served. Replicas have one, and so does every instance that relays its
// configuration lease. Not safe for concurrent use.
type History struct {
	current Config
	// changes holds the latest changes up to current, one per generation.
	changes []Change
}

// NewHistory returns a history with an empty configuration.
func NewHistory() History { return History{current: Config{Retired: map[string]uint64{}}} }

// Current returns the active configuration.
func (h *History) Current() Config { return h.current }

// Since returns the update from the given generation to the active one.
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

// Apply applies an update. On error the history is unchanged and the caller needs a
// full update, which Since returns for a generation above the current one.
func (h *History) Apply(u *Update) error {
	next, err := u.Apply(h.current)
	if err != nil {
		return err
	}
	h.current = next
	if u.Full {
		h.changes = nil
		return nil
	}
	h.appendChanges(u.Changes...)
	return nil
}

func (h *History) appendChanges(changes ...Change) {
	h.changes = append(h.changes, changes...)
	if len(h.changes) > maxHistoryChanges {
		h.changes = slices.Clone(h.changes[len(h.changes)-maxHistoryChanges:])
	}
}

// advance applies a change as the next generation.
func (h *History) advance(ch Change) {
	ch.Generation = h.current.Generation + 1
	next, err := ch.apply(h.current)
	if err != nil {
		panic(err) // unreachable: the change was computed from the current configuration
	}
	h.current = next
	h.appendChanges(ch)
}

// Apply returns the updated configuration. On error the caller needs a full update,
// which Since returns for a generation above the current one.
func (u *Update) Apply(c Config) (Config, error) {
	if u.Full {
		return u.fullConfig()
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

func (u *Update) fullConfig() (Config, error) {
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
