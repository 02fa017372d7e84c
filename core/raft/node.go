package raft

import "slices"

// maxAppendBytes limits the command bytes of one append message.
const maxAppendBytes = 1 << 20

// Config configures a Node.
type Config struct {
	// ID is this replica's ID; it must not be None.
	ID uint64
	// ElectionTicks is the minimum election timeout in ticks. The maximum is twice as
	// long.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval in ticks.
	HeartbeatTicks int
	// Rand returns a random number in [0, n).
	Rand func(n int) int
	// State, Snapshot and Entries are the persisted state.
	State    HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// Ready is a batch of work that the driver processes in the order of the fields.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *HardState
	// Snapshot, if not nil, replaces the state machine and the log.
	Snapshot *Snapshot
	// Entries are to be persisted. The first one replaces all persisted entries at and
	// above its index.
	Entries []Entry
	// MustSync is set if the above has to be synced to disk before Messages are sent. Otherwise
	// only the commit index is new, on which no message relies.
	MustSync bool
	// Messages may be sent only after all of the above is persisted.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
	Reads     []ReadState
}

// Node is one replica's consensus state. Not safe for concurrent use.
type Node struct {
	cfg  Config
	id   uint64
	role Role
	term uint64
	vote uint64
	// votedSinceStart is the candidate that got the vote in the current term, unless the
	// vote was cast before the process started.
	votedSinceStart uint64
	leader          uint64
	log             *raftLog

	elapsed         int
	electionTimeout int
	// shortTimeoutsLeft counts the remaining short election timeouts after the start.
	shortTimeoutsLeft int
	heartbeat         int
	quorumElapsed     int

	votes      map[uint64]bool
	progress   map[uint64]*Progress
	transferee uint64

	// round is the number of this leader's latest heartbeat broadcast.
	round uint64
	// queuedReads holds reads not yet assigned to a round, confirmingReads those that
	// wait for a quorum to answer their round.
	queuedReads     []pendingRead
	confirmingReads []pendingRead

	messages        []Message
	reads           []ReadState
	pendingSnapshot *Snapshot
	savedState      HardState
}

type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
}

// New returns a follower with the persisted state.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, id: cfg.ID, log: newLog(cfg.Snapshot, cfg.Entries)}
	n.term = cfg.State.Term
	n.vote = cfg.State.Vote
	n.log.commit = max(n.log.commit, min(cfg.State.Commit, n.log.last()))
	n.savedState = n.hardState()
	n.shortTimeoutsLeft = shortElections
	n.becomeFollower(n.term, None)
	return n
}

// Parameters of the first elections after a start.
const (
	// shortTimeoutDivisor divides their election timeouts.
	shortTimeoutDivisor = 4
	// shortElections is the number of elections with a short timeout.
	shortElections = 6
)

// resetElectionTimeout draws the next election timeout. A replica that has just started
// sends pre-votes early, so that a group that was down as a whole recovers quickly; a
// pre-vote does not disturb a working leader. Elections, and pre-votes after
// shortElections unsuccessful ones, use the full timeout to allow for slow replies.
func (n *Node) resetElectionTimeout() {
	ticks := n.cfg.ElectionTicks
	if n.shortTimeoutsLeft > 0 && n.role != Candidate {
		n.shortTimeoutsLeft--
		ticks = max(2, ticks/shortTimeoutDivisor)
	}
	n.electionTimeout = ticks + n.cfg.Rand(ticks)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Tick advances logical time by one unit.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.electionTimeout && n.isVoter() {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	n.heartbeat++
	n.quorumElapsed++
	if n.quorumElapsed >= n.cfg.ElectionTicks {
		n.quorumElapsed = 0
		n.transferee = None
		if !n.quorumActive() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	if n.heartbeat >= n.cfg.HeartbeatTicks {
		n.heartbeat = 0
		n.startRound()
	}
}

// quorumActive reports whether a majority of voters has sent a message since the last
// call.
func (n *Node) quorumActive() bool {
	active := 0
	for _, m := range n.log.membership().membership.Members {
		p := n.progress[m.ID]
		if m.Voter && (m.ID == n.id || (p != nil && p.Active)) {
			active++
		}
		if p != nil {
			p.Active = false
		}
	}
	return active >= n.quorum()
}

func (n *Node) quorum() int { return n.log.membership().membership.Voters()/2 + 1 }

func (n *Node) isVoter() bool {
	m, ok := n.log.membership().membership.Find(n.id)
	return ok && m.Voter
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote, n.votedSinceStart = None, None
	}
	n.role = Follower
	n.leader = leader
	n.elapsed = 0
	if leader != None {
		n.shortTimeoutsLeft = 0
	}
	n.resetElectionTimeout()
	n.transferee = None
	n.progress = nil
	n.failReads()
}

func (n *Node) failReads() {
	for _, r := range append(n.queuedReads, n.confirmingReads...) {
		n.reads = append(n.reads, ReadState{Context: r.context})
	}
	n.queuedReads = nil
	n.confirmingReads = nil
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.shortTimeoutsLeft = 0
	n.elapsed = 0
	n.heartbeat = 0
	n.quorumElapsed = 0
	n.progress = map[uint64]*Progress{}
	n.syncProgress()
	n.appendEntry(Entry{Type: EntryEmpty})
}

// syncProgress adds and removes Progress records after a membership change.
func (n *Node) syncProgress() {
	m := n.log.membership().membership
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, x := range m.Members {
		if n.progress[x.ID] == nil {
			n.progress[x.ID] = &Progress{Next: n.log.last(), probing: true, Active: true}
		}
	}
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.push([]Entry{e})
	if e.Type == EntryMembership {
		n.syncProgress()
	}
	return e.Index
}

// Propose appends a command and returns its index and term. The command has succeeded
// only once an entry with this index and term is committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != None {
		return 0, 0, ErrTransferring
	}
	return n.appendEntry(Entry{Type: EntryCommand, Data: data}), n.term, nil
}

// ProposeMembership appends a new membership, which may differ from the current one in
// at most one voter.
func (n *Node) ProposeMembership(m Membership) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	cur := n.log.membership()
	if cur.index > n.log.commit || !n.committedInTerm() {
		return ErrMembershipBusy
	}
	if votersChanged(cur.membership, m) > 1 {
		return ErrMembershipStep
	}
	n.appendEntry(Entry{Type: EntryMembership, Membership: &m})
	return nil
}

func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

// Ready returns the pending work. The driver passes it to Advance when done.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.replicate()
	}
	rd := Ready{Snapshot: n.pendingSnapshot, Messages: n.messages, Reads: n.reads}
	if hs := n.hardState(); hs != n.savedState {
		rd.HardState = &hs
		rd.MustSync = hs.Term != n.savedState.Term || hs.Vote != n.savedState.Vote
	}
	if n.log.stable < n.log.last() {
		rd.Entries = slices.Clone(n.log.entries[n.log.stable-n.log.snap.Index:])
		rd.MustSync = true
	}
	if n.pendingSnapshot == nil && n.log.applied < n.log.commit {
		rd.Committed = n.log.slice(n.log.applied+1, n.log.commit, 4*maxAppendBytes)
	}
	n.messages = nil
	n.reads = nil
	return rd
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.reads) > 0 || n.pendingSnapshot != nil ||
		n.hardState() != n.savedState || n.log.stable < n.log.last() || n.log.applied < n.log.commit
}

// Advance tells the node that the batch has been persisted, sent and applied.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.savedState = *rd.HardState
	}
	if rd.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = max(n.log.stable, rd.Entries[k-1].Index)
		if n.role == Leader {
			n.progress[n.id].acked(n.log.stable)
			n.maybeCommit()
		}
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = rd.Committed[k-1].Index
	}
}

// Compact drops the log up to index, which a persisted snapshot covers.
func (n *Node) Compact(index uint64) { n.log.compact(index) }

// Status is a copy of a Node's state for its driver.
type Status struct {
	ID, Term, Leader      uint64
	Role                  Role
	Commit, Applied, Last uint64
	First                 uint64
	Membership            Membership
	// MembershipSettled is false while the latest membership is not committed.
	MembershipSettled bool
	// Progress is set on the leader only.
	Progress map[uint64]Progress
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	m := n.log.membership()
	s := Status{ID: n.id, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(), First: n.log.snap.Index + 1,
		Membership: m.membership, MembershipSettled: m.index <= n.log.commit}
	if n.role == Leader {
		s.Progress = map[uint64]Progress{}
		for id, p := range n.progress {
			s.Progress[id] = *p
		}
	}
	return s
}

// Leading reports whether the node considers itself the leader, and its term.
func (n *Node) Leading() (bool, uint64) { return n.role == Leader, n.term }

// LeaderID returns the known leader or None.
func (n *Node) LeaderID() uint64 { return n.leader }

// SnapshotMetaAt returns the metadata for a snapshot taken at an applied index.
func (n *Node) SnapshotMetaAt(index uint64) SnapshotMeta {
	t, _ := n.log.term(index)
	return SnapshotMeta{Index: index, Term: t, Membership: n.log.membershipAtIndex(index)}
}

// Persisted returns the hard state and the entries after index, which must be on disk
// together with a snapshot at index.
func (n *Node) Persisted(index uint64) (HardState, []Entry) {
	var after []Entry
	if index < n.log.stable {
		after = slices.Clone(n.log.entries[index-n.log.snap.Index : n.log.stable-n.log.snap.Index])
	}
	return n.hardState(), after
}
