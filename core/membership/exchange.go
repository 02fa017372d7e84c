package membership

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the exchanges by digest. Members that start together learn of each other by
// exchanges, since updates on probes spread hundreds of members too slowly.
const (
	// exchangePeriod is the time between two exchanges while the tables of members differ.
	exchangePeriod = 200 * time.Millisecond
	// settledExchangePeriod is the time between two exchanges otherwise.
	settledExchangePeriod = 10 * time.Second
	// settleTime is how long no exchange may find tables that differ until they count as
	// settled.
	settleTime = time.Second
)

// fingerprintBytes is the size of a member's fingerprint in a digest.
const fingerprintBytes = 8

// fingerprint identifies a state of a member: two tables that hold the same fingerprint hold the
// same state.
func (i *Instance) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(i.Name) // hash writes never fail
	var state [9]byte
	binary.BigEndian.PutUint64(state[:], i.Incarnation)
	state[8] = byte(i.State)
	_, _ = d.Write(state[:])
	return d.Sum64()
}

// exchangeInterval returns the time between two exchanges.
func (t *Table) exchangeInterval(now time.Time) time.Duration {
	if now.Sub(t.differedAt) < settleTime {
		return exchangePeriod
	}
	return settledExchangePeriod
}

// recordDifference records the number of members in which the tables of an exchange differed.
// Some always differ, since updates are on their way.
func (t *Table) recordDifference(now time.Time, members int) {
	if members > maxUpdates {
		t.differedAt = now
	}
}

// startExchange sends a digest of the table to a random member: 8 bytes for each member, where a
// table has some 190. Seeds are not preferred, since all members that start contact them first.
func (t *Table) startExchange() {
	peers := slices.DeleteFunc(t.Instances(), func(i Instance) bool { return i.Name == t.self.Name })
	if len(peers) == 0 {
		return // the first contact is a Sync
	}
	to := peers[t.intn(len(peers))].PeerAddress
	t.send(to, Message{Type: DigestRequest, Updates: []Instance{t.self}, Digest: t.digest()})
}

// digest returns the fingerprints of all members.
func (t *Table) digest() []byte {
	out := make([]byte, 0, fingerprintBytes*len(t.members))
	for _, m := range t.members {
		out = binary.BigEndian.AppendUint64(out, m.fingerprint())
	}
	return out
}

// answerDigest replies with the members whose state the digest lacks, and requests those whose
// state this table lacks.
func (t *Table) answerDigest(now time.Time, m Message) {
	lacking := fingerprints(m.Digest)
	reply := Message{Type: DigestReply}
	differences := 0
	for _, known := range t.allMembers() {
		f := known.fingerprint()
		if lacking[f] {
			delete(lacking, f)
			continue
		}
		if known.State != Dead || holdsAsAlive(lacking, known) {
			differences++ // one that is dead only here may just be forgotten there
		}
		reply.Updates = append(reply.Updates, known)
	}
	for f := range lacking {
		reply.Digest = binary.BigEndian.AppendUint64(reply.Digest, f)
	}
	t.recordDifference(now, differences+len(lacking))
	if len(reply.Updates) > 0 || len(lacking) > 0 {
		t.send(m.From, reply)
	}
}

// holdsAsAlive reports whether a digest holds a dead member as alive or suspect, in the
// incarnation in which it died.
func holdsAsAlive(digest map[uint64]bool, dead Instance) bool {
	alive, suspect := dead, dead
	alive.State, suspect.State = Alive, Suspect
	return digest[alive.fingerprint()] || digest[suspect.fingerprint()]
}

// answerDigestReply sends the members that the reply requests.
func (t *Table) answerDigestReply(now time.Time, m Message) {
	requested := fingerprints(m.Digest)
	t.recordDifference(now, len(m.Updates)+len(requested))
	var found []Instance
	for _, known := range t.allMembers() {
		if requested[known.fingerprint()] {
			found = append(found, known)
		}
	}
	if len(found) > 0 {
		t.send(m.From, Message{Type: Members, Updates: found})
	}
}

// fingerprints decodes a digest, up to MaxMembers.
func fingerprints(digest []byte) map[uint64]bool {
	digest = digest[:min(len(digest), MaxMembers*fingerprintBytes)]
	out := make(map[uint64]bool, len(digest)/fingerprintBytes)
	for ; len(digest) >= fingerprintBytes; digest = digest[fingerprintBytes:] {
		out[binary.BigEndian.Uint64(digest)] = true
	}
	return out
}

// allMembers returns all members, sorted by name.
func (t *Table) allMembers() []Instance {
	out := make([]Instance, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.forMessage(t.now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
