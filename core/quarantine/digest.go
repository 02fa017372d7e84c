// Package quarantine decides which requests to keep from the backend servers because
// they crash the servers that run them. It does no I/O and reads no clock: the time is
// passed in.
package quarantine

import (
	"encoding/hex"

	"cardamomwick.example/core/fieldhash"
)

// Digest identifies a request by the fields that determine how a server processes it:
// customer, method, host, path with query, and body. It doesn't depend on the instance
// that receives the request or on the request ID. The customer is included so that a
// customer can't have another customer's requests held.
type Digest [fieldhash.Size]byte

// String returns the abbreviated digest used in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Request holds the fields of a request that its digest covers.
type Request struct {
	Customer, Method, Host, URI string
	Body                        []byte
}

// Digest returns the request's digest.
func (r *Request) Digest() Digest {
	return fieldhash.Sum([]string{r.Customer, r.Method, r.Host, r.URI}, r.Body)
}
