package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// breaks notes a run at server "s", which has one ID for all its starts.
func (b broken) breaks(began, ended int, name string) { b.breaksAt("s", true, began, ended, name) }

func (b broken) breaksAt(id string, keepsID bool, began, ended int, name string) {
	r := quarantine.Request{URI: name}
	b.add(at(ended), id, brokenRun{request: r.Digest(), keepsID: keepsID, began: at(began), ended: at(ended)})
}

// Calls that are sent to a server before others have noticed its end break off too,
// and never ran there.
func TestRunsThatBeganAfterTheEndDoNotCount(t *testing.T) {
	b := broken{}
	b.breaks(0, 100, "ran")
	b.breaks(102, 105, "too late")
	if got := b.take(at(130), "s", refusedPort); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
	b.breaks(140, 150, "on a dead connection")
	if got := b.take(at(180), "s", refusedPort); len(got) != 0 {
		t.Errorf("%d runs at a server that was gone", len(got))
	}
	b.breaks(2000, 2100, "at the next start")
	if got := b.take(at(2130), "s", refusedPort); len(got) != 1 {
		t.Errorf("%d runs were in flight at the next start", len(got))
	}
}

// A server breaks off an answer, lives on, and ends later.
func TestServerThatBrokeOffBeforeItEnded(t *testing.T) {
	b := broken{}
	b.breaks(0, 100, "cut short")
	b.answered(at(150), "s", true)
	b.breaks(200, 3000, "ran")
	if got := b.take(at(3030), "s", refusedPort); len(got) != 2 {
		t.Errorf("%d runs", len(got))
	}
}

// Something listens for a server that has ended: each call that is sent to it breaks
// off, for seconds, and never ran there.
func TestRunsAtADeadServerThatIsListenedFor(t *testing.T) {
	b := broken{}
	b.breaks(0, 100, "ran")
	for i := range 20 {
		b.breaks(110+i*50, 115+i*50, "never ran")
	}
	if got := b.take(at(1500), "s", refusedPort); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
}

// A start that has an ID of its own ends once. For as long as something listens for it,
// calls are sent to it, and break off; none of them ran there.
func TestStartThatHasEndedEndsNoMore(t *testing.T) {
	b := broken{}
	b.breaksAt("s@1", false, 0, 100, "ran")
	if got := b.take(at(160), "s@1", refusedPort); len(got) != 1 {
		t.Fatalf("%d runs were in flight", len(got))
	}
	for began := 120; began < 1500; began += 60 {
		b.breaksAt("s@1", false, began, began+50, "never ran")
	}
	if got := b.take(at(1500), "s@1", newerStart); len(got) != 0 {
		t.Errorf("%d runs at a start that had ended", len(got))
	}
}

// An instance that sent nothing to a server when it ended sends it calls later, for as long
// as the next start is not known: those that are in flight then never were at the former.
func TestRunsThatBeganShortlyBeforeANewerStartWasKnown(t *testing.T) {
	b := broken{}
	b.breaksAt("s@1", false, 1400, 1480, "broken before")
	if got := b.take(at(1490), "s@1", newerStart); len(got) != 0 {
		t.Errorf("%d runs were in flight", len(got))
	}
	b.breaksAt("s@1", false, 1470, 1491, "ended with the former start")
	if got := b.take(at(1491), "s@1", knownBefore); len(got) != 0 {
		t.Errorf("%d runs were in flight", len(got))
	}
	b.breaksAt("s@1", false, 300, 1492, "silent since the end")
	if got := b.take(at(1492), "s@1", knownBefore); len(got) != 1 {
		t.Errorf("%d silent runs", len(got))
	}
}

// Servers that have ended break off calls again and again while something listens for
// them. That is no end at the same time as another one's; nor is an answer cut short.
func TestOthersEndedAtTheSameTime(t *testing.T) {
	b := broken{}
	breaks := func(id string, ended int) { b.add(at(ended), id, brokenRun{began: at(ended - 50), ended: at(ended)}) }
	breaks("earlier", 0)
	breaks("lives", 980)
	b.answered(at(990), "lives", true)
	breaks("together", 1010)
	breaks("s", 1000)
	breaks("earlier", 1005)
	if got := b.others("s"); len(got) != 1 || got[0] != "together" {
		t.Errorf("got %v", got)
	}
}

func TestBrokenRunsAreBounded(t *testing.T) {
	b := broken{}
	for i := range 3 * mostServers {
		b.add(at(i), fmt.Sprint(i), brokenRun{began: at(i - 1), ended: at(i)})
		b.breaks(i-100, i, "q")
	}
	if len(b) > mostServers || len(b["s"].runs) > mostRuns {
		t.Errorf("%d servers, %d runs", len(b), len(b["s"].runs))
	}
	if n := len(b.others("s")); n > quarantine.MaxOthers {
		t.Errorf("%d others", n)
	}
	b.forget(at(3*mostServers), proofTime)
	b.forget(at(4*mostServers).Add(proofTime), proofTime)
	if len(b) != 0 {
		t.Errorf("%d servers are left", len(b))
	}
}
