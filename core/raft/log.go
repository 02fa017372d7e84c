package raft

// raftLog holds the entries after the last snapshot. entries[0] has index
// snap.Index+1.
type raftLog struct {
	snap    SnapshotMeta
	entries []Entry
	// stable is the last persisted index.
	stable uint64
	// commit is the last index known to be committed; it never decreases.
	commit uint64
	// applied is the last index that the driver has applied.
	applied uint64
	// memberships holds the memberships in the log, oldest first. The last one is active,
	// whether committed or not.
	memberships []membershipAt
}

type membershipAt struct {
	index      uint64
	membership Membership
}

func newLog(snap SnapshotMeta, entries []Entry) *raftLog {
	l := &raftLog{snap: snap, commit: snap.Index, applied: snap.Index}
	l.memberships = []membershipAt{{snap.Index, snap.Membership}}
	l.push(entries)
	l.stable = l.last()
	return l
}

func (l *raftLog) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index; ok is false when the entry
// has been compacted or does not exist yet.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snap.Index {
		return l.snap.Term, true
	}
	if index < l.snap.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snap.Index-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as
// this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// slice returns the entries from..to inclusive, limited to maxBytes but at least one
// entry.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
	var out []Entry
	size := 0
	for i := from; i <= to; i++ {
		e := l.entries[i-l.snap.Index-1]
		size += len(e.Data)
		if len(out) > 0 && size > maxBytes {
			break
		}
		out = append(out, e)
	}
	return out
}

func (l *raftLog) push(entries []Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Type == EntryMembership {
			l.memberships = append(l.memberships, membershipAt{e.Index, *e.Membership})
		}
	}
}

// merge appends entries received from a leader, removing a conflicting tail.
func (l *raftLog) merge(entries []Entry) {
	for k, e := range entries {
		if e.Index <= l.snap.Index {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		l.truncate(e.Index)
		l.push(entries[k:])
		return
	}
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	l.entries = l.entries[: index-l.snap.Index-1 : index-l.snap.Index-1]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *raftLog) membership() membershipAt { return l.memberships[len(l.memberships)-1] }

// membershipAtIndex returns the membership that is active at a log index.
func (l *raftLog) membershipAtIndex(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership
		}
	}
	return l.memberships[0].membership
}

// compact discards the entries up to index, which a snapshot covers.
func (l *raftLog) compact(index uint64) {
	if index <= l.snap.Index || index > l.applied {
		return
	}
	t, _ := l.term(index)
	m := l.membershipAtIndex(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snap.Index:]...)
	l.snap = SnapshotMeta{Index: index, Term: t, Membership: m}
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
	l.memberships[0] = membershipAt{index, m}
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(meta SnapshotMeta) {
	l.snap = meta
	l.entries = nil
	l.memberships = []membershipAt{{meta.Index, meta.Membership}}
	l.commit = meta.Index
	l.applied = meta.Index
	l.stable = meta.Index
}
