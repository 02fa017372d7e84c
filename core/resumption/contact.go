package resumption

import "time"

// maxContactGap is the longest time between two answers of the replica group during which the
// list of servers still counts as current. It covers a request that is held and one that is lost.
const maxContactGap = 750 * time.Millisecond

// Contact tracks since when the list of servers has been current: where the replica group does not
// answer, servers may start again without being listed. The first list of an instance counts as
// current: it comes from a group that takes announcements. The zero value has no contact. Not safe
// for concurrent use.
type Contact struct {
	// since is when the latest gap between two answers ended; zero without one.
	since time.Time
	// last is when the group answered last.
	last time.Time
}

// Answered records an answer of the replica group.
func (c *Contact) Answered(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > maxContactGap {
		c.since = now
	}
	c.last = now
}

// LastAnswer returns when the replica group last answered, zero if it has not.
func (c *Contact) LastAnswer() time.Time { return c.last }

// CurrentSince reports whether the list of servers has been current from a time until now.
func (c *Contact) CurrentSince(from, now time.Time) bool {
	return !c.last.IsZero() && now.Sub(c.last) <= maxContactGap && !from.Before(c.since)
}
