package boottime

import (
	"testing"
	"time"
)

func TestClockGoesOnAndIsNotTheTimeOfDay(t *testing.T) {
	a := Now()
	time.Sleep(5 * time.Millisecond)
	b := Now()
	if d := b.Sub(a); d < 5*time.Millisecond || d > time.Second {
		t.Errorf("%v went by in a sleep of 5 ms", d)
	}
	if a.String() != a.Round(0).String() {
		t.Error("the value carries Go's monotonic time, which stands still in a suspended machine")
	}
}
