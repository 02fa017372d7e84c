// Package quarantine decides which requests to keep from the backend servers because
// they crash the servers that run them. It does no I/O and reads no clock: the time is
// passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Digest identifies a request by the fields that determine how a server processes it:
// customer, method, host, path with query, and body. It doesn't depend on the instance
// that receives the request or on the request ID. The customer is included so that a
// customer can't have another customer's requests held.
type Digest [16]byte

// String returns the abbreviated digest used in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Request holds the fields of a request that its digest covers.
type Request struct {
	Customer, Method, Host, URI string
	Body                        []byte
}

// Digest returns the request's digest.
func (r *Request) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{r.Customer, r.Method, r.Host, r.URI} {
		addField(h, field)
	}
	h.Write(r.Body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// addField hashes a field with its length, so that different lists of fields never give
// the same input.
func addField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	_, _ = io.WriteString(h, field) // a hash never returns an error
}
