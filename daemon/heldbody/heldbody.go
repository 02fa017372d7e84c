// Package heldbody reads bodies of answers into memory that all answers share.
package heldbody

import (
	"io"

	"cardamomwick.example/core/membudget"
)

const (
	// FreeBytes is what an answer may hold without taking it from its pool.
	FreeBytes = 8 << 10
	// firstPartBytes and maxPartBytes are the sizes of the parts: each is as large as all before it.
	firstPartBytes = 4 << 10
	maxPartBytes   = 32 << 10
)

// Read reads a body of a length, -1 if that is unknown, until it ends, has more than limit bytes, or
// there is no memory for the next part. whole is set if the parts are all of it.
func Read(body io.Reader, length int64, limit int, h *membudget.Holding) (parts [][]byte, whole bool, err error) {
	for held := 0; held <= limit; {
		size := min(limit+1-held, max(firstPartBytes, min(held, maxPartBytes)))
		if length >= 0 && length < int64(held+size) {
			size = max(1, int(length)+1-held) // room to see the end
		}
		if held+size > FreeBytes && !h.GrowTo(int64(held+size)) {
			return parts, false, nil
		}
		part, err := readPart(body, make([]byte, size))
		parts, held = append(parts, part), held+len(part)
		if err == io.EOF {
			return parts, held <= limit, nil
		}
		if err != nil {
			return parts, false, err
		}
	}
	return parts, false, nil
}

// readPart fills a part, or returns what of it was read before an error.
func readPart(body io.Reader, part []byte) ([]byte, error) {
	for n := 0; n < len(part); {
		m, err := body.Read(part[n:])
		if n += m; err != nil {
			return part[:n], err
		}
	}
	return part, nil
}

// Length returns the number of bytes of the parts.
func Length(parts [][]byte) (n int) {
	for _, p := range parts {
		n += len(p)
	}
	return n
}
