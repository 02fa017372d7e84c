// Package prefix computes hashes of prompt prefixes. Entries, dispatchers and engines
// use them to identify cached prefixes.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the number of prompt bytes per block.
	BlockBytes = 512
	// MaxBlocks is the maximum number of blocks hashed per prompt.
	MaxBlocks = 16
)

// Hashes returns one hash per complete block of the concatenated parts. Each hash
// covers the prompt from its start to the end of the block.
func Hashes[T ~[]byte](parts []T) []uint64 {
	h := xxhash.New()
	var out []uint64
	filled := 0
	for _, m := range parts {
		for len(m) > 0 && len(out) < MaxBlocks {
			n := min(BlockBytes-filled, len(m))
			_, _ = h.Write(m[:n])
			m = m[n:]
			if filled += n; filled == BlockBytes {
				out = append(out, h.Sum64())
				filled = 0
			}
		}
	}
	return out
}
