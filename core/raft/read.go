package raft

import "slices"

// ReadIndex asks for a linearizable read point. The answer comes in
// Ready.Reads with the same context. Reads that arrive while a round is open
// share the next one, so their number does not multiply the heartbeats.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.waitingRead = append(n.waitingRead, pendingRead{context: context})
	if len(n.roundReads) == 0 {
		n.startRound()
	}
	return nil
}

// startRound broadcasts a heartbeat and lets the waiting reads join it.
func (n *Node) startRound() {
	n.round++
	if n.committedInTerm() {
		for _, r := range n.waitingRead {
			n.roundReads = append(n.roundReads, pendingRead{r.context, n.log.commit, n.round})
		}
		n.waitingRead = nil
	}
	for _, m := range n.log.membership().membership.Members {
		if m.ID == n.id {
			continue
		}
		commit := min(n.log.commit, n.progress[m.ID].Match)
		n.send(Message{Type: MsgHeartbeat, To: m.ID, Term: n.term, Commit: commit, Round: n.round})
	}
	n.finishRound()
}

// ackedRound returns the latest round that a quorum of voters has answered.
func (n *Node) ackedRound() uint64 {
	var rounds []uint64
	for _, m := range n.log.membership().membership.Members {
		switch {
		case m.Voter && m.ID == n.id:
			rounds = append(rounds, n.round)
		case m.Voter:
			rounds = append(rounds, n.progress[m.ID].ackedRound)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.quorum()]
}

// finishRound answers the reads whose round a quorum has answered.
func (n *Node) finishRound() {
	acked := n.ackedRound()
	for len(n.roundReads) > 0 && n.roundReads[0].round <= acked {
		r := n.roundReads[0]
		n.reads = append(n.reads, ReadState{Context: r.context, Index: r.index, Ok: true})
		n.roundReads = n.roundReads[1:]
	}
	if len(n.roundReads) == 0 && len(n.waitingRead) > 0 && n.committedInTerm() {
		n.startRound()
	}
}
