// Package prefix hashes the growing beginnings of prompts, so that entries,
// dispatchers and engines name cached prefixes alike.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the prompt bytes per hash.
	BlockBytes = 512
	// MaxBlocks bounds the hashes of one prompt.
	MaxBlocks = 16
)

// Hashes returns one hash per whole block of the concatenated parts, each
// covering all blocks up to its own.
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
