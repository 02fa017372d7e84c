package state

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/bundle"
)

// maxAuditEntries limits the audit entries held in memory. Replicas also append
// every entry to a file, which is never truncated.
const maxAuditEntries = 2000

// AuditEntry records one accepted operator order. Hash covers all other fields,
// including Previous, so a modified or missing entry breaks the hash chain.
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
		panic(err) // unreachable: the struct has only encodable fields
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
	if len(s.Tail) > maxAuditEntries {
		s.Tail = append([]AuditEntry(nil), s.Tail[len(s.Tail)-maxAuditEntries:]...)
	}
}

// Audit returns the entries in memory whose sequence number is greater than after.
func (m *Machine) Audit(after uint64) []AuditEntry {
	for i, e := range m.audit.Tail {
		if e.Sequence > after {
			return append([]AuditEntry(nil), m.audit.Tail[i:]...)
		}
	}
	return nil
}

// AuditSequence returns the sequence number of the last entry, 0 before the first.
func (m *Machine) AuditSequence() uint64 { return m.audit.Sequence }

// ErrAuditChain reports that an audit entry was modified, removed or inserted.
var ErrAuditChain = errors.New("audit chain is broken")

// VerifyAudit verifies the hash chain of consecutive entries.
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
