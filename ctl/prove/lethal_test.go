//go:build prove

package prove

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/crashserver"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/ctl/caller"
)

// Calls by a bundle had the same fault as routed ones. A call that ends each engine
// that begins to run it went to the next one with each of its attempts, and began anew
// with each repeat of its caller. A recorded call was worse: the instance that runs it
// tries again each half second until it ends, so a single one of them, sent once, went
// on ending services without any caller:
//
//	attempt failed step="call service" peer=s1 attempt=1 error="EOF"
//	durable call will be tried again step="durable round" outcome=unknown
//
// Three ends show that a request ends servers, and users allow three more until all
// instances know.
func TestLethalCallsAreKeptFromTheServers(t *testing.T) {
	const mostEnds, repeats = 6, 24
	const recordTime = 12 * time.Second
	w := begin(t, 5, 6)
	t.Run("chat that is repeated", func(t *testing.T) {
		var last *caller.Result
		for n := range repeats {
			last = w.chat(n%len(w.Instances), "mood", "chat that "+crashserver.CrashMarker, 8)
			time.Sleep(200 * time.Millisecond)
		}
		expectQuarantined(t, last)
		w.expectEnds(t, w.engineIDs(), mostEnds)
	})
	t.Run("recorded call", func(t *testing.T) {
		sent := time.Now()
		r := w.call(0, "sync", "", "record that "+crashserver.CrashMarker)
		took := time.Since(sent)
		t.Logf("the caller got %d, outcome %q, after %v", r.Status, r.Outcome, took)
		if r.Error == nil || r.Error.Type != api.ErrorAcceptedNotFinished || r.Error.RetryAfterMillis < quarantine.InitialHold.Milliseconds()/2 {
			t.Errorf("the caller got %+v; want that the call is recorded, and when to come back", r.Error)
		}
		time.Sleep(recordTime - took)
		w.expectEnds(t, []string{"s1", "s2"}, mostEnds)
	})
	t.Run("others", func(t *testing.T) {
		for n := range w.Instances {
			must(t, whole(w.chat(n, "mood", fmt.Sprint("other chat ", n), 8)))
		}
	})
}

func (w *world) engineIDs() []string {
	var out []string
	for n := range 6 {
		out = append(out, fmt.Sprintf("e%d", n+1))
	}
	return out
}

func expectQuarantined(t *testing.T, r *caller.Result) {
	t.Helper()
	if r.Status != http.StatusServiceUnavailable || r.Error == nil || r.Error.Type != api.ErrorRequestQuarantined || r.Error.RetryAfterMillis == 0 {
		t.Errorf("the last repeat got %d %+v", r.Status, r.Error)
	}
}

// expectEnds compares how often servers have crashed with what is allowed.
func (w *world) expectEnds(t *testing.T, servers []string, most int) {
	t.Helper()
	st, err := w.FakeServerState()
	must(t, err)
	ends := 0
	for id, at := range st.Crashes {
		if slices.Contains(servers, id) {
			ends += len(at)
		}
	}
	t.Logf("%d servers ended", ends)
	if ends > most {
		t.Errorf("%d servers ended; at most %d may", ends, most)
	}
	if ends == 0 {
		t.Error("no server has ended: the call was not tried")
	}
}
