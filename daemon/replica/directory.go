package replica

import (
	"slices"
	"sync"
)

// Directory holds the peer addresses of the replicas. Either the settings list all
// of them, or they list some seeds and the rest is learned from replicas. Safe for
// concurrent use.
type Directory struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	// open: any authenticated instance with a data folder may join the group, and members
	// are replaced automatically.
	open bool
	// bootstrap: the seeds may form the first group.
	bootstrap bool
}

// NewFixedDirectory returns a directory of exactly the given replicas, which
// are also the initial voters.
func NewFixedDirectory(addresses []string) *Directory {
	return &Directory{seeds: addresses, bootstrap: true}
}

// NewSeedDirectory returns a directory that starts from seeds. With bootstrap
// exactly the seeds are the initial voters; every other replica, and every
// empty one later, joins their group.
func NewSeedDirectory(seeds []string, bootstrap bool) *Directory {
	return &Directory{seeds: seeds, open: true, bootstrap: bootstrap}
}

// SetSeeds replaces the seeds. Once a group exists they only help to find it.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// SetMembers sets the group's members as reported by a replica; an empty list is ignored.
func (d *Directory) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
}

// Addresses returns the known addresses: the members and the seeds.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.open {
		return d.seeds
	}
	out := slices.Clone(d.members)
	for _, s := range d.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// initialVoters returns the addresses of the initial voters, nil if the instance at self is
// not one of them.
func (d *Directory) initialVoters(self string) []string {
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
