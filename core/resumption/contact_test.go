package resumption

import (
	"testing"
	"time"
)

func TestListIsNotCurrentAfterAGap(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	var c Contact
	if c.CurrentSince(begin, begin) {
		t.Error("current without any answer")
	}
	at := begin
	for range 5 {
		c.Answered(at)
		at = at.Add(maxContactGap)
	}
	if !c.CurrentSince(begin, at) || !c.CurrentSince(begin.Add(-time.Second), at) {
		t.Error("not current although the replicas have answered from the start on")
	}
	at = at.Add(time.Millisecond)
	if c.CurrentSince(at, at) {
		t.Error("current after a gap")
	}
	c.Answered(at)
	if c.CurrentSince(begin, at) || c.CurrentSince(at.Add(-time.Millisecond), at) || !c.CurrentSince(at, at) {
		t.Error("an answer makes the list current from then on, not for the gap before")
	}
}
