package retry

import (
	"math/rand"
	"testing"
	"time"
)

// All servers of a pool refuse, so every call is to be retried. The retries of all
// instances must stay within ratio and slack in any window.
func TestWindowBoundsRetriesInAnySpan(t *testing.T) {
	const instances, slack, ratio = 6, 58.0, 0.2
	span := 10 * time.Second
	rnd := rand.New(rand.NewSource(1))
	windows := make([]*Window, instances)
	for i := range windows {
		windows[i] = &Window{Span: span, Ratio: ratio, Slack: slack}
	}
	type event struct {
		at    time.Duration
		retry bool
	}
	var events []event
	start := time.Unix(1_800_000_000, 0)
	for at := time.Duration(0); at < 40*time.Second; at += time.Duration(rnd.ExpFloat64() * float64(10*time.Millisecond)) {
		w := windows[rnd.Intn(instances)]
		w.RecordCall(start.Add(at))
		events = append(events, event{at, false})
		if w.Take(start.Add(at), instances) {
			events = append(events, event{at, true})
		}
	}
	for i := range events {
		calls, retries := 0.0, 0.0
		for _, e := range events[i:] {
			if e.at > events[i].at+span {
				break
			}
			if e.retry {
				retries++
			} else {
				calls++
			}
		}
		if retries > ratio*calls+slack {
			t.Fatalf("%.0f retries for %.0f calls in the window from %v", retries, calls, events[i].at)
		}
	}
}

func TestWindowDropsOldRetries(t *testing.T) {
	w := &Window{Span: time.Second, Slack: 5}
	now := time.Unix(1_800_000_000, 0)
	taken := 0
	for w.Take(now, 1) {
		taken++
	}
	if taken == 0 || taken > 5 {
		t.Fatalf("took %d retries with a slack of 5", taken)
	}
	if !w.Take(now.Add(2*time.Second), 1) {
		t.Error("the slack is not available again after the window")
	}
}
