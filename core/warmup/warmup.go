// Package warmup limits the calls that wait on an instance that has just started and
// has not received the declaration yet, which says how calls are to be served.
//
// When all instances lose power or are killed together, they are back within a second.
// Callers retry once, immediately; an instance that refuses the retry because it has
// no declaration yet ends the call, although the declaration arrives a few hundred
// milliseconds later. Up to half of the calls left unserved in a day failed this way.
// A call waits only while the declaration can still be expected and is refused
// immediately otherwise.
//
// The package is pure: time is passed in.
package warmup

import "time"

// Limits of waiting.
const (
	// MaxWait is the longest wait. The replica group elects a leader within half a
	// second of its start, and an instance whose known replicas are all gone needs as
	// long again to find another one.
	MaxWait = 1200 * time.Millisecond
	// MaxWaitShare is the fraction of a caller's timeout that a call may wait; the
	// rest is left for serving it.
	MaxWaitShare = 0.5
	// StartupWindow is how long after its start an instance expects a declaration. The
	// very first declaration comes from an operator and may arrive at any time.
	StartupWindow = 3 * time.Second
	// maxCalls and maxBytes bound the waiting calls. maxCalls allows ten times the
	// calls of an entry that receives 40 per second, over MaxWait (1.2 s); maxBytes is
	// an eighth of the memory of the smallest entry.
	maxCalls = 512
	maxBytes = 24 << 20
)

// Limiter counts the waiting calls. The zero value is ready to use. It is not safe for
// concurrent use.
type Limiter struct {
	calls int
	bytes int
}

// Admit returns how long a call with a body of the given size may wait, or false if it
// has to be refused immediately. timeout is how long the caller waits in total, zero
// if unknown. Every admitted call must be released.
func (l *Limiter) Admit(now, started time.Time, bytes int, timeout time.Duration) (time.Duration, bool) {
	remaining := StartupWindow - now.Sub(started)
	if remaining <= 0 || l.calls >= maxCalls || l.bytes+bytes > maxBytes {
		return 0, false
	}
	wait := min(MaxWait, remaining)
	if timeout > 0 {
		wait = min(wait, time.Duration(MaxWaitShare*float64(timeout)))
	}
	l.calls++
	l.bytes += bytes
	return wait, true
}

// Release ends the wait of a call with a body of the given size.
func (l *Limiter) Release(bytes int) {
	l.calls--
	l.bytes -= bytes
}
