package ratelimit

import "time"

const (
	// probeTime is the time after a rejection until one further call may find out whether a server
	// has room for more than the rejection has shown. It doubles each time that there is none.
	probeTime       = 2 * time.Second
	maxProbeDoubles = 5
	// minProbedRejections is the number of rejections per second below which a server is never
	// probed: each rejection could end it.
	minProbedRejections = 1
)

// RoomEstimate is what rejections have shown of the room of a server that is brittle: the number of
// calls that it runs at a time. The zero value knows nothing.
type RoomEstimate struct {
	room     int
	rejected time.Time
	// failedProbes counts the probes without success in a row.
	failedProbes int
}

// Known reports whether there has been a rejection.
func (e *RoomEstimate) Known() bool { return e.room > 0 }

// Latest returns the running calls at the latest rejection, and its age.
func (e *RoomEstimate) Latest(now time.Time) (room int, age time.Duration) {
	return e.room, now.Sub(e.rejected)
}

// Record records that the server has rejected a call while it ran the given number of calls.
func (e *RoomEstimate) Record(now time.Time, running int) {
	if e.Known() {
		switch e.probes(now) {
		case 0: // several calls were on their way
		case 1:
			e.failedProbes = min(e.failedProbes+1, maxProbeDoubles)
		default:
			e.failedProbes = 0
		}
	}
	e.room, e.rejected = max(1, running), now
}

// Merge applies a rejection of the given age that another instance reports, if it shows less room.
func (e *RoomEstimate) Merge(now time.Time, room int, age time.Duration, bears Limit) {
	other := RoomEstimate{room: room, rejected: now.Add(-age)}
	if room > 0 && (!e.Known() || other.Slots(now, bears) < e.Slots(now, bears)) {
		*e = other
	}
}

// probes returns how many calls more than at the latest rejection may have been sent since.
func (e *RoomEstimate) probes(now time.Time) int {
	return int(now.Sub(e.rejected) / (probeTime << e.failedProbes))
}

// FailedProbe reports whether a rejection by a server that runs a number of calls only says that a probe
// has found no further room.
func (e *RoomEstimate) FailedProbe(now time.Time, running int) bool {
	return e.Known() && e.probes(now) == 1 && running == e.room
}

// Slots returns how many calls may run at the server, which bears this number of rejections per
// second.
func (e *RoomEstimate) Slots(now time.Time, bears Limit) int {
	if bears.Limited && bears.PerSecond < minProbedRejections {
		return e.room
	}
	return e.room + e.probes(now)
}
