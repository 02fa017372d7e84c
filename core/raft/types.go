package raft

import (
	"errors"
	"slices"
)

// None is the zero replica ID: no vote cast, no leader known.
const None uint64 = 0

// Role is a replica's current role.
type Role uint8

// The roles of the algorithm. A PreCandidate requests votes without increasing its term,
// so that a replica that was disconnected does not disrupt the group on its return.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// EntryType is the kind of an Entry.
type EntryType uint8

// Kinds of log entries.
const (
	// EntryCommand contains a command for the replicated state machine.
	EntryCommand EntryType = iota
	// EntryEmpty is appended by a new leader so that it can commit in its term.
	EntryEmpty
	// EntryMembership contains a complete new Membership.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Index      uint64      `msgpack:"i"`
	Term       uint64      `msgpack:"t"`
	Type       EntryType   `msgpack:"y"`
	Data       []byte      `msgpack:"d,omitempty"`
	Membership *Membership `msgpack:"m,omitempty"`
}

// HardState is the state that a replica must persist before it sends messages.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   uint64 `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Member is one replica of the group. ID is created with the replica's data folder, so a
// replica that lost its disk returns as a new member.
type Member struct {
	ID      uint64 `msgpack:"i"`
	Address string `msgpack:"a"`
	Voter   bool   `msgpack:"v"`
}

// Membership is the set of replicas, sorted by ID.
type Membership struct {
	Members []Member `msgpack:"m"`
}

// Find returns the member with the ID.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m.Members {
		if x.Voter {
			n++
		}
	}
	return n
}

// With returns a copy in which the member is added or replaced.
func (m Membership) With(x Member) Membership {
	out := m.Without(x.ID)
	out.Members = append(out.Members, x)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy that lacks the member with the ID.
func (m Membership) Without(id uint64) Membership {
	var out Membership
	for _, x := range m.Members {
		if x.ID != id {
			out.Members = append(out.Members, x)
		}
	}
	return out
}

// votersChanged counts the members that are voters in only one of two memberships.
func votersChanged(a, b Membership) int {
	n := 0
	for _, x := range a.Members {
		y, ok := b.Find(x.ID)
		if x.Voter != (ok && y.Voter) {
			n++
		}
	}
	for _, y := range b.Members {
		if _, ok := a.Find(y.ID); !ok && y.Voter {
			n++
		}
	}
	return n
}

// SnapshotMeta describes a snapshot of the state machine: the last entry it includes and
// the membership active at that entry.
type SnapshotMeta struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
}

// Snapshot is a serialized state machine with its metadata.
type Snapshot struct {
	Meta SnapshotMeta `msgpack:"m"`
	Data []byte       `msgpack:"d"`
}

// MessageType is the kind of a Message.
type MessageType uint8

// Kinds of messages between replicas.
const (
	MsgPreVote MessageType = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot is emitted with empty Snapshot.Data; the sender's driver fills it in
	// from its storage.
	MsgSnapshot
	// MsgTimeoutNow tells an up-to-date follower to start an election immediately.
	MsgTimeoutNow
)

// Message is a message between replicas.
type Message struct {
	Type    MessageType `msgpack:"y"`
	From    uint64      `msgpack:"f"`
	To      uint64      `msgpack:"o"`
	Term    uint64      `msgpack:"t"`
	Index   uint64      `msgpack:"i,omitempty"`
	LogTerm uint64      `msgpack:"l,omitempty"`
	Entries []Entry     `msgpack:"e,omitempty"`
	Commit  uint64      `msgpack:"c,omitempty"`
	Reject  bool        `msgpack:"r,omitempty"`
	// Transfer marks a vote request of a leadership transfer.
	Transfer bool `msgpack:"x,omitempty"`
	// Hint is the follower's last index in a rejected append.
	Hint uint64 `msgpack:"h,omitempty"`
	// Round is the heartbeat round, used to confirm reads.
	Round    uint64    `msgpack:"n,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
}

// ReadState is the result of a ReadIndex call: once the state machine has applied Index,
// a read for Context is linearizable. Ok is false if leadership was lost before a quorum
// confirmed it.
type ReadState struct {
	Context uint64
	Index   uint64
	Ok      bool
}

// Errors of Propose, ProposeMembership, ReadIndex and Step.
var (
	// ErrNotLeader means that this replica is not the leader, which alone accepts
	// proposals and reads.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrMembershipBusy means that an earlier membership change, or the first entry of
	// the leader's term, is not committed yet.
	ErrMembershipBusy = errors.New("raft: membership change in progress")
	// ErrMembershipStep means that the change affects more than one voter.
	ErrMembershipStep = errors.New("raft: membership change alters more than one voter")
)
