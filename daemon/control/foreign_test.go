package control

import (
	"fmt"
	"testing"
	"time"
)

// A sender that floods the instance causes at most one log line a minute per source, and
// the number of sources is bounded.
func TestForeignAnnouncementLoggingIsBounded(t *testing.T) {
	var f foreignCounter
	now := time.Unix(1_800_000_000, 0)
	lines := 0
	for i := range 10 * maxForeignSources {
		for range 3 {
			if _, toLog := f.record(now, fmt.Sprint("10.0.0.", i)); toLog {
				lines++
			}
		}
	}
	if lines != maxForeignSources+1 {
		t.Errorf("%d lines logged for %d sources, want %d", lines, 10*maxForeignSources, maxForeignSources+1)
	}
	if f.total != 30*maxForeignSources {
		t.Errorf("counted %d announcements, want %d", f.total, 30*maxForeignSources)
	}
	if _, toLog := f.record(now.Add(foreignLogInterval), "10.0.0.1"); !toLog {
		t.Error("a source that continues is not logged again after the interval")
	}
}
