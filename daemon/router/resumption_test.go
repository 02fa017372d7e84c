package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/core/routing"
	records "cardamomwick.example/daemon/resumption"
)

// withSoftware sets the software versions of a harness's servers.
func (w *harness) withSoftware(versions ...fleet.SoftwareVersion) *harness {
	for i, v := range versions {
		w.fleet[i].Software = v
	}
	w.router.SetFleet(append([]fleet.Server(nil), w.fleet...))
	return w
}

// withTimeout sets the timeout of all routes.
func (w *harness) withTimeout(d time.Duration) *harness {
	x := declared()
	for i := range x.Routes {
		x.Routes[i].Timeout = d
	}
	table := routing.NewTable(x)
	w.router.opt.Table = func() *routing.Table { return table }
	return w
}

// testRecords is a StreamRecords of one instance.
type testRecords struct {
	mu    sync.Mutex
	known map[resumption.Key]resumption.Record
	ended int
}

func (x *testRecords) Record(r resumption.Record) func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.known[r.Key] = r
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ended++
	}
}

func (x *testRecords) Find(_ context.Context, k resumption.Key) (f records.Finding, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f.Record, ok = x.known[k]
	return f, ok
}

// awaitRecord waits until a stream is recorded.
func (x *testRecords) awaitRecord() {
	for limit := time.Now().Add(time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		x.mu.Lock()
		n := len(x.known)
		x.mu.Unlock()
		if n > 0 {
			return
		}
	}
}

// withRecords gives a harness's router records of streams.
func (w *harness) withRecords(list ...resumption.Record) *testRecords {
	x := &testRecords{known: map[resumption.Key]resumption.Record{}}
	for _, r := range list {
		x.known[r.Key] = r
	}
	w.router.opt.Records = x
	return x
}

func begunAt(call string, v fleet.SoftwareVersion) resumption.Record {
	return resumption.Record{Key: resumption.NewKey("ana", call), Origin: resumption.Origin{Pool: "p", Software: v}}
}

// visits records the servers that ran the attempts of a call.
type visits struct {
	mu      sync.Mutex
	servers []int
}

// server returns the handler of a server: it breaks the first attempt off after some events, and
// completes the stream in later ones.
func (v *visits) server(i int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		v.servers = append(v.servers, i)
		first := len(v.servers) == 1
		v.mu.Unlock()
		if first {
			events(4, 9)(rw, r)
		}
		events(9, 9)(rw, r)
	}
}

// A stream whose server broke it off was continued within its answer at a server of another software
// version, whose events do not fit.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	versions := []fleet.SoftwareVersion{"v1", "v2", "v2"}
	completed := 0
	for range 20 {
		var v visits
		w := newHarness(t, v.server(0), v.server(1), v.server(2)).withSoftware(versions...)
		got := w.call("/stream/x")
		for _, i := range v.servers {
			if versions[i] != versions[v.servers[0]] {
				t.Fatalf("the stream began at server %d and continued at server %d", v.servers[0], i)
			}
		}
		if whole := got.err == nil && got.body == pieces(9); whole != (v.servers[0] > 0) {
			t.Fatalf("servers %v: got %q, %v", v.servers, got.body, got.err)
		} else if whole {
			completed++
		}
	}
	if completed == 0 {
		t.Error("no stream continued")
	}
}

// A stream that began at a server of unknown version may not continue anywhere.
func TestStreamOfUnknownVersionIsNotContinued(t *testing.T) {
	var v visits
	w := newHarness(t, v.server(0), v.server(1)).withSoftware("", "")
	if got := w.call("/stream/x"); got.err == nil || got.body != pieces(4) || w.runs.Load() != 1 {
		t.Errorf("got %q, %v after %d attempts", got.body, got.err, w.runs.Load())
	}
}

// A server that pauses is given up for another one. Where no other may continue the stream, that
// would only break it.
func TestPausingServerIsKeptWhereNoOtherMayContinue(t *testing.T) {
	pauses := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Signature", "x")
		for id := 1; id <= 9; id++ {
			if id == 5 {
				time.Sleep(2 * minSilenceTimeout)
			}
			fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", id, id)
			if err := http.NewResponseController(rw).Flush(); err != nil {
				return
			}
		}
	}
	w := newHarness(t, pauses, pauses).withSoftware("v1", "v2")
	if got := w.call("/stream/x"); got.err != nil || got.body != pieces(9) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// Before its first event a call is bound to no version.
func TestCallWithoutEventsMayChangeVersions(t *testing.T) {
	breaks := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Signature", "x")
		rw.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw).Flush() // the caller of this server is still there
		panic(http.ErrAbortHandler)
	}
	w := newHarness(t, breaks, events(9, 9)).withSoftware("v1", "v2")
	for range 8 {
		if got := w.call("/stream/x"); got.err != nil || !strings.HasPrefix(got.body, "id: 1") {
			t.Fatalf("got %q, %v", got.body, got.err)
		}
	}
}

// A caller that resumes a stream was sent to a server of any software version.
func TestStreamIsResumedAtItsSoftwareVersion(t *testing.T) {
	var v visits
	w := newHarness(t, v.server(0), v.server(1), v.server(2)).withSoftware("v1", "v2", "v1")
	v.servers = []int{-1} // none breaks the stream
	x := w.withRecords(begunAt("first", "v2"))
	rest := strings.TrimPrefix(pieces(9), pieces(4))
	for range 8 {
		if got := w.call("/stream/x", "After", "4", "First-Call", "first"); got.err != nil || got.body != rest {
			t.Fatalf("got %q, %v", got.body, got.err)
		}
	}
	for _, i := range v.servers[1:] {
		if i != 1 {
			t.Fatalf("servers %v got streams that began at server 1", v.servers)
		}
	}
	// While the stream continues, its record is kept: it may break again.
	if len(x.known) != 1 || x.ended != 8 {
		t.Errorf("%d records, %d of them ended", len(x.known), x.ended)
	}
}

// Where it is not certain at which version a stream began, it is not resumed, even if all known
// servers have the same version. The answer promises that the call has not run.
func TestStreamOfUncertainOriginIsRefused(t *testing.T) {
	ambiguous := begunAt("twice", "v1")
	ambiguous.Ambiguous = true
	w := newHarness(t, events(9, 9), events(9, 9)).withSoftware("v1", "v1")
	w.withRecords(begunAt("gone", "v0"), ambiguous)
	for name, headers := range map[string][]string{
		"no first call":   {"After", "4"},
		"no record":       {"After", "4", "First-Call", "unknown"},
		"two origins":     {"After", "4", "First-Call", "twice"},
		"version is gone": {"After", "4", "First-Call", "gone"},
	} {
		got := w.call("/stream/x", headers...)
		w.expect(got, http.StatusServiceUnavailable, 0)
		if got.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", name)
		}
	}
}

// A stream is recorded when its first event is forwarded, under the call that brought it and at
// the version that sent it, however many servers were tried before.
func TestStreamIsRecordedWithItsFirstEvent(t *testing.T) {
	refuses := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) }
	w := newHarness(t, refuses, events(9, 9)).withSoftware("v1", "v2")
	x := w.withRecords()
	for i := range 6 {
		call := fmt.Sprint("call-", i)
		if got := w.call("/stream/x", "Call", call, "Timeout", "600"); got.body != pieces(9) {
			t.Fatalf("got %d %q, %v", got.status, got.body, got.err)
		}
		r, ok := x.known[resumption.NewKey("ana", call)]
		if !ok || r.Origin != (resumption.Origin{Pool: "p", Software: "v2"}) || r.Lifetime < recordMargin || r.Lifetime > recordMargin+700*time.Millisecond {
			t.Fatalf("record %+v, %v", r, ok)
		}
	}
	w.call("/chat/x", "Call", "chat")
	if len(x.known) != 6 || x.ended != 6 {
		t.Errorf("%d records, %d of them ended; want 6", len(x.known), x.ended)
	}
}

// On the users' platform today callers don't name the first call, and the loss of all instances takes
// all records. Where the replicated log proves that a pool has had one version only, streams are
// resumed all the same; where it does not, they are refused.
func TestStreamWithoutRecordIsResumedInPoolOfOneVersion(t *testing.T) {
	errNoLeader := errors.New("no leader")
	for name, c := range map[string]struct {
		version fleet.SoftwareVersion
		ok      bool
		err     error
		split   bool
		status  int
	}{
		"one version":        {"v1", true, nil, false, http.StatusOK},
		"several versions":   {"", false, nil, false, http.StatusServiceUnavailable},
		"no leader":          {"", false, errNoLeader, false, http.StatusServiceUnavailable},
		"another version":    {"v0", true, nil, false, http.StatusServiceUnavailable},
		"route of two pools": {"v1", true, nil, true, http.StatusServiceUnavailable},
	} {
		d := declared()
		if c.split {
			for i := range d.Routes {
				d.Routes[i].Targets = append(d.Routes[i].Targets, routing.Target{Pool: "q", Weight: 1})
			}
			d.Pools = append(d.Pools, routing.Pool{Name: "q"})
		}
		table := routing.NewTable(d)
		w := newHarness(t, events(9, 9), events(9, 9)).withSoftware("v1", "v1")
		w.withRecords()
		w.router.opt.Table = func() *routing.Table { return table }
		w.router.opt.OnlySoftware = func(context.Context, string) (fleet.SoftwareVersion, bool, error) { return c.version, c.ok, c.err }
		for _, resumes := range []string{"", "unknown"} {
			if got := w.call("/stream/x", "After", "4", "First-Call", resumes); got.status != c.status {
				t.Errorf("%s, first call %q: got %d %q", name, resumes, got.status, got.body)
			}
		}
	}
}

// A route may be split between pools. A caller that resumes a stream was sent to a pool by the
// route's weights, as if its stream were a new one.
func TestStreamIsResumedInItsPool(t *testing.T) {
	d := declared()
	for i := range d.Routes {
		d.Routes[i].Targets = []routing.Target{{Pool: "q", Weight: 9}, {Pool: "p", Weight: 1}, {Pool: "off", Weight: 0}}
	}
	d.Pools = append(d.Pools, routing.Pool{Name: "q"}, routing.Pool{Name: "off"})
	table := routing.NewTable(d)
	var v visits
	v.servers = []int{-1} // none breaks the stream
	w := newHarness(t, v.server(0), v.server(1), v.server(2))
	w.fleet[1].Pool, w.fleet[2].Pool = "q", "off"
	w.withSoftware("v1", "v1", "v1")
	w.router.opt.Table = func() *routing.Table { return table }
	off := begunAt("off", "v1")
	off.Origin.Pool = "off"
	w.withRecords(begunAt("first", "v1"), off)
	for range 8 {
		if got := w.call("/stream/x", "After", "4", "First-Call", "first"); got.err != nil || got.status != http.StatusOK {
			t.Fatalf("got %d %q, %v", got.status, got.body, got.err)
		}
	}
	for _, i := range v.servers[1:] {
		if i != 0 {
			t.Fatalf("servers %v got streams that began at server 0", v.servers)
		}
	}
	// The declaration no longer sends calls of the route to the pool.
	w.expect(w.call("/stream/x", "After", "4", "First-Call", "off"), http.StatusServiceUnavailable, 8)
}

// startOf returns a start of a server that keeps its name.
func startOf(s fleet.Server, startedAt int64, v fleet.SoftwareVersion) fleet.Server {
	start := fleet.Start{Name: "n", StartedAt: startedAt}
	s.ID, s.Name, s.StartedAt, s.Software = fleet.StartID(start), start.Name, startedAt, v
	return s
}

// pausesAfter streams events up to a number, calls reached, and sends nothing more.
func pausesAfter(n int, reached func()) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Signature", "x")
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= after+n; id++ {
			fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", id, id)
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		reached()
		<-r.Context().Done()
	}
}

// A server that keeps its name may start again with other software before this is listed, and
// answer calls for its former start. The stream that it has begun then is of neither version for
// certain.
func TestStreamOfServerThatChangedItsSoftwareIsNotContinued(t *testing.T) {
	for _, c := range []struct {
		next      fleet.SoftwareVersion
		continues bool
	}{{"v1", true}, {"v2", false}} {
		w := newHarness(t, pausesAfter(4, func() {}), events(9, 9))
		first := startOf(w.fleet[0], 1, "v1")
		other := w.fleet[1]
		other.Phase = fleet.Draining // until the stream has begun
		w.router.SetFleet([]fleet.Server{first, other})
		x := w.withRecords()
		go func() {
			x.awaitRecord() // the first event is being forwarded
			other.Phase = fleet.Ready
			next := startOf(first, 2, c.next)
			next.Phase = fleet.Draining // the stream continues at the other server
			w.router.SetFleet([]fleet.Server{next, other})
		}()
		got := w.call("/stream/x", "Timeout", "600")
		if whole := got.err == nil && got.body == pieces(9); whole != c.continues {
			t.Errorf("next start at %s: got %q, %v", c.next, got.body, got.err)
		}
		if r := x.known[resumption.NewKey("ana", "c1")]; r.Ambiguous == c.continues || r.Start != first.Start() && c.continues {
			t.Errorf("next start at %s: record %+v", c.next, r)
		}
	}
}

// A caller resumes a stream of a server that has started again with other software: its record
// may have been written while the new start answered already.
func TestStreamOfRestartedServerIsResumedAtTheSameSoftwareOnly(t *testing.T) {
	w := newHarness(t, events(9, 9), events(9, 9)).withTimeout(5 * time.Second)
	first := startOf(w.fleet[0], 1, "v1")
	r := begunAt("first", "v1")
	r.Start = first.Start()
	w.withRecords(r)
	for next, status := range map[fleet.SoftwareVersion]int{"v1": http.StatusOK, "v2": http.StatusServiceUnavailable} {
		w.router.SetFleet([]fleet.Server{startOf(first, 2, next), w.fleet[1]})
		if got := w.call("/stream/x", "After", "4", "First-Call", "first", "Timeout", "5000"); got.status != status {
			t.Errorf("next start at %s: got %d %q", next, got.status, got.body)
		}
	}
}

// A stream continues at a server that keeps its name. If a start with other software has answered,
// none of its events may reach the caller, although the start is listed only later.
func TestEventsOfAnUnlistedStartAreWithheld(t *testing.T) {
	reached := make(chan struct{})
	w := newHarness(t, pausesAfter(4, func() { close(reached) })).withTimeout(5 * time.Second)
	first := startOf(w.fleet[0], 1, "v1")
	w.router.SetFleet([]fleet.Server{first})
	w.withRecords(begunAt("first", "v1"))
	go func() {
		<-reached
		time.Sleep(resumption.AnnounceTime / 4)
		w.router.SetFleet([]fleet.Server{startOf(first, 2, "v2")})
	}()
	if got := w.call("/stream/x", "After", "4", "First-Call", "first", "Timeout", "5000"); strings.Contains(got.body, "piece") {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// A server that keeps its name may have started again with other software while no replica
// answered; the list that an instance still has does not show it.
func TestStreamOfAnUnlistedStartIsNotContinued(t *testing.T) {
	for current, want := range map[bool]error{true: nil, false: errUnknownStart} {
		w := newHarness(t, good)
		w.router.opt.ListIsCurrent = func() bool { return current }
		started := fleet.Server{ID: "s9", Pool: "p", StartedAt: 1, Software: "v1"}
		for name, s := range map[string]fleet.Server{"at a server with other names": {ID: "s8", Pool: "p"}, "at a server that keeps its name": started} {
			c := &call{router: w.router, route: &routing.Route{}, attemptStart: time.Now().Add(-time.Hour)}
			c.bindTo(started)
			c.originSince = c.attemptStart
			if got := c.confirmStart(context.Background(), s); !errors.Is(got, want) {
				t.Errorf("list current: %v, %s: got %v, want %v", current, name, got, want)
			}
		}
	}
}

// A stream that a partitioned instance passed on was continued by the version in its record, though
// the server that had begun it had started again with another one.
func TestRelayedStreamKeepsTheStartThatBeganIt(t *testing.T) {
	w := newHarness(t, good)
	first := startOf(w.fleet[0], 1, "v1")
	w.router.SetFleet([]fleet.Server{startOf(first, 2, "v2")})
	home := &call{router: w.router, route: &routing.Route{}, pool: &routing.Pool{Name: "p"}, attemptStart: time.Now()}
	home.req = httptest.NewRequest(http.MethodPost, "/stream/x", nil)
	home.bindTo(first)
	rc := home.relayedCall()
	if rc.OriginStart != first.Start() {
		t.Fatalf("the call states the start %+v, want %+v", rc.OriginStart, first.Start())
	}
	peer := &call{router: w.router, originStart: rc.OriginStart, originSince: time.Now().Add(-rc.OriginAge)}
	peer.origin.Store(rc.Origin)
	if err := peer.confirmStart(context.Background(), fleet.Server{ID: "s8", Pool: "p"}); !errors.Is(err, errOtherStart) {
		t.Errorf("got %v, want %v", err, errOtherStart)
	}
}
