package replica

import (
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/raft"
)

// Limits of the leader's automatic membership changes.
const (
	// replaceAfter is how long a voter must be silent before a caught-up learner
	// replaces it: at least three election timeouts, so that a restarting voter is not
	// replaced.
	replaceAfter = 2500 * time.Millisecond
	// suspectAfter is how long a voter must be silent before learners are no longer
	// promoted in addition to it: the learner may have to replace it, and a group that
	// counts both tolerates one failure less.
	suspectAfter = 700 * time.Millisecond
	// removeAfter is how long a voter must be silent before it is removed without a
	// replacement, so that the quorum no longer counts an instance that is gone. If it
	// returns, it rejoins as a learner.
	removeAfter = 12 * time.Second
	// minVoters is the minimum group size: silent voters are not removed from a smaller
	// or equal one without a replacement.
	minVoters = 3
)

// maintainMembership changes the membership one step at a time: the member that a caught-up
// learner replaces is removed first, then the learner becomes a voter.
func (r *Replica) maintainMembership() {
	st := r.node.Status()
	if st.Role != raft.Leader || !st.MembershipSettled {
		return
	}
	next, reason := r.nextMembership(st)
	if reason == "" {
		return
	}
	if err := r.node.ProposeMembership(next); err != nil {
		log.WithError(err).WithField("step", "change membership").Debug("will be retried")
		return
	}
	log.WithFields(log.Fields{"step": "change membership", "reason": reason, "voters": next.Voters(), "members": len(next.Members)}).Info("membership proposed")
}

// nextMembership returns the next membership with the reason for the change, "" for none.
func (r *Replica) nextMembership(st raft.Status) (next raft.Membership, reason string) {
	learner, found := caughtUpLearner(st)
	if !found {
		silent, ok := r.silentVoter(st, removalTimeout(st.Membership))
		if !ok || !r.replacesMembers() || st.Membership.Voters() <= minVoters || r.liveVoters(st) <= st.Membership.Voters()/2 {
			return next, ""
		}
		return st.Membership.Without(silent.ID), "a voter is silent"
	}
	if old, replaced := predecessor(st.Membership, learner); replaced {
		return st.Membership.Without(old.ID), "a new replica has the address"
	}
	if silent, ok := r.silentVoter(st, replaceAfter); ok && r.replacesMembers() && st.Membership.Voters() >= minVoters {
		return st.Membership.Without(silent.ID), "a learner takes a silent voter's place"
	}
	if _, suspected := r.silentVoter(st, suspectAfter); suspected && r.replacesMembers() {
		return next, ""
	}
	return st.Membership.With(raft.Member{ID: learner.ID, Address: learner.Address, Voter: true}), "a learner has caught up"
}

// removalTimeout returns how long a voter may be silent before it is removed without a
// replacement. A group of even size, as when a learner became a voter just before another
// voter was lost, tolerates no more failures than the same group without the silent voter.
func removalTimeout(m raft.Membership) time.Duration {
	if m.Voters()%2 == 0 {
		return replaceAfter
	}
	return removeAfter
}

// replacesMembers reports whether members are replaced without a change of the settings.
func (r *Replica) replacesMembers() bool { return r.opt.Directory.open }

func caughtUpLearner(st raft.Status) (raft.Member, bool) {
	for _, m := range st.Membership.Members {
		p, ok := st.Progress[m.ID]
		if !m.Voter && ok && p.Match+1 >= st.Commit {
			return m, true
		}
	}
	return raft.Member{}, false
}

// silentVoter returns the voter that has been silent longest, if it has been silent for
// minSilence.
func (r *Replica) silentVoter(st raft.Status, minSilence time.Duration) (raft.Member, bool) {
	var out raft.Member
	longest := minSilence
	for _, m := range st.Membership.Members {
		if !m.Voter || m.ID == st.ID {
			continue
		}
		if silence := r.silence(m.ID); silence >= longest {
			out, longest = m, silence
		}
	}
	return out, out.ID != raft.None
}

// silence returns the time since a member's last message, or since the start of this
// replica's leadership if that is later.
func (r *Replica) silence(id uint64) time.Duration {
	last := r.lastMessage[id]
	if last.Before(r.leadingSince) {
		last = r.leadingSince
	}
	return r.now().Sub(last)
}

func (r *Replica) liveVoters(st raft.Status) int {
	live := 0
	for _, m := range st.Membership.Members {
		if m.Voter && (m.ID == st.ID || r.silence(m.ID) < replaceAfter/2) {
			live++
		}
	}
	return live
}

// predecessor returns the member with the same address as the learner, which replaces it.
func predecessor(m raft.Membership, learner raft.Member) (raft.Member, bool) {
	for _, x := range m.Members {
		if x.Address == learner.Address && x.ID != learner.ID {
			return x, true
		}
	}
	return raft.Member{}, false
}
