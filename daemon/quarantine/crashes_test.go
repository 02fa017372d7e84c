package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cardamomwick.example/core/quarantine"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// addRun records a broken run at server "s", which keeps its ID over restarts.
func (ss suspects) addRun(began, ended int, name string) { ss.addRunAt("s", true, began, ended, name) }

func (ss suspects) addRunAt(id string, keepsID bool, began, ended int, name string) {
	r := quarantine.Request{URI: name}
	ss.add(at(ended), id, brokenRun{request: r.Digest(), keepsID: keepsID, began: at(began), ended: at(ended)})
}

// Calls that are sent to a terminated server before its termination is noticed break as
// well, although they never ran there.
func TestRunsAfterTerminationDoNotCount(t *testing.T) {
	ss := suspects{}
	ss.addRun(0, 100, "ran")
	ss.addRun(102, 105, "too late")
	if got := ss.takeCrashed(at(130), "s", portRefused); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
	ss.addRun(140, 150, "on a dead connection")
	if got := ss.takeCrashed(at(180), "s", portRefused); len(got) != 0 {
		t.Errorf("%d runs in flight at a terminated server", len(got))
	}
	ss.addRun(2000, 2100, "at the next start")
	if got := ss.takeCrashed(at(2130), "s", portRefused); len(got) != 1 {
		t.Errorf("%d runs were in flight at the next start", len(got))
	}
}

// A server breaks one response, keeps running, and terminates later.
func TestServerBreaksRunBeforeItTerminates(t *testing.T) {
	ss := suspects{}
	ss.addRun(0, 100, "truncated")
	ss.recordResponse(at(150), "s", true)
	ss.addRun(200, 3000, "ran")
	if got := ss.takeCrashed(at(3030), "s", portRefused); len(got) != 2 {
		t.Errorf("%d runs", len(got))
	}
}

// A proxy keeps accepting connections for a terminated server: for seconds, each call that
// is sent to it breaks without having run.
func TestRunsAtTerminatedServerBehindProxy(t *testing.T) {
	ss := suspects{}
	ss.addRun(0, 100, "ran")
	for i := range 20 {
		ss.addRun(110+i*50, 115+i*50, "never ran")
	}
	if got := ss.takeCrashed(at(1500), "s", portRefused); len(got) != 1 {
		t.Errorf("%d runs were in flight", len(got))
	}
}

// A start with its own ID terminates only once. While a proxy accepts connections for it,
// calls are sent to it and break, but none of them ran there.
func TestStartTerminatesOnce(t *testing.T) {
	ss := suspects{}
	ss.addRunAt("s@1", false, 0, 100, "ran")
	if got := ss.takeCrashed(at(160), "s@1", portRefused); len(got) != 1 {
		t.Fatalf("%d runs were in flight", len(got))
	}
	for began := 120; began < 1500; began += 60 {
		ss.addRunAt("s@1", false, began, began+50, "never ran")
	}
	if got := ss.takeCrashed(at(1500), "s@1", newerStart); len(got) != 0 {
		t.Errorf("%d runs in flight at a terminated start", len(got))
	}
}

// An instance that had no call in flight when a server terminated sends it calls until
// the next start is announced. Those calls never ran at the former start.
func TestRunsShortlyBeforeNewerStart(t *testing.T) {
	ss := suspects{}
	ss.addRunAt("s@1", false, 1400, 1480, "broke before the announcement")
	if got := ss.takeCrashed(at(1490), "s@1", newerStart); len(got) != 0 {
		t.Errorf("%d runs were in flight", len(got))
	}
	ss.addRunAt("s@1", false, 1470, 1491, "broke after the announcement")
	if got := ss.takeCrashed(at(1491), "s@1", alreadyConfirmed); len(got) != 0 {
		t.Errorf("%d runs were in flight", len(got))
	}
	ss.addRunAt("s@1", false, 300, 1492, "no data since the termination")
	if got := ss.takeCrashed(at(1492), "s@1", alreadyConfirmed); len(got) != 1 {
		t.Errorf("%d runs without data were in flight", len(got))
	}
}

// A terminated server behind a proxy breaks calls repeatedly. That is not a simultaneous
// crash with another server, and neither is a truncated response.
func TestSimultaneousTerminations(t *testing.T) {
	ss := suspects{}
	addRun := func(id string, ended int) { ss.add(at(ended), id, brokenRun{began: at(ended - 50), ended: at(ended)}) }
	addRun("earlier", 0)
	addRun("running", 980)
	ss.recordResponse(at(990), "running", true)
	addRun("simultaneous", 1010)
	addRun("s", 1000)
	addRun("earlier", 1005)
	if got := ss.simultaneous("s"); len(got) != 1 || got[0] != "simultaneous" {
		t.Errorf("got %v", got)
	}
}

func TestBrokenRunsAreBounded(t *testing.T) {
	ss := suspects{}
	for i := range 3 * maxServers {
		ss.add(at(i), fmt.Sprint(i), brokenRun{began: at(i - 1), ended: at(i)})
		ss.addRun(i-100, i, "q")
	}
	if len(ss) > maxServers || len(ss["s"].runs) > maxRuns {
		t.Errorf("%d servers, %d runs", len(ss), len(ss["s"].runs))
	}
	if n := len(ss.simultaneous("s")); n > quarantine.MaxOthers {
		t.Errorf("%d simultaneous terminations", n)
	}
	ss.expire(at(3*maxServers), confirmationTimeout)
	ss.expire(at(4*maxServers).Add(confirmationTimeout), confirmationTimeout)
	if len(ss) != 0 {
		t.Errorf("%d servers are left", len(ss))
	}
}
