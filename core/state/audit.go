package state

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/bundle"
)

// keptAudit is how many audit entries the machine itself holds. Replicas also
// append every entry to a file, which is not cut.
const keptAudit = 2000

// AuditEntry is one accepted change. Hash covers all other fields, Previous
// included, so that a changed or missing entry breaks the chain.
type AuditEntry struct {
	Sequence         uint64           `msgpack:"s" json:"sequence"`
	AtMillis         int64            `msgpack:"a" json:"at_unix_ms"`
	Operator         string           `msgpack:"o" json:"operator"`
	Kind             bundle.OrderKind `msgpack:"k" json:"kind"`
	Version          uint64           `msgpack:"v" json:"version,omitempty"`
	Digest           string           `msgpack:"d" json:"digest,omitempty"`
	Server           string           `msgpack:"e" json:"server,omitempty"`
	GenerationBefore uint64           `msgpack:"b" json:"generation_before"`
	GenerationAfter  uint64           `msgpack:"f" json:"generation_after"`
	Signature        []byte           `msgpack:"g" json:"signature"`
	Previous         string           `msgpack:"p" json:"previous"`
	Hash             string           `msgpack:"h" json:"hash"`
}

func (e AuditEntry) computeHash() string {
	e.Hash = ""
	data, err := msgpack.Marshal(&e)
	if err != nil {
		panic(err) // plain data; encoding to memory can't fail
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

type auditState struct {
	Sequence uint64       `msgpack:"s"`
	LastHash string       `msgpack:"l"`
	Tail     []AuditEntry `msgpack:"t"`
}

func (s *auditState) add(at int64, o *bundle.SignedOrder, before uint64, after Config) {
	s.Sequence++
	e := AuditEntry{Sequence: s.Sequence, AtMillis: at, Operator: o.Operator, Kind: o.Kind, Version: o.Version, Digest: o.Digest,
		Server: o.Server, GenerationBefore: before, GenerationAfter: after.Generation, Signature: o.Signature, Previous: s.LastHash}
	e.Hash = e.computeHash()
	s.LastHash = e.Hash
	s.Tail = append(s.Tail, e)
	if len(s.Tail) > keptAudit {
		s.Tail = append([]AuditEntry(nil), s.Tail[len(s.Tail)-keptAudit:]...)
	}
}

// Audit returns the kept entries whose sequence is above after.
func (m *Machine) Audit(after uint64) []AuditEntry {
	for i, e := range m.audit.Tail {
		if e.Sequence > after {
			return append([]AuditEntry(nil), m.audit.Tail[i:]...)
		}
	}
	return nil
}

// ErrAuditChain: an audit entry was changed, lost or put in.
var ErrAuditChain = errors.New("audit chain is broken")

// VerifyAudit checks consecutive entries against each other.
func VerifyAudit(entries []AuditEntry) error {
	for i, e := range entries {
		if e.computeHash() != e.Hash {
			return fmt.Errorf("entry %d: hash does not fit the content: %w", e.Sequence, ErrAuditChain)
		}
		if i > 0 && (e.Previous != entries[i-1].Hash || e.Sequence != entries[i-1].Sequence+1) {
			return fmt.Errorf("entry %d does not follow entry %d: %w", e.Sequence, entries[i-1].Sequence, ErrAuditChain)
		}
	}
	return nil
}
