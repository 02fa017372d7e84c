package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
)

// OrderKind is the kind of an operator's order.
type OrderKind string

// Order kinds.
const (
	// OrderPublish publishes a new bundle and activates it.
	OrderPublish OrderKind = "publish"
	// OrderRollForward activates a stored bundle version again.
	OrderRollForward OrderKind = "roll-forward"
	// OrderWithdraw withdraws the active bundle in favor of the previous one.
	OrderWithdraw OrderKind = "withdraw"
	// OrderRetire retires a backend server.
	OrderRetire OrderKind = "retire"
)

// SignedOrder is an operator's order. The signature covers the kind, the subject and the
// generation that the operator expects to be active, so that a replayed order has no
// effect.
type SignedOrder struct {
	Kind OrderKind `msgpack:"k" json:"kind"`
	// Version is the bundle version that publish, roll-forward or withdraw applies to.
	Version uint64 `msgpack:"v,omitempty" json:"version,omitempty"`
	// Digest is the published bundle's digest.
	Digest string `msgpack:"d,omitempty" json:"digest,omitempty"`
	// Server is the backend server to retire.
	Server string `msgpack:"s,omitempty" json:"server,omitempty"`
	// Expected is the active generation when the order was signed.
	Expected  uint64 `msgpack:"e" json:"expected_generation"`
	Operator  string `msgpack:"o" json:"operator"`
	Signature []byte `msgpack:"g" json:"signature"`
	// Content is the canonical encoding of the published bundle; Digest is its digest.
	Content []byte `msgpack:"c,omitempty" json:"content,omitempty"`
}

// signedBytes returns the bytes that the signature covers.
func (o *SignedOrder) signedBytes() []byte {
	type fields struct {
		Domain   string    `msgpack:"x"`
		Kind     OrderKind `msgpack:"k"`
		Version  uint64    `msgpack:"v"`
		Digest   string    `msgpack:"d"`
		Server   string    `msgpack:"s"`
		Expected uint64    `msgpack:"e"`
		Operator string    `msgpack:"o"`
	}
	data, err := msgpack.Marshal(&fields{"cardamomwick order 1", o.Kind, o.Version, o.Digest, o.Server, o.Expected, o.Operator})
	if err != nil {
		panic(err) // unreachable: the struct has only encodable fields
	}
	return data
}

// Sign sets the operator and the signature.
func (o *SignedOrder) Sign(operator string, key ed25519.PrivateKey) {
	o.Operator = operator
	o.Signature = ed25519.Sign(key, o.signedBytes())
}

// ID identifies the order across retries. It is a digest of the signed bytes.
func (o *SignedOrder) ID() string {
	sum := sha256.Sum256(o.signedBytes())
	return hex.EncodeToString(sum[:16])
}

// Verify verifies the signature with the operator's key.
func (o *SignedOrder) Verify(operators map[string]Operator) error {
	op, ok := operators[o.Operator]
	if !ok {
		return fmt.Errorf("operator %q is not known", o.Operator)
	}
	key, err := ParsePublicKey(op.PublicKey)
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, o.signedBytes(), o.Signature) {
		return fmt.Errorf("the signature of operator %q does not fit the order", o.Operator)
	}
	return nil
}

func deltaLines[T any](section string, e mapDelta[T]) []string {
	var out []string
	for k := range e.Set {
		out = append(out, "set    "+section+"."+k)
	}
	for _, k := range e.Remove {
		out = append(out, "remove "+section+"."+k)
	}
	sort.Strings(out)
	return out
}
