package control

import (
	"fmt"
	"testing"
	"time"
)

// A writer that floods the instance costs a line a minute, however many names it
// uses.
func TestForeignWritersAreLoggedBounded(t *testing.T) {
	var f foreign
	now := time.Unix(1_800_000_000, 0)
	lines := 0
	for i := range 10 * keptSources {
		for range 3 {
			if _, first := f.note(now, fmt.Sprint("10.0.0.", i)); first {
				lines++
			}
		}
	}
	if lines != keptSources+1 {
		t.Errorf("%d lines for %d sources", lines, 10*keptSources)
	}
	if f.total != 30*keptSources {
		t.Errorf("counted %d", f.total)
	}
	if _, first := f.note(now.Add(foreignPause), "10.0.0.1"); !first {
		t.Error("a source that goes on is never logged again")
	}
}
