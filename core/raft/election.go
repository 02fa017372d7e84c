package raft

// campaign starts a pre-vote or an election. transfer marks an election requested by the
// leader itself, which voters grant although they still hear from that leader.
func (n *Node) campaign(role Role, transfer bool) {
	n.elapsed = 0
	n.role = role
	n.resetElectionTimeout()
	n.leader = None
	n.votes = map[uint64]bool{n.id: true}
	term, kind := n.term+1, MsgPreVote
	if role == Candidate {
		n.term++
		n.vote = n.id
		term, kind = n.term, MsgVote
	}
	if n.electionWon() {
		return
	}
	for _, m := range n.log.membership().membership.Members {
		if m.Voter && m.ID != n.id {
			n.send(Message{Type: kind, To: m.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

// electionWon reports whether a majority has granted its vote, and if so starts the
// election after a pre-vote or becomes leader.
func (n *Node) electionWon() bool {
	granted := 0
	for _, m := range n.log.membership().membership.Members {
		if m.Voter && n.votes[m.ID] {
			granted++
		}
	}
	if granted < n.quorum() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return true
	}
	n.becomeLeader()
	return true
}

func (n *Node) electionLost() bool {
	denied := 0
	for _, m := range n.log.membership().membership.Members {
		if v, ok := n.votes[m.ID]; m.Voter && ok && !v {
			denied++
		}
	}
	return denied >= n.quorum()
}

// handleVoteRequest replies to MsgPreVote and MsgVote. A pre-vote changes no state and is
// denied while this replica knows a live leader.
func (n *Node) handleVoteRequest(m Message) {
	upToDate := n.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		grant := m.Term > n.term && upToDate && !n.knowsLiveLeader() && !n.recentlyVotedForOther(m.From)
		reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = n.term
		}
		n.send(reply)
		return
	}
	grant := m.Term == n.term && upToDate && (n.vote == None || n.vote == m.From) && n.role == Follower
	if grant {
		n.vote, n.votedSinceStart = m.From, m.From
		n.elapsed = 0
	}
	n.send(Message{Type: MsgVoteReply, To: m.From, Term: n.term, Reject: !grant})
}

// knowsLiveLeader reports whether this replica leads or has recently heard from a leader.
// A leader that loses its quorum steps down by the quorum check.
func (n *Node) knowsLiveLeader() bool {
	return n.role == Leader || n.leader != None && n.elapsed < n.cfg.ElectionTicks
}

// recentlyVotedForOther reports whether another candidate may have won with this
// replica's vote, but its first heartbeat may not have arrived yet. It allows one
// heartbeat interval and one tick of latency.
func (n *Node) recentlyVotedForOther(candidate uint64) bool {
	return n.votedSinceStart != None && n.votedSinceStart != candidate && n.elapsed <= n.cfg.HeartbeatTicks
}

func (n *Node) handleVoteReply(m Message) {
	want := MsgVoteReply
	if n.role == PreCandidate {
		want = MsgPreVoteReply
	}
	if m.Type == MsgPreVoteReply && !m.Reject && m.Term != n.term+1 {
		return
	}
	if m.Type != want || (n.role != PreCandidate && n.role != Candidate) {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.electionWon() {
		return
	}
	if n.electionLost() {
		n.becomeFollower(n.term, None)
	}
}

// TransferLeadership transfers leadership to the most up-to-date voter. Proposals are
// rejected until the transfer completes or an election timeout has passed.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	best := None
	for _, m := range n.log.membership().membership.Members {
		if !m.Voter || m.ID == n.id || !n.progress[m.ID].Active {
			continue
		}
		if best == None || n.progress[m.ID].Match > n.progress[best].Match {
			best = m.ID
		}
	}
	if best == None {
		return
	}
	n.transferee = best
	n.quorumElapsed = 0
	n.finishTransfer()
}

// finishTransfer asks the transferee to start an election once its log is complete.
func (n *Node) finishTransfer() {
	if n.transferee != None && n.progress[n.transferee].Match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee, Term: n.term})
	}
}
