package raft

import "testing"

// A follower that hears nothing, though it is heard, as over a connection that drops one
// direction silently, must not end a leader that the others hear.
func TestLeaderDoesNotHelpToReplaceItself(t *testing.T) {
	w := newNetwork(1, 3)
	w.until(t, "a leader", func() bool { return w.leader() != nil })
	leader := w.leader()
	for range 5 * leader.cfg.ElectionTicks { // the others answer all the while
		leader.Tick()
		for id, p := range leader.progress {
			if id != leader.id {
				p.Active = true
			}
		}
	}
	leader.messages = nil
	deaf := leader.id%3 + 1
	leader.Step(Message{Type: MsgPreVote, From: deaf, Term: leader.term + 1, Index: leader.log.last(), LogTerm: leader.log.lastTerm()})
	if len(leader.messages) != 1 || !leader.messages[0].Reject {
		t.Errorf("the leader answers %+v", leader.messages)
	}
}

// A replica that has just voted has not heard of the new leader yet. A third one whose
// short first time-out ends meanwhile must not get its support: in a log, 0.08 s after
// the first leader of a group,
//
//	50.103 leadership  leader=true term=2
//	50.188 leadership  leader=false term=3
//
// and what was announced to the first one was lost with it.
func TestVoteIsGivenTimeToTakeEffect(t *testing.T) {
	w := newNetwork(1, 3)
	voter := w.nodes[1]
	voter.Step(Message{Type: MsgVote, From: 2, Term: 2, Index: 1, LogTerm: 1})
	voter.messages = nil
	ask := func() bool {
		voter.Step(Message{Type: MsgPreVote, From: 3, Term: 3, Index: 1, LogTerm: 1})
		granted := !voter.messages[len(voter.messages)-1].Reject
		voter.messages = nil
		return granted
	}
	if ask() {
		t.Error("a second candidate gets support at once")
	}
	for range voter.cfg.HeartbeatTicks + 1 {
		voter.Tick()
	}
	if !ask() {
		t.Error("a second candidate gets no support after the first one had its time")
	}
}
