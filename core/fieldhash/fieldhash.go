// Package fieldhash identifies lists of fields by a hash.
package fieldhash

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

// Size is the size of a digest in bytes.
const Size = 16

// Sum returns the digest of fields and a last one. It is the same on all instances.
func Sum(fields []string, last []byte) [Size]byte {
	h := sha256.New()
	for _, field := range fields {
		addField(h, field)
	}
	h.Write(last) // a hash never returns an error
	return [Size]byte(h.Sum(nil))
}

// addField hashes a field with its length, so that different lists of fields never give
// the same input.
func addField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	_, _ = io.WriteString(h, field) // a hash never returns an error
}
