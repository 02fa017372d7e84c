package router

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cardamomwick.example/core/routing"
)

// A call that arrives before the first declaration is served as soon as both the
// declaration and the servers are known.
func TestCallWaitsForTheFirstDeclaration(t *testing.T) {
	w := newHarness(t, good)
	var table atomic.Pointer[routing.Table]
	w.router = New(Options{Protocol: testProtocol{}, Name: "entry", Table: table.Load, Entries: func() int { return 1 },
		Retry: RetryLimits{Span: 10 * time.Second, Ratio: 0.2, Slack: 50}})
	w.front = httptest.NewServer(w.router)
	t.Cleanup(w.front.Close)
	const late = 100 * time.Millisecond
	answered := make(chan reply, 1)
	start := time.Now()
	go func() { answered <- w.call("/safe/x") }()
	w.router.SetFleet(nil) // no servers are known yet
	time.Sleep(late)
	table.Store(routing.NewTable(declared()))
	w.router.SetFleet(w.fleet)
	got := <-answered
	if got.status != http.StatusOK || got.body != "done" {
		t.Errorf("got %d %q, %v", got.status, got.body, got.err)
	}
	if took := time.Since(start); took < late || took > late+200*time.Millisecond {
		t.Errorf("answered after %v, %v after the start", took, late)
	}
}

func TestCallIsRefusedImmediatelyAfterStartupWindow(t *testing.T) {
	w := newHarness(t, good)
	w.router = New(Options{Protocol: testProtocol{}, Name: "entry", Table: func() *routing.Table { return nil }, Entries: func() int { return 1 }})
	w.router.started = time.Now().Add(-time.Minute)
	w.front = httptest.NewServer(w.router)
	t.Cleanup(w.front.Close)
	start := time.Now()
	got := w.call("/safe/x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, %v", got.status, got.header)
	}
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
}
