package procstat

import (
	"os"
	"testing"
	"time"
)

// Spaces and parentheses in the name of a process must not shift the fields.
func TestNameDoesNotShiftFields(t *testing.T) {
	ticks, pages, err := parse("7 (a ) b (c) S 1 2 3 4 5 6 7 8 9 10 30 12 13 14 15 16 17 18 19 20 55 22")
	if err != nil || ticks != 42 || pages != 55 {
		t.Errorf("%d ticks, %d pages, %v", ticks, pages, err)
	}
	if _, _, err := parse("7 (a) S 1"); err == nil {
		t.Error("a truncated line is accepted")
	}
}

// A reader that returns zeros would make every daemon appear to use nothing.
func TestOwnProcessUsesSomething(t *testing.T) {
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	u, err := Read(os.Getpid())
	if err != nil || u.CPUTime <= 0 || u.ResidentBytes <= 0 || u.OpenDescriptors <= 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
