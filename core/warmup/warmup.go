// Package warmup decides which calls wait at an instance that has just started
// and does not know yet how calls are to be served.
//
// The load pattern it answers: all instances lose power or are killed together and
// are back within a second. Callers have one more try, which comes at once; an
// instance that refuses it for want of the declaration ends the call, although the
// declaration is some hundred milliseconds away. Up to half of all calls that a day
// left unserved ended so. A call that waits has not been given up on: what it waits
// for is on its way, and it is refused at once where that is no longer likely.
//
// The package is pure: the clock is passed in.
package warmup

import "time"

// Limits of the wait.
const (
	// MostWait is the longest wait: the group elects a leader within half a second
	// of its start, and an instance that was told of no replica that is left needs
	// as long again to find another one.
	MostWait = 1200 * time.Millisecond
	// PatienceShare of the time that its caller gives a call may be waited; the rest
	// is left for serving it.
	PatienceShare = 0.5
	// Hope is how long after its start an instance expects a declaration. The very
	// first one comes from an operator, at any time.
	Hope = 3 * time.Second
	// mostCalls and mostBytes bound what waits: 1.2 s of the calls that the busiest
	// entry measured gets (40 a second), ten times over, and an eighth of the memory
	// that the smallest entry has.
	mostCalls = 512
	mostBytes = 24 << 20
)

// Room counts the calls that wait. The zero value is empty. Not safe for
// concurrent use.
type Room struct {
	calls int
	bytes int
}

// Enter returns how long a call with a body of so many bytes may wait, or false if
// it has to be refused at once. patience is how long its caller waits in all, zero
// for unknown. A call that has entered must leave.
func (r *Room) Enter(now, started time.Time, bytes int, patience time.Duration) (time.Duration, bool) {
	hope := Hope - now.Sub(started)
	if hope <= 0 || r.calls >= mostCalls || r.bytes+bytes > mostBytes {
		return 0, false
	}
	wait := min(MostWait, hope)
	if patience > 0 {
		wait = min(wait, time.Duration(PatienceShare*float64(patience)))
	}
	r.calls++
	r.bytes += bytes
	return wait, true
}

// Leave ends the wait of a call with a body of so many bytes.
func (r *Room) Leave(bytes int) {
	r.calls--
	r.bytes -= bytes
}
