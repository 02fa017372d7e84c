package replica

import (
	"slices"
	"sync"
)

// Directory holds the peer addresses at which replicas are looked for. Either
// the settings list all of them, or they list some seeds and the rest is
// learned. Safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	seeds   []string
	learned []string
	// open: any authenticated instance with a data folder may join the group.
	open bool
	// bootstrap: the seeds may form the first group.
	bootstrap bool
}

// NewFixedDirectory returns a directory of exactly the given replicas, which
// form the first group together.
func NewFixedDirectory(addresses []string) *Directory {
	return &Directory{seeds: addresses, bootstrap: true}
}

// NewSeedDirectory returns a directory that starts from seeds. With bootstrap
// the seeds are the first voters, and exactly they; every other replica, and
// every empty one later, joins their group.
func NewSeedDirectory(seeds []string, bootstrap bool) *Directory {
	return &Directory{seeds: seeds, open: true, bootstrap: bootstrap}
}

// SetSeeds replaces the seeds, which are only hints once a group exists.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// Learn takes the group's members as a replica named them.
func (d *Directory) Learn(members []string) {
	if len(members) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned = members
}

// Addresses returns all addresses worth asking.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.open {
		return d.seeds
	}
	out := slices.Clone(d.learned)
	for _, s := range d.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// founders returns the addresses that form the first group, nil when none may
// be formed by an instance at self.
func (d *Directory) founders(self string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.bootstrap || !slices.Contains(d.seeds, self) {
		return nil
	}
	return slices.Clone(d.seeds)
}

// admits reports whether a replica at the address may join.
func (d *Directory) admits(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open || slices.Contains(d.seeds, address)
}
