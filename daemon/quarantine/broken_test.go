package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func (b broken) breaks(began, ended int, name string) {
	r := quarantine.Request{URI: name}
	b.add(at(ended), "s", brokenRun{request: r.Digest(), began: at(began), ended: at(ended)})
}

// Calls that are sent to a server before others have noticed its end break off too,
// and never ran there.
func TestRunsThatBeganAfterTheEndDoNotCount(t *testing.T) {
	b := broken{}
	b.breaks(0, 100, "ran")
	b.breaks(102, 105, "too late")
	if got := b.take(at(130), "s"); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
	b.breaks(140, 150, "on a dead connection")
	if got := b.take(at(180), "s"); len(got) != 0 {
		t.Errorf("%d runs at a server that was gone", len(got))
	}
	b.breaks(2000, 2100, "at the next start")
	if got := b.take(at(2130), "s"); len(got) != 1 {
		t.Errorf("%d runs were in flight at the next start", len(got))
	}
}

// A server breaks off an answer, lives on, and ends later.
func TestServerThatBrokeOffBeforeItEnded(t *testing.T) {
	b := broken{}
	b.breaks(0, 100, "cut short")
	b.answered("s")
	b.breaks(200, 3000, "ran")
	if got := b.take(at(3030), "s"); len(got) != 2 {
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
	if got := b.take(at(1500), "s"); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
}

// Servers that have ended break off calls again and again while something listens for
// them. That is no end at the same time as another one's; nor is an answer cut short.
func TestOthersEndedAtTheSameTime(t *testing.T) {
	b := broken{}
	breaks := func(id string, ended int) { b.add(at(ended), id, brokenRun{began: at(ended - 50), ended: at(ended)}) }
	breaks("earlier", 0)
	breaks("lives", 980)
	b.answered("lives")
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
	if n := len(b.others("s")); n > quarantine.MostOthers {
		t.Errorf("%d others", n)
	}
	b.forget(at(3*mostServers), proofTime)
	b.forget(at(4*mostServers).Add(proofTime), proofTime)
	if len(b) != 0 {
		t.Errorf("%d servers are left", len(b))
	}
}
