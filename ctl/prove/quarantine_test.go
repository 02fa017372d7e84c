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

// Guards against calls of bundle classes that crash one server after another, as calls on
// declared routes once did. A call that crashes every engine that starts to run it moved on
// to the next engine with each attempt, and started again with each repeat by its caller. A
// durable call was worse: the instance that runs it retries every half second until it
// completes, so a single one kept crashing services without any caller:
//
//	attempt failed step="call service" peer=s1 attempt=1 error="EOF"
//	durable call will be tried again step="durable round" outcome=unknown
//
// A request is quarantined after three crashes. Three more are allowed until all instances
// know of it.
func TestCrashingRequestsAreQuarantined(t *testing.T) {
	const maxCrashes, repeats = 6, 24
	// durableTime is how long the durable call may be retried after it was sent.
	const durableTime = 12 * time.Second
	tc := startCluster(t, 5, 6)
	t.Run("repeated chat", func(t *testing.T) {
		var last *caller.Result
		for n := range repeats {
			last = tc.chat(n%len(tc.Instances), "mood", "chat that "+crashserver.CrashMarker, 8)
			time.Sleep(200 * time.Millisecond)
		}
		expectQuarantined(t, last)
		tc.expectCrashes(t, tc.engineIDs(), maxCrashes)
	})
	t.Run("durable call", func(t *testing.T) {
		sent := time.Now()
		r := tc.callService(0, "sync", "", "durable call that "+crashserver.CrashMarker)
		took := time.Since(sent)
		t.Logf("the caller got %d, outcome %q, after %v", r.Status, r.Outcome, took)
		if r.Error == nil || r.Error.Type != api.ErrorAcceptedNotFinished || r.Error.RetryAfterMillis < quarantine.InitialHold.Milliseconds()/2 {
			t.Errorf("the caller got %+v; want accepted_not_finished with a time to retry", r.Error)
		}
		time.Sleep(durableTime - took)
		tc.expectCrashes(t, []string{"s1", "s2"}, maxCrashes)
	})
	t.Run("other calls", func(t *testing.T) {
		for n := range tc.Instances {
			must(t, checkCompleted(tc.chat(n, "mood", fmt.Sprint("other chat ", n), 8)))
		}
	})
}

func (tc *testCluster) engineIDs() []string {
	var out []string
	for n := range 6 {
		out = append(out, fmt.Sprintf("e%d", n+1))
	}
	return out
}

// expectQuarantined checks that a call was refused because its request is quarantined.
func expectQuarantined(t *testing.T, r *caller.Result) {
	t.Helper()
	if r.Status != http.StatusServiceUnavailable || r.Error == nil || r.Error.Type != api.ErrorRequestQuarantined || r.Error.RetryAfterMillis == 0 {
		t.Errorf("the last repeat got %d %+v", r.Status, r.Error)
	}
}

// expectCrashes checks that the given servers have crashed at least once and at most limit
// times together.
func (tc *testCluster) expectCrashes(t *testing.T, servers []string, limit int) {
	t.Helper()
	st, err := tc.FakeServerState()
	must(t, err)
	crashes := 0
	for id, at := range st.Crashes {
		if slices.Contains(servers, id) {
			crashes += len(at)
		}
	}
	t.Logf("%d crashes", crashes)
	if crashes > limit {
		t.Errorf("servers crashed %d times; at most %d crashes are allowed", crashes, limit)
	}
	if crashes == 0 {
		t.Error("no server crashed: the call was not run")
	}
}
