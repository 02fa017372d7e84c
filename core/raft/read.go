package raft

import "slices"

// ReadIndex requests a linearizable read. The result is in Ready.Reads with the same
// context. Reads that arrive during a round share the next one, so that many reads do
// not cause many heartbeats.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.queuedReads = append(n.queuedReads, pendingRead{context: context})
	if len(n.confirmingReads) == 0 {
		n.startRound()
	}
	return nil
}

// startRound broadcasts a heartbeat that confirms the queued reads.
func (n *Node) startRound() {
	n.round++
	if n.committedInTerm() {
		for _, r := range n.queuedReads {
			n.confirmingReads = append(n.confirmingReads, pendingRead{r.context, n.log.commit, n.round})
		}
		n.queuedReads = nil
	}
	for _, m := range n.log.membership().membership.Members {
		if m.ID == n.id {
			continue
		}
		commit := min(n.log.commit, n.progress[m.ID].Match)
		n.send(Message{Type: MsgHeartbeat, To: m.ID, Term: n.term, Commit: commit, Round: n.round})
	}
	n.completeReads()
}

// ackedRound returns the latest round that a quorum of voters has acknowledged.
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

// completeReads completes the reads whose round a quorum has acknowledged.
func (n *Node) completeReads() {
	acked := n.ackedRound()
	for len(n.confirmingReads) > 0 && n.confirmingReads[0].round <= acked {
		r := n.confirmingReads[0]
		n.reads = append(n.reads, ReadState{Context: r.context, Index: r.index, Ok: true})
		n.confirmingReads = n.confirmingReads[1:]
	}
	if len(n.confirmingReads) == 0 && len(n.queuedReads) > 0 && n.committedInTerm() {
		n.startRound()
	}
}
