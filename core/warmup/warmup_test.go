package warmup

import (
	"testing"
	"time"
)

var started = time.Unix(1_800_000_000, 0)

// All instances are back after a power loss, callers repeat at once, and the
// declaration comes 200 ms after the start: no call is refused, and none waits
// longer than it can.
func TestCallsAfterAPowerLossWait(t *testing.T) {
	const declaredAt, perSecond = 200 * time.Millisecond, 60
	var r Room
	refused, waiting := 0, 0
	for at := time.Duration(0); at < declaredAt; at += time.Second / perSecond {
		wait, ok := r.Enter(started.Add(at), started, 18_000, 1500*time.Millisecond)
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

func TestNoWaitWithoutHope(t *testing.T) {
	var r Room
	if _, ok := r.Enter(started.Add(Hope), started, 10, 0); ok {
		t.Error("a call waits at an instance that nobody has told anything for long")
	}
	if wait, ok := r.Enter(started.Add(Hope-time.Second/10), started, 10, 0); !ok || wait > time.Second/10 {
		t.Errorf("waits %v, %v, past the time in which a declaration is expected", wait, ok)
	}
}

func TestWaitLeavesTimeToServe(t *testing.T) {
	var r Room
	for patience, want := range map[time.Duration]time.Duration{0: MostWait, time.Minute: MostWait, time.Second: time.Second / 2} {
		if wait, ok := r.Enter(started, started, 10, patience); !ok || wait != want {
			t.Errorf("patience %v: waits %v, %v; want %v", patience, wait, ok, want)
		}
	}
}

func TestWhatWaitsIsBounded(t *testing.T) {
	var r Room
	for range mostCalls {
		if _, ok := r.Enter(started, started, 1, 0); !ok {
			t.Fatal("refused below the bound")
		}
	}
	if _, ok := r.Enter(started, started, 1, 0); ok {
		t.Error("more calls wait than the bound")
	}
	r.Leave(1)
	if _, ok := r.Enter(started, started, mostBytes, 0); ok {
		t.Error("more bytes wait than the bound")
	}
	if _, ok := r.Enter(started, started, 1, 0); !ok {
		t.Error("a call that left still counts")
	}
}
