// Package rendezvous scores names for rendezvous hashing (highest random weight): all that know
// the same names agree on the one with the highest score for a key, and a name that comes or goes
// moves only the keys that it holds.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the weight of a name for a key. It allocates nothing.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // hash writes never fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
