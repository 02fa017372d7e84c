package raft

// maxInflight bounds the append messages sent to one follower without answer.
const maxInflight = 64

// Progress is the leader's view of one replica. Only the leader changes it.
type Progress struct {
	// Match is the highest index known to be persisted there; never decreases
	// within a term.
	Match uint64
	// Next is the index of the next entry to send; always above Match.
	Next uint64
	// Active: heard from since the last quorum check.
	Active bool
	// probing: at most one append in flight until an answer comes.
	probing bool
	// waiting: a probe or snapshot is in flight; a heartbeat answer clears it.
	waiting  bool
	snapshot uint64
	inflight int
	// matchAtHeartbeat is Match at the previous heartbeat answer.
	matchAtHeartbeat uint64
	// ackedRound is the last heartbeat round answered.
	ackedRound uint64
}

func (p *Progress) paused() bool {
	if p.snapshot != 0 || (p.probing && p.waiting) {
		return true
	}
	return p.inflight >= maxInflight
}

func (p *Progress) acked(index uint64) bool {
	p.waiting = false
	p.inflight = 0
	if p.snapshot != 0 && index >= p.snapshot {
		p.snapshot = 0
	}
	if index < p.Match || (index == p.Match && !p.probing) {
		return false
	}
	moved := index > p.Match
	p.Match = index
	p.Next = max(p.Next, index+1)
	p.probing = false
	return moved
}

func (p *Progress) rejected(hint uint64) {
	p.waiting = false
	p.inflight = 0
	p.probing = true
	p.Next = max(p.Match+1, min(p.Next-1, hint+1))
}

// detectLoss falls back to probing when appends stay unanswered from one
// heartbeat answer to the next, as after a lost connection.
func (p *Progress) detectLoss(last uint64) {
	if p.Match < last && p.Match == p.matchAtHeartbeat && !p.probing && p.snapshot == 0 {
		p.probing = true
		p.Next = p.Match + 1
	}
	p.matchAtHeartbeat = p.Match
}
