package warmup

import (
	"testing"
	"time"
)

var started = time.Unix(1_800_000_000, 0)

// All instances restart after a power loss, callers retry immediately, and the
// declaration arrives 200 ms after the start. No call may be refused or time out
// before that.
func TestCallsWaitAfterPowerLoss(t *testing.T) {
	const declaredAt, perSecond = 200 * time.Millisecond, 60
	var l Limiter
	refused, waiting := 0, 0
	for at := time.Duration(0); at < declaredAt; at += time.Second / perSecond {
		wait, ok := l.Admit(started.Add(at), started, 18_000, 1500*time.Millisecond)
		if !ok || at+wait < declaredAt {
			refused++
			continue
		}
		waiting++
	}
	if refused > 0 || waiting == 0 {
		t.Errorf("%d refused, %d waiting", refused, waiting)
	}
}

func TestNoWaitAfterStartupWindow(t *testing.T) {
	var l Limiter
	if _, ok := l.Admit(started.Add(StartupWindow), started, 10, 0); ok {
		t.Error("a call waits although no declaration is expected any more")
	}
	if wait, ok := l.Admit(started.Add(StartupWindow-time.Second/10), started, 10, 0); !ok || wait > time.Second/10 {
		t.Errorf("wait %v, %v exceeds the startup window", wait, ok)
	}
}

func TestWaitLeavesTimeToServe(t *testing.T) {
	var l Limiter
	for timeout, want := range map[time.Duration]time.Duration{0: MaxWait, time.Minute: MaxWait, time.Second: time.Second / 2} {
		if wait, ok := l.Admit(started, started, 10, timeout); !ok || wait != want {
			t.Errorf("timeout %v: waits %v, %v; want %v", timeout, wait, ok, want)
		}
	}
}

func TestWaitingCallsAreBounded(t *testing.T) {
	var l Limiter
	for range maxCalls {
		if _, ok := l.Admit(started, started, 1, 0); !ok {
			t.Fatal("refused below the bound")
		}
	}
	if _, ok := l.Admit(started, started, 1, 0); ok {
		t.Error("more calls wait than maxCalls")
	}
	l.Release(1)
	if _, ok := l.Admit(started, started, maxBytes, 0); ok {
		t.Error("more bytes wait than maxBytes")
	}
	if _, ok := l.Admit(started, started, 1, 0); !ok {
		t.Error("a released call still counts")
	}
}
