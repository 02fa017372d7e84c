package raft

// maxInflight limits the unacknowledged append messages to one follower.
const maxInflight = 64

// Progress is the leader's view of one replica's log.
type Progress struct {
	// Match is the highest index known to be persisted on the replica. It never decreases
	// within a term.
	Match uint64
	// Next is the index of the next entry to send. It is always greater than Match.
	Next uint64
	// Active means that a message has arrived since the last quorum check.
	Active bool
	// probing limits the appends in flight to one until a reply arrives.
	probing bool
	// waiting means that a probe is in flight; a heartbeat reply clears it.
	waiting bool
	// snapshot is the index of the snapshot being sent, or 0.
	snapshot uint64
	// inflight counts the appends sent since the last reply.
	inflight int
	// matchAtHeartbeat is Match as of the previous heartbeat reply.
	matchAtHeartbeat uint64
	// ackedRound is the latest acknowledged heartbeat round.
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

// detectLoss falls back to probing when no append was acknowledged between two heartbeat
// replies, as after a lost connection.
func (p *Progress) detectLoss(last uint64) {
	if p.Match < last && p.Match == p.matchAtHeartbeat && !p.probing && p.snapshot == 0 {
		p.probing = true
		p.Next = p.Match + 1
	}
	p.matchAtHeartbeat = p.Match
}
