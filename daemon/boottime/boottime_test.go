package boottime

import (
	"testing"
	"time"
)

func TestNowAdvancesAndHasNoMonotonicReading(t *testing.T) {
	a := Now()
	time.Sleep(5 * time.Millisecond)
	b := Now()
	if d := b.Sub(a); d < 5*time.Millisecond || d > time.Second {
		t.Errorf("the clock advanced by %v in a sleep of 5 ms", d)
	}
	if a.String() != a.Round(0).String() {
		t.Error("the value has a monotonic clock reading, which stops while the machine is suspended")
	}
}
