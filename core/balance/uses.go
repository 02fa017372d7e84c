package balance

import (
	"time"

	"cardamomwick.example/core/counts"
)

// Limits of the uses that are told.
const (
	// usesWindow is how far back a new peer is told uses.
	usesWindow = 350 * time.Millisecond
	// retellTime is how long a part's use at a server need not be told again: others
	// take the part to be kept for much longer than that. Most uses of common parts
	// are left out by it.
	retellTime = time.Second
	// keptUses bounds the uses that wait to be told; whoever is behind by more has
	// lost them.
	keptUses = 4096
)

// usesLog holds the latest uses of shared parts, own ones and those of others, for
// all that are to be told.
type usesLog struct {
	list []loggedUse
	// first is the number of the first one in the list.
	first uint64
}

type loggedUse struct {
	counts.Use
	at time.Time
	// from told of it; nil for this instance.
	from *peer
}

func (l *usesLog) add(now time.Time, from *peer, u counts.Use) {
	l.list = append(l.list, loggedUse{u, now, from})
	if extra := len(l.list) - keptUses; extra >= keptUses {
		l.list = append([]loggedUse(nil), l.list[extra:]...)
		l.first += uint64(extra)
	}
}

// before returns the number of the first use after a time.
func (l *usesLog) before(t time.Time) uint64 {
	i := len(l.list)
	for i > 0 && l.list[i-1].at.After(t) {
		i--
	}
	return l.first + uint64(i)
}

// next returns the uses that a peer has not been told, as many as one message takes;
// below: only those of this instance and of the members that are counted.
func (l *usesLog) next(now time.Time, to *peer, below bool, counted func(*peer) bool) []counts.Use {
	to.usesTold = max(to.usesTold, l.first)
	var out []counts.Use
	for _, u := range l.list[to.usesTold-l.first:] {
		if len(out) == counts.MaxUses {
			break
		}
		to.usesTold++
		if u.from == to || below && u.from != nil && !counted(u.from) || now.Sub(u.at) > peerTime {
			continue
		}
		out = append(out, u.Use)
	}
	return out
}
