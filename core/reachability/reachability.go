// Package reachability decides whether an instance's own paths to the servers of a pool work.
//
// From one instance, a server that has ended, a pool whose servers are all down and a
// partition of the instance itself look alike. Packets may be lost, or connections reset or
// refused; open connections may live on while new ones fail. What tells a partition apart is
// that attempts at several servers fail while none succeeds. Attempts alone would show that
// late, since they cost callers their time: on the first signs, the detector asks for a few
// connections to be opened to servers that have not failed yet. Whether the pool is down or
// only out of this instance's reach is then shown by the peers that serve its calls.
//
// A wrong decision costs calls a detour through a peer and ends with the next probe. Probes
// open connections, which servers pay for: they are limited in number and rate, and calls use
// those that succeed.
//
// The package does no I/O: the clock and results are passed in.
package reachability

import "time"

// Parameters of the detector.
const (
	// ProbeServers is the number of servers that one probe connects to.
	ProbeServers = 3
	// ProbeTimeout bounds a probe's connections. It is longer than any round trip between
	// zones, and shorter than TCP's first retransmission of a lost packet.
	ProbeTimeout = 300 * time.Millisecond
	// SilenceTime is how long an attempt may stay without any response until it is a sign
	// of a partition, unless other servers of the pool respond meanwhile.
	SilenceTime = 300 * time.Millisecond
	// failureWindow is how long a failed attempt counts.
	failureWindow = 2 * time.Second
	// minFailedServers is the number of servers at which attempts have to fail while none
	// succeeds. One connection that can't be opened is enough while the pool is silent.
	minFailedServers = 2
	// minProbePause is the time between two probes of reachable servers. It doubles, up to
	// maxProbePause, while signs recur and probes find the paths working.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 8 * time.Second
	// minReturnPause and maxReturnPause bound the time between two probes of unreachable
	// servers, which grows by returnPauseGrowth with each.
	minReturnPause    = 300 * time.Millisecond
	maxReturnPause    = time.Second
	returnPauseGrowth = 1.25
	// ReturnTime is the time in which the share of calls that use the own paths again grows
	// from none to all, so that their new connections are spread over time.
	ReturnTime = time.Second
	// maxFailedServers bounds the servers whose failures are remembered.
	maxFailedServers = 64
)

// Failure is the kind of a failed attempt.
type Failure uint8

// Kinds of failures.
const (
	// NotConnected: no connection could be opened.
	NotConnected Failure = iota
	// Broken: an open connection broke or brought nothing.
	Broken
)

// Detector observes one pool. The zero value takes the servers as reachable. Not safe for
// concurrent use.
type Detector struct {
	unreachable bool
	// changed is when unreachable last changed.
	changed time.Time
	// connected is when a connection was last opened, responded when a server last sent
	// anything.
	connected, responded time.Time
	// failures holds the latest failure of each server and its kind.
	failures map[string]failure
	// probing is set while a probe is in progress, probeAfter is the earliest time of the
	// next one and pause the time between the last two.
	probing    bool
	probeAfter time.Time
	// suspected is set if a probe is wanted without signs in this pool.
	suspected bool
	pause     time.Duration
}

type failure struct {
	at   time.Time
	kind Failure
}

// Connected records that a connection to a server was opened.
func (d *Detector) Connected(now time.Time, server string) {
	d.connected = now
	d.Responded(now)
	delete(d.failures, server)
}

// Responded records that a server has sent something.
func (d *Detector) Responded(now time.Time) { d.responded = now }

// RespondedSince reports whether a server has sent something, or accepted a connection, after
// the given time.
func (d *Detector) RespondedSince(t time.Time) bool { return d.responded.After(t) }

// Failed records a failed attempt at a server.
func (d *Detector) Failed(now time.Time, server string, kind Failure) {
	if d.failures == nil {
		d.failures = map[string]failure{}
	}
	if _, known := d.failures[server]; !known && len(d.failures) >= maxFailedServers {
		d.expire(now)
	}
	if len(d.failures) < maxFailedServers {
		d.failures[server] = failure{now, kind}
	}
}

func (d *Detector) expire(now time.Time) {
	for id, f := range d.failures {
		if now.Sub(f.at) >= failureWindow {
			delete(d.failures, id)
		}
	}
}

// HasFailed reports whether an attempt at the server failed recently. A probe prefers others.
func (d *Detector) HasFailed(now time.Time, server string) bool {
	f, ok := d.failures[server]
	return ok && now.Sub(f.at) < failureWindow
}

// Suspect requests a probe because another pool has become unreachable.
func (d *Detector) Suspect(now time.Time) {
	if !d.unreachable {
		d.suspected, d.pause, d.probeAfter = true, 0, now
	}
}

// StartProbe reports whether a probe is due, and records that it begins. servers is the
// number of servers in the pool. Call it after each failure, and while Unreachable at the time
// that NextProbe returns.
func (d *Detector) StartProbe(now time.Time, servers int) bool {
	if d.probing || servers == 0 || now.Before(d.probeAfter) || !d.unreachable && !d.suspected && !d.suspicious(now, servers) {
		return false
	}
	d.probing, d.suspected = true, false
	return true
}

// suspicious reports whether attempts fail at several servers while none succeeds.
func (d *Detector) suspicious(now time.Time, servers int) bool {
	needed := min(minFailedServers, servers)
	neededNew := needed
	if now.Sub(d.responded) >= SilenceTime {
		neededNew = 1
	}
	notConnected, failed := 0, 0
	for _, f := range d.failures {
		if now.Sub(f.at) >= failureWindow {
			continue
		}
		if f.kind == NotConnected && f.at.After(d.connected) {
			notConnected++
		}
		if f.at.After(d.responded) {
			failed++
		}
	}
	return notConnected >= neededNew || failed >= needed
}

// EndProbe records the result of a probe: how many of its connections were opened. None are
// attempted where this instance may not open more. It reports whether Unreachable has changed.
func (d *Detector) EndProbe(now time.Time, attempted, opened int) (changed bool) {
	d.probing = false
	before := d.unreachable
	switch {
	case attempted == 0:
	case opened == 0:
		d.unreachable = true
	case !d.unreachable || opened > attempted/2:
		d.unreachable = false
	}
	d.schedule(now, before)
	if d.unreachable == before {
		return false
	}
	d.changed = now
	if !d.unreachable {
		clear(d.failures)
	}
	return true
}

// schedule sets the time of the next probe after one that began when the pool was reachable
// or not.
func (d *Detector) schedule(now time.Time, wasUnreachable bool) {
	switch {
	case d.unreachable && !wasUnreachable:
		d.pause = minReturnPause
	case d.unreachable:
		d.pause = min(maxReturnPause, time.Duration(returnPauseGrowth*float64(d.pause)))
	case wasUnreachable || now.Sub(d.probeAfter) >= maxProbePause:
		d.pause = minProbePause
	default:
		d.pause = min(maxProbePause, max(minProbePause, 2*d.pause))
	}
	d.probeAfter = now.Add(d.pause)
}

// NextProbe returns when the next probe of unreachable servers is due.
func (d *Detector) NextProbe() time.Time { return d.probeAfter }

// Unreachable reports whether this instance can't open connections to the pool's servers.
func (d *Detector) Unreachable() bool { return d.unreachable }

// UsesOwnPath decides whether a call uses this instance's own paths. random is uniform in
// [0, 1).
func (d *Detector) UsesOwnPath(now time.Time, random float64) bool {
	return random < d.ownPathShare(now)
}

// Returned reports whether all calls use this instance's own paths.
func (d *Detector) Returned(now time.Time) bool { return d.ownPathShare(now) >= 1 }

// ownPathShare returns the share of calls that use this instance's own paths.
func (d *Detector) ownPathShare(now time.Time) float64 {
	switch {
	case d.unreachable:
		return 0
	case d.changed.IsZero():
		return 1
	}
	return min(1, now.Sub(d.changed).Seconds()/ReturnTime.Seconds())
}
