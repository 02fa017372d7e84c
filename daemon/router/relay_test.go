package router

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cardamomwick.example/core/relay"
	"cardamomwick.example/core/routing"
	daemonrelay "cardamomwick.example/daemon/relay"
)

// A peer gets a new declaration a few milliseconds after the instance that offers it a call. It
// declined, and calls had no other peer.
func TestOfferAwaitsDeclaration(t *testing.T) {
	tables := make(chan *routing.Table, 1)
	newTable := func(version uint64) *routing.Table {
		return routing.NewTable(&routing.Declaration{Version: version})
	}
	current := newTable(1)
	r := New(Options{Table: func() *routing.Table {
		select {
		case current = <-tables:
		default:
		}
		return current
	}})
	if reason, ok := r.AcceptsOffer(&daemonrelay.Offer{Pool: "p", MinVersion: 2}); ok || reason != relay.Outdated {
		t.Errorf("an offer that needs version 2 got %v, %v", reason, ok)
	}
	time.AfterFunc(versionWait/3, func() { tables <- newTable(2) })
	if reason, ok := r.AcceptsOffer(&daemonrelay.Offer{Pool: "p", MinVersion: 2}); !ok {
		t.Errorf("an offer right before version 2 was declined: %v", reason)
	}
}

// A peer that had sent a relayed call to a server, which rejected it, gave the call back as never
// sent. The next peer then sent it without a retry from the budget.
func TestRelayedCallThatArrivedAtAServerIsNotHandedBack(t *testing.T) {
	for range 20 { // either server may be tried first
		w := newHarness(t, refuseWithoutRunning, good)
		w.fleet[1].Address = closedAddress(t)
		w.router.SetFleet(w.fleet)
		rec := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
		req.Host = "127.0.0.1"
		req.Header.Set("Call", "c1")
		req.Header.Set("Key", "key")
		_, declined := w.router.ServeRelayed(rec, req, "peer", &daemonrelay.Call{Pool: "p"})
		if arrived := w.runs.Load() > 0; arrived && declined != nil {
			t.Fatalf("a call that arrived at %d servers goes back to the peer: %v", w.runs.Load(), declined)
		}
	}
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
