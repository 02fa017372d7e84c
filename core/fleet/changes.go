package fleet

// keptChanges bounds the changes that are remembered; who is further behind gets
// everything. While 3,000 engines announce themselves within a second it covers the
// time between two rounds of a watch.
const keptChanges = 4096

// Changes remembers what changed at which version, so that whoever has an older
// version is told the difference. It answers releases, in which every engine is
// replaced within seconds while hundreds of instances watch: whole listings of 120
// engines, 16 KB each, filled the leader's time. The cost of a difference does not
// grow with the servers. The zero value knows of no version before 0. Not safe for
// concurrent use.
type Changes struct {
	version uint64
	log     []change
	// floor is the oldest version of which the difference is known.
	floor uint64
}

type change struct {
	id      string
	version uint64
	removed bool
}

// Version rises with each change.
func (c *Changes) Version() uint64 { return c.version }

// Restart forgets what was before a version: differences are known from there on.
func (c *Changes) Restart(version uint64) { *c = Changes{version: version, floor: version} }

// Advance makes a version the present one; changes noted from now on belong to it.
func (c *Changes) Advance(version uint64) { c.version = version }

// Changed notes that a server is new or another one at the present version.
func (c *Changes) Changed(id string) { c.note(change{id: id, version: c.version}) }

// Removed notes that a server is gone at the present version.
func (c *Changes) Removed(id string) { c.note(change{id: id, version: c.version, removed: true}) }

func (c *Changes) note(x change) {
	c.log = append(c.log, x)
	if len(c.log) > 2*keptChanges {
		extra := len(c.log) - keptChanges
		c.floor = c.log[extra-1].version
		c.log = append([]change(nil), c.log[extra:]...)
	}
}

// Since lists the servers that are new or changed after a version, and those removed;
// ok is false when that is not known.
func (c *Changes) Since(version uint64) (changed, removed []string, ok bool) {
	if version < c.floor || version > c.version {
		return nil, nil, false
	}
	seen := map[string]bool{}
	for i := len(c.log) - 1; i >= 0 && c.log[i].version > version; i-- {
		x := c.log[i]
		switch {
		case seen[x.id]:
		case x.removed:
			removed = append(removed, x.id)
		default:
			changed = append(changed, x.id)
		}
		seen[x.id] = true
	}
	return changed, removed, true
}
