package router

import (
	"net/http"
	"testing"

	core "cardamomwick.example/core/quarantine"
)

// holdPart makes the quarantine hold a part of the prompts, or end its hold.
func (w *harness) holdPart(id string, expired bool) {
	part := core.NewPart("p", id, "ana")
	x := core.Decision{Digest: part.Digest(), Part: &part, Status: core.Held, Version: 1, Holds: 1}
	if expired {
		x.Age = core.InitialHold
	}
	w.router.opt.Quarantine.MergeDecisions([]core.Decision{x})
}

// The one call that may proceed after a hold was refused, since the hold is renewed for all others.
func TestTrialAfterHoldIsServed(t *testing.T) {
	w := newHarness(t, events(4, 4))
	w.holdPart("bad", true)
	for range 2 {
		if got := w.call("/chat/x", "Parts", "first,bad,own"); got.status != http.StatusOK {
			t.Fatalf("got %d %q", got.status, got.body)
		}
	}
	w.expect(w.call("/chat/x", "Parts", "first,bad,own"), http.StatusOK, 3)
}

// A call that is held for one part took the trial of another one.
func TestHeldCallTakesNoTrial(t *testing.T) {
	w := newHarness(t, hangUp)
	w.holdPart("first", true)
	w.holdPart("bad", false)
	w.expect(w.call("/chat/x", "Parts", "first,bad,own"), http.StatusServiceUnavailable, 0)
	w.expect(w.call("/chat/x", "Parts", "first,own"), http.StatusBadGateway, 1)
	w.expect(w.call("/chat/x", "Parts", "first,own"), http.StatusServiceUnavailable, 1)
	w.expect(w.call("/chat/x", "Parts", "other,own"), http.StatusBadGateway, 2)
}

// The last part belongs to the call alone; calls of other customers may share the others.
func TestHoldCoversSharedPartsOfItsCustomer(t *testing.T) {
	w := newHarness(t, events(4, 4))
	w.holdPart("bad", false)
	w.expect(w.call("/chat/x", "Parts", "first,bad"), http.StatusOK, 1)
	w.expect(w.call("/chat/x", "Parts", "bad,own"), http.StatusServiceUnavailable, 1)
	w.expect(w.call("/open/x", "Parts", "bad,own"), http.StatusOK, 2)
}
