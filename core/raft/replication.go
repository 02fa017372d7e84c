package raft

import "slices"

func (n *Node) send(m Message) {
	m.From = n.id
	n.messages = append(n.messages, m)
}

// Step processes a message from another replica.
func (n *Node) Step(m Message) {
	switch {
	case m.Type == MsgPreVote:
		n.handleVoteRequest(m)
		return
	case m.Type == MsgPreVoteReply && !m.Reject:
		n.handleVoteReply(m)
		return
	case m.Term > n.term:
		if m.Type == MsgVote && !m.Transfer && n.followsLiveLeader() {
			return
		}
		leader := None
		if fromLeader(m.Type) {
			leader = m.From
		}
		n.becomeFollower(m.Term, leader)
	case m.Term < n.term:
		n.rejectOldTerm(m)
		return
	}
	n.stepSameTerm(m)
}

// followsLiveLeader reports whether this follower has recently heard from its leader. It
// protects the leader from candidates that were removed or disconnected.
func (n *Node) followsLiveLeader() bool {
	return n.role == Follower && n.leader != None && n.elapsed < n.cfg.ElectionTicks
}

func fromLeader(t MessageType) bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// rejectOldTerm tells a former leader the current term.
func (n *Node) rejectOldTerm(m Message) {
	if fromLeader(m.Type) {
		n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Reject: true, Hint: n.log.last()})
	}
}

func (n *Node) stepSameTerm(m Message) {
	if fromLeader(m.Type) {
		if n.role != Follower {
			n.becomeFollower(m.Term, m.From)
		}
		n.leader = m.From
		n.elapsed = 0
	}
	switch m.Type {
	case MsgVote:
		n.handleVoteRequest(m)
	case MsgVoteReply, MsgPreVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.commitTo(min(m.Commit, n.log.last()))
		n.send(Message{Type: MsgHeartbeatReply, To: m.From, Term: n.term, Round: m.Round})
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MsgTimeoutNow:
		if n.isVoter() && n.role == Follower {
			n.campaign(Candidate, true)
		}
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Index: n.log.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Reject: true, Index: m.Index, Hint: min(n.log.last(), m.Index-1)})
		return
	}
	n.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Index: last})
}

func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }

func (n *Node) handleSnapshot(m Message) {
	meta := m.Snapshot.Meta
	if meta.Index <= n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Index: n.log.commit})
		return
	}
	n.log.restore(meta)
	n.pendingSnapshot = m.Snapshot
	n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Index: meta.Index})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.Active = true
	if m.Reject {
		p.rejected(m.Hint)
		return
	}
	if p.acked(m.Index) {
		n.maybeCommit()
		if m.From == n.transferee {
			n.finishTransfer()
		}
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.Active = true
	p.waiting = false
	p.inflight = 0
	p.ackedRound = max(p.ackedRound, m.Round)
	p.detectLoss(n.log.last())
	n.completeReads()
}

// replicate sends missing entries to the followers.
func (n *Node) replicate() {
	for _, m := range n.log.membership().membership.Members {
		if m.ID != n.id {
			n.replicateTo(m.ID, n.progress[m.ID])
		}
	}
}

func (n *Node) replicateTo(id uint64, p *Progress) {
	for !p.paused() && p.Next <= n.log.last() {
		prev := p.Next - 1
		prevTerm, ok := n.log.term(prev)
		if !ok {
			p.snapshot = n.log.snap.Index
			p.Next = n.log.snap.Index + 1
			n.send(Message{Type: MsgSnapshot, To: id, Term: n.term, Snapshot: &Snapshot{Meta: n.log.snap}})
			return
		}
		entries := n.log.slice(p.Next, n.log.last(), maxAppendBytes)
		n.send(Message{Type: MsgAppend, To: id, Term: n.term, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: n.log.commit})
		p.inflight++
		p.waiting = true
		if !p.probing {
			p.Next += uint64(len(entries))
			continue
		}
		return
	}
}

// ReportSnapshot tells the leader that sending a snapshot to a replica has ended,
// successfully or not. Replication continues by probing after the replica's next reply.
func (n *Node) ReportSnapshot(id uint64) {
	if p := n.progress[id]; n.role == Leader && p != nil && p.snapshot != 0 {
		p.snapshot = 0
		p.probing = true
		p.waiting = true
	}
}

// ReportUnreachable tells the leader that messages to a replica may have been lost.
func (n *Node) ReportUnreachable(id uint64) {
	if p := n.progress[id]; n.role == Leader && p != nil && !p.probing {
		p.probing = true
		p.Next = p.Match + 1
	}
}

// maybeCommit advances the commit index to the highest entry of the current term that a
// quorum has persisted.
func (n *Node) maybeCommit() {
	var match []uint64
	for _, m := range n.log.membership().membership.Members {
		if m.Voter {
			match = append(match, n.progress[m.ID].Match)
		}
	}
	slices.Sort(match)
	index := match[len(match)-n.quorum()]
	if t, ok := n.log.term(index); !ok || t != n.term || index <= n.log.commit {
		return
	}
	n.log.commit = index
}
