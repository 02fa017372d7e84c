// Package silence detects open connections to a peer that no longer deliver anything.
//
// A device between two instances may drop the packets of a connection without a reset,
// while new connections work. The sender then keeps using that connection for as long as it
// has something to send: each request times out, and an instance that watches for changes
// over it keeps an outdated declaration.
//
// A late answer does not mean that the connection has failed: the peer holds it, its disk
// syncs, or a group has no leader. So the peer is sent a probe, which it answers without
// any work, and the connection is closed only if that is not answered.
//
// The package does no I/O: the clock is passed in.
package silence

import "time"

// Timing of probes.
const (
	// ProbeAfter is how long after an unanswered request the peer is probed. It is longer
	// than the 450 ms for which a watch request is held, so that a peer without changes is
	// not probed in each round.
	ProbeAfter = 600 * time.Millisecond
	// ProbeAfterOneWay is the same after messages that have no response. The next such
	// message repeats what was lost, and many more connections carry only these.
	ProbeAfterOneWay = 2 * time.Second
	// ProbeTimeout is how long the peer may take to answer a probe. With ProbeAfter it
	// leaves 0.8 s of the 2 s within which a declaration must be in force.
	ProbeTimeout = 600 * time.Millisecond
	// maxDoublings bounds the growth of the timeout after connections closed in a row: such
	// a peer lacks processor time rather than a connection, and each new connection costs
	// it more.
	maxDoublings = 4
)

// Action is what to do about a connection.
type Action int

// Actions.
const (
	// NoAction means that nothing is to be done now.
	NoAction Action = iota
	// SendProbe sends the peer a probe, which it answers immediately.
	SendProbe
	// CloseConnection closes the connection.
	CloseConnection
)

// Monitor tracks the successive connections to one peer. In the zero value nothing has been
// sent. Not safe for concurrent use.
type Monitor struct {
	// firstRequest and firstSent are when the first request and the first message of any
	// kind were sent after which nothing has been received; zero for none.
	firstRequest, firstSent time.Time
	// probedAt is when the peer was probed, zero if it was not.
	probedAt time.Time
	// closed is the number of connections closed since anything was received.
	closed int
}

// Connected records a new connection, on which nothing has been sent.
func (m *Monitor) Connected() { *m = Monitor{closed: m.closed} }

// Sent records a message, which may be a request.
func (m *Monitor) Sent(now time.Time, request bool) {
	if m.firstSent.IsZero() {
		m.firstSent = now
	}
	if request && m.firstRequest.IsZero() {
		m.firstRequest = now
	}
}

// Received records that something was received; pending reports whether requests are still
// awaiting a response.
func (m *Monitor) Received(now time.Time, pending bool) {
	*m = Monitor{}
	if pending {
		m.Sent(now, true)
	}
}

// NextAction returns what to do now, and the time until the next call of NextAction; zero
// if none is needed until something is sent.
func (m *Monitor) NextAction(now time.Time) (Action, time.Duration) {
	if !m.probedAt.IsZero() {
		return m.actionAfterProbe(now)
	}
	at := m.probeTime()
	if at.IsZero() {
		return NoAction, 0
	}
	if wait := at.Sub(now); wait > 0 {
		return NoAction, wait
	}
	m.probedAt = now
	return SendProbe, m.probeTimeout()
}

func (m *Monitor) actionAfterProbe(now time.Time) (Action, time.Duration) {
	if wait := m.probeTimeout() - now.Sub(m.probedAt); wait > 0 {
		return NoAction, wait
	}
	m.closed++
	return CloseConnection, 0
}

// probeTime returns when to probe the peer, zero for never.
func (m *Monitor) probeTime() time.Time {
	if m.firstSent.IsZero() {
		return time.Time{}
	}
	at := m.firstSent.Add(ProbeAfterOneWay)
	if afterRequest := m.firstRequest.Add(ProbeAfter); !m.firstRequest.IsZero() && afterRequest.Before(at) {
		return afterRequest
	}
	return at
}

func (m *Monitor) probeTimeout() time.Duration { return ProbeTimeout << min(m.closed, maxDoublings) }
