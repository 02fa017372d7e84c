package replica

import (
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/raft"
)

// Limits of the leader's upkeep of the membership.
const (
	// replaceAfter is how long a voter must be silent before a caught-up learner
	// takes its place: three election timeouts at least, so that a restart in place is
	// waited for.
	replaceAfter = 2500 * time.Millisecond
	// doubtAfter is the silence of a voter from which a learner is not made a voter
	// beside it: it might have to take its place, and a group that counts both bears
	// one loss less.
	doubtAfter = 700 * time.Millisecond
	// dropAfter is how long a voter must be silent before it is ended with no
	// learner at hand, so that the quorum does not go on counting an instance
	// that is gone. It rejoins as a learner should it return.
	dropAfter = 12 * time.Second
	// leastVoters is the smallest group that silent voters are dropped to.
	leastVoters = 3
)

// maintain moves the membership on, one step at a time: a caught-up learner
// first ends the member that it replaces, then becomes a voter.
func (r *Replica) maintain() {
	st := r.node.Status()
	if st.Role != raft.Leader || !st.MembershipSettled {
		return
	}
	next, reason := r.nextMembership(st)
	if reason == "" {
		return
	}
	if err := r.node.ProposeMembership(next); err != nil {
		log.WithError(err).WithField("step", "change membership").Debug("try again later")
		return
	}
	log.WithFields(log.Fields{"step": "change membership", "reason": reason, "voters": next.Voters(), "members": len(next.Members)}).Info("membership proposed")
}

// nextMembership returns the next step with its reason, "" for none.
func (r *Replica) nextMembership(st raft.Status) (next raft.Membership, reason string) {
	learner, waiting := caughtUpLearner(st)
	if !waiting {
		gone, ok := r.silentVoter(st, dropLimit(st.Membership))
		if !ok || !r.dynamic() || st.Membership.Voters() <= leastVoters || r.liveVoters(st) <= st.Membership.Voters()/2 {
			return next, ""
		}
		return st.Membership.Without(gone.ID), "a voter is silent"
	}
	if old, replaced := predecessor(st.Membership, learner); replaced {
		return st.Membership.Without(old.ID), "a new replica stands at the address"
	}
	if gone, ok := r.silentVoter(st, replaceAfter); ok && r.dynamic() && st.Membership.Voters() >= leastVoters {
		return st.Membership.Without(gone.ID), "a learner takes a silent voter's place"
	}
	if _, doubt := r.silentVoter(st, doubtAfter); doubt && r.dynamic() {
		return next, ""
	}
	return st.Membership.With(raft.Member{ID: learner.ID, Address: learner.Address, Voter: true}), "a learner has caught up"
}

// dropLimit is how long a voter may be silent before it is ended with no learner
// at hand. A group of an even size, as after a learner was made a voter just
// before another voter was lost, bears no loss more than without the silent one.
func dropLimit(m raft.Membership) time.Duration {
	if m.Voters()%2 == 0 {
		return replaceAfter
	}
	return dropAfter
}

// dynamic reports whether members come and go without the settings.
func (r *Replica) dynamic() bool { return r.opt.Directory.open }

func caughtUpLearner(st raft.Status) (raft.Member, bool) {
	for _, m := range st.Membership.Members {
		p, ok := st.Progress[m.ID]
		if !m.Voter && ok && p.Match+1 >= st.Commit {
			return m, true
		}
	}
	return raft.Member{}, false
}

// silentVoter returns the voter that has been silent longest, if for as long
// as the given time.
func (r *Replica) silentVoter(st raft.Status, atLeast time.Duration) (raft.Member, bool) {
	var out raft.Member
	longest := atLeast
	for _, m := range st.Membership.Members {
		if !m.Voter || m.ID == st.ID {
			continue
		}
		if silent := r.silence(m.ID); silent >= longest {
			out, longest = m, silent
		}
	}
	return out, out.ID != raft.None
}

// silence is how long nothing came from a member, counted from the beginning of
// this replica's leadership at the earliest.
func (r *Replica) silence(id uint64) time.Duration {
	last := r.heardAt[id]
	if last.Before(r.leadingSince) {
		last = r.leadingSince
	}
	return time.Since(last)
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

// predecessor finds the member whose place at the same address a learner takes.
func predecessor(m raft.Membership, learner raft.Member) (raft.Member, bool) {
	for _, x := range m.Members {
		if x.Address == learner.Address && x.ID != learner.ID {
			return x, true
		}
	}
	return raft.Member{}, false
}
