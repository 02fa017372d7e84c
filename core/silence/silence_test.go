package silence

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// traffic simulates the messages on a connection.
type traffic struct {
	monitor Monitor
	// interval is the time between two messages, all of which are requests if request is
	// set.
	interval time.Duration
	request  bool
	// answerDelay is the time until a request is answered; negative for never. A probe is
	// answered within 0.1 s if requests are answered at all.
	answerDelay time.Duration
}

// run returns how often the peer was probed, and when the connection was closed, zero for
// never.
func (t *traffic) run(span time.Duration) (probes int, closedAt time.Duration) {
	const step = 10 * time.Millisecond
	var answerAt, sentAt time.Duration
	for at := time.Duration(0); at < span; at += step {
		now := t0.Add(at)
		if t.answerDelay >= 0 && answerAt > 0 && at >= answerAt {
			t.monitor.Received(now, false)
			answerAt = 0
		}
		if at >= sentAt {
			sentAt = at + t.interval
			t.monitor.Sent(now, t.request)
			if t.request && answerAt == 0 {
				answerAt = at + t.answerDelay
			}
		}
		switch s, _ := t.monitor.NextAction(now); s {
		case SendProbe:
			probes++
			if answerAt == 0 || answerAt > at+10*step {
				answerAt = at + min(max(t.answerDelay, step), 10*step)
			}
		case CloseConnection:
			return probes, at
		}
	}
	return probes, 0
}

// ProbeAfter and ProbeTimeout together are 1.2 s, which leaves time to fetch a declaration
// over a new connection. After one-way messages it is 2.6 s.
func TestSilentConnectionIsClosedInTime(t *testing.T) {
	p := traffic{interval: 200 * time.Millisecond, request: true, answerDelay: -1}
	if _, closedAt := p.run(30 * time.Second); closedAt == 0 || closedAt > 1300*time.Millisecond {
		t.Errorf("closed after %v", closedAt)
	}
	p = traffic{interval: 200 * time.Millisecond, answerDelay: -1}
	if _, closedAt := p.run(30 * time.Second); closedAt == 0 || closedAt > 3*time.Second {
		t.Errorf("with one-way messages: closed after %v", closedAt)
	}
}

// A watch request without changes is answered at the end of its hold time; its peer is not
// probed.
func TestHeldRequestsCauseNoProbe(t *testing.T) {
	p := traffic{interval: 470 * time.Millisecond, request: true, answerDelay: 450 * time.Millisecond}
	if probes, closedAt := p.run(30 * time.Second); probes > 0 || closedAt > 0 {
		t.Errorf("%d probes, closed after %v", probes, closedAt)
	}
}

// A peer that works on a request for seconds answers the probe immediately.
func TestSlowAnswerKeepsTheConnection(t *testing.T) {
	p := traffic{interval: 20 * time.Second, request: true, answerDelay: 5 * time.Second}
	if probes, closedAt := p.run(30 * time.Second); probes == 0 || closedAt > 0 {
		t.Errorf("%d probes, closed after %v", probes, closedAt)
	}
}

func TestNoActionWithoutMessages(t *testing.T) {
	var monitor Monitor
	if s, wait := monitor.NextAction(t0); s != NoAction || wait != 0 {
		t.Errorf("%v in %v", s, wait)
	}
	monitor.Sent(t0, true)
	monitor.Received(t0.Add(time.Second), false)
	if s, wait := monitor.NextAction(t0.Add(time.Hour)); s != NoAction || wait != 0 {
		t.Errorf("after an answer: %v in %v", s, wait)
	}
}

// A peer without any processor time for a minute answers nothing. Each new connection costs
// it more, so there must be few.
func TestFewNewConnectionsToStarvedPeer(t *testing.T) {
	var monitor Monitor
	closed := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		monitor.Sent(t0.Add(at), true)
		if s, _ := monitor.NextAction(t0.Add(at)); s == CloseConnection {
			closed++
			monitor.Connected()
		}
	}
	if closed == 0 || closed > 8 {
		t.Errorf("%d connections were closed in a minute", closed)
	}
	monitor.Received(t0.Add(time.Minute), true)
	if monitor.probeTimeout() != ProbeTimeout {
		t.Errorf("probe timeout is %v after an answer", monitor.probeTimeout())
	}
}
