package ratelimit

import "time"

// Brittle servers end when they have to reject more requests in a second, for lack of room,
// than they announce. The announcement has the shape of a Limit: rejections per second from
// all instances together. At hundreds of instances, one rejection for each would be too many.
// Therefore the instances divide the slots among them, and a request is sent only on a slot that no
// other instance uses.

const (
	// bornFactor covers seconds with more requests than on average.
	bornFactor = 3
	// minArrivals is the least number of requests per second that is expected at a server: an
	// instance that has just started knows of none.
	minArrivals = 4
)

// Room describes the use of one server's slots.
type Room struct {
	// Slots is the number of requests that the server runs at a time, 0 if unknown, and Owned
	// the part of them that only this instance uses.
	Slots, Owned int
	// Own and All are the running requests of this instance and of all whose counts are known.
	Own, All int
	// Handover is set while the slots are divided anew: others may still use more than theirs.
	Handover bool
}

// Certain reports whether a further request finds room as long as each instance keeps to its own
// slots.
func (r Room) Certain() bool { return r.Own < r.Owned && (!r.Handover || r.All < r.Slots) }

// OwnedSlots returns the slots that an instance has for itself, if the instances share a
// server's slots evenly and the rest goes to the first in rank. rank is the instance's rank for
// the server, from 0.
func OwnedSlots(slots, instances, rank int) int {
	if instances <= 0 || slots <= 0 {
		return 0
	}
	owned := slots / instances
	if rank < slots%instances {
		owned++
	}
	return owned
}

// Bears reports whether a server that announces this limit bears the rejection of all requests
// that are expected at it.
func (l Limit) Bears(arrivals float64) bool {
	return l.PerSecond >= bornFactor*max(minArrivals, arrivals)
}

// Confirmed returns when the current announcement was last received.
func (s *Announced) Confirmed() time.Time { return s.confirmed }
