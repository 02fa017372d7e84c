// Package quarantine decides which requests are kept from the backend servers
// because they end the servers that run them. It is pure: the clock is passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Digest identifies a request by what makes a server do what it does: customer,
// method, host, path with query, and body. The same request has the same digest
// whichever instance takes it, however often it comes and under whatever ID. A
// customer is part of it, so that nobody can bring another customer's requests into
// quarantine.
type Digest [16]byte

// String returns the digest as logs show it.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Request is what a digest is made of.
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

// addField adds a field with its length, so that no two lists of fields are alike.
func addField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	_, _ = io.WriteString(h, field) // a hash takes everything
}
