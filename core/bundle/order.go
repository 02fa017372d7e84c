package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
)

// OrderKind is what an operator orders.
type OrderKind string

// Kinds of orders. A publish signs a bundle off and puts it in force.
const (
	OrderPublish     OrderKind = "publish"
	OrderRollForward OrderKind = "roll-forward"
	OrderWithdraw    OrderKind = "withdraw"
	OrderRetire      OrderKind = "retire"
)

// SignedOrder is an operator's order. The signature covers the kind, the
// subject and the generation that the operator expects to be in force, so
// that an order replayed later changes nothing.
type SignedOrder struct {
	Kind OrderKind `msgpack:"k" json:"kind"`
	// Version is the bundle meant by publish, roll-forward and withdraw.
	Version uint64 `msgpack:"v,omitempty" json:"version,omitempty"`
	// Digest is the published bundle's digest.
	Digest string `msgpack:"d,omitempty" json:"digest,omitempty"`
	// Server is the backend server to retire.
	Server string `msgpack:"s,omitempty" json:"server,omitempty"`
	// Expected is the generation in force when the order was signed.
	Expected  uint64 `msgpack:"e" json:"expected_generation"`
	Operator  string `msgpack:"o" json:"operator"`
	Signature []byte `msgpack:"g" json:"signature"`
	// Content is the canonical bundle of a publish; Digest covers it.
	Content []byte `msgpack:"c,omitempty" json:"content,omitempty"`
}

// signedBytes is what the signature covers.
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
		panic(err) // plain data; encoding to memory can't fail
	}
	return data
}

// Sign sets the operator and the signature.
func (o *SignedOrder) Sign(operator string, key ed25519.PrivateKey) {
	o.Operator = operator
	o.Signature = ed25519.Sign(key, o.signedBytes())
}

// ID identifies the order over resends: the digest of its signed bytes.
func (o *SignedOrder) ID() string {
	sum := sha256.Sum256(o.signedBytes())
	return hex.EncodeToString(sum[:16])
}

// Verify checks the signature against the operators' keys.
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

func lines[T any](section string, e edit[T]) []string {
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
