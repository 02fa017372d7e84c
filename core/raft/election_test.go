package raft

import "testing"

// A follower that receives nothing but can send, as over a connection that silently drops
// one direction, must not depose a leader that the other replicas can reach. The leader
// itself must therefore deny that follower's pre-vote.
func TestLeaderDeniesPreVote(t *testing.T) {
	w := newNetwork(1, 3)
	w.until(t, "a leader", func() bool { return w.leader() != nil })
	leader := w.leader()
	for range 5 * leader.cfg.ElectionTicks { // the other replicas reply throughout
		leader.Tick()
		for id, p := range leader.progress {
			if id != leader.id {
				p.Active = true
			}
		}
	}
	leader.messages = nil
	oneWayDisconnected := leader.id%3 + 1
	leader.Step(Message{Type: MsgPreVote, From: oneWayDisconnected, Term: leader.term + 1, Index: leader.log.last(), LogTerm: leader.log.lastTerm()})
	if len(leader.messages) != 1 || !leader.messages[0].Reject {
		t.Errorf("the leader replied %+v, want one rejection", leader.messages)
	}
}

// A replica that has just voted may not have received the new leader's first heartbeat.
// If another replica's short first timeout expires meanwhile, it must not get a pre-vote.
// Without this rule a group replaced its first leader after 0.085 s (term 2 to term 3),
// and announcements sent to the first leader were lost.
func TestPreVoteIsDeniedAfterRecentVote(t *testing.T) {
	w := newNetwork(1, 3)
	voter := w.nodes[1]
	voter.Step(Message{Type: MsgVote, From: 2, Term: 2, Index: 1, LogTerm: 1})
	voter.messages = nil
	requestPreVote := func() bool {
		voter.Step(Message{Type: MsgPreVote, From: 3, Term: 3, Index: 1, LogTerm: 1})
		granted := !voter.messages[len(voter.messages)-1].Reject
		voter.messages = nil
		return granted
	}
	if requestPreVote() {
		t.Error("a second candidate gets a pre-vote immediately after the vote")
	}
	for range voter.cfg.HeartbeatTicks + 1 {
		voter.Tick()
	}
	if !requestPreVote() {
		t.Error("a second candidate gets no pre-vote although the first candidate's heartbeat is overdue")
	}
}
