package balance

import (
	"time"

	"cardamomwick.example/core/counts"
)

// Limits of the uses sent to peers.
const (
	// usesBacklog is how far back the uses sent to a new peer reach.
	usesBacklog = 350 * time.Millisecond
	// reannouncePeriod is the minimum time between two announcements of a prefix's use
	// on the same server. Receivers assume the prefix to be cached for much longer. This
	// suppresses most uses of common prefixes.
	reannouncePeriod = time.Second
	// maxLoggedUses bounds the number of logged uses. A peer that lags further behind
	// misses some.
	maxLoggedUses = 4096
)

// useLog holds the latest uses of shared prefixes, by this instance and by others, that
// are to be sent to peers.
type useLog struct {
	list []loggedUse
	// first is the sequence number of list[0].
	first uint64
}

type loggedUse struct {
	counts.Use
	at time.Time
	// from is the peer that reported the use; nil for this instance.
	from *peer
}

func (l *useLog) add(now time.Time, from *peer, u counts.Use) {
	l.list = append(l.list, loggedUse{u, now, from})
	if extra := len(l.list) - maxLoggedUses; extra >= maxLoggedUses {
		l.list = append([]loggedUse(nil), l.list[extra:]...)
		l.first += uint64(extra)
	}
}

// firstAfter returns the sequence number of the first use after t.
func (l *useLog) firstAfter(t time.Time) uint64 {
	i := len(l.list)
	for i > 0 && l.list[i-1].at.After(t) {
		i--
	}
	return l.first + uint64(i)
}

// next returns the uses to send to a peer, at most as many as one message holds. With
// subtreeOnly, only those of this instance and of peers accepted by counted.
func (l *useLog) next(now time.Time, to *peer, subtreeOnly bool, counted func(*peer) bool) []counts.Use {
	to.nextUse = max(to.nextUse, l.first)
	var out []counts.Use
	for _, u := range l.list[to.nextUse-l.first:] {
		if len(out) == counts.MaxUses {
			break
		}
		to.nextUse++
		if u.from == to || subtreeOnly && u.from != nil && !counted(u.from) || now.Sub(u.at) > peerTTL {
			continue
		}
		out = append(out, u.Use)
	}
	return out
}
