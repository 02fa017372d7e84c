package raft

// campaign starts a pre-vote or a real election. A transfer election was asked
// for by the leader itself, so that voters need not protect that leader.
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

// electionWon moves on when a majority has granted its vote.
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

// handleVoteRequest answers MsgPreVote and MsgVote. A pre-vote changes no
// state here and is denied while a leader is being heard.
func (n *Node) handleVoteRequest(m Message) {
	fresh := n.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		grant := m.Term > n.term && fresh && !n.hearsLeader() && !n.hasJustVoted(m.From)
		reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = n.term
		}
		n.send(reply)
		return
	}
	grant := m.Term == n.term && fresh && (n.vote == None || n.vote == m.From) && n.role == Follower
	if grant {
		n.vote, n.granted = m.From, m.From
		n.elapsed = 0
	}
	n.send(Message{Type: MsgVoteReply, To: m.From, Term: n.term, Reject: !grant})
}

// hearsLeader reports whether there is a leader as far as this replica knows. One that
// leads notices by its quorum when it no longer does.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.leader != None && n.elapsed < n.cfg.ElectionTicks
}

// hasJustVoted reports whether another candidate may have won with this replica's vote
// and has had no time to say so: its first heartbeat, and a tick for the way.
func (n *Node) hasJustVoted(candidate uint64) bool {
	return n.granted != None && n.granted != candidate && n.elapsed <= n.cfg.HeartbeatTicks
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

// TransferLeadership hands the leadership to the most caught-up voter. New
// proposals are refused until it is done or an election timeout has passed.
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

func (n *Node) finishTransfer() {
	if n.transferee != None && n.progress[n.transferee].Match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee, Term: n.term})
	}
}
