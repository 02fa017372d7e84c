package quarantine

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/internal/testport"
)

func request(name string) func() quarantine.Digest {
	r := quarantine.Request{URI: name}
	return r.Digest
}

// server listens until stop is called. Nothing else listens at its address then.
func server(t *testing.T) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", testport.Reserve(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() { l.Close() }
}

// closingProxy listens in place of a terminated server: it closes each connection.
func closingProxy(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	return l.Addr().String()
}

// breakRunAt records a broken run and waits for its effects.
func breakRunAt(m *Manager, id, address, name string) {
	breakRun(m, Run{Server: id, Address: address}, name)
}

func breakRun(m *Manager, r Run, name string) {
	r.Began = time.Now().Add(-time.Millisecond)
	m.RecordBroken(r, request(name)())
	time.Sleep(2*probeDelay + quarantine.SimultaneousWindow)
}

// awaitHold returns the hold of a request. The third crash may be confirmed less than
// quarantine.DecisionDelay after the suspicion; the hold follows that delay then.
func awaitHold(m *Manager, name string) (Hold, bool) {
	for limit := time.Now().Add(decisionTimeout); time.Now().Before(limit); time.Sleep(decisionInterval) {
		if hold, held := m.Held(request(name), nil); held {
			return hold, true
		}
	}
	return Hold{}, false
}

func TestThreeCrashesHoldARequest(t *testing.T) {
	m := New(Options{})
	for _, id := range []string{"a", "b", "c"} {
		if _, held := m.Held(request("q"), nil); held {
			t.Fatalf("held before %s has terminated", id)
		}
		address, stop := server(t)
		stop()
		breakRunAt(m, id, address, "q")
	}
	if hold, held := awaitHold(m, "q"); !held || hold.Left > quarantine.InitialHold || hold.Left < quarantine.InitialHold/2 {
		t.Errorf("held %v for %v", held, hold.Left)
	}
	if _, held := m.Held(request("other"), nil); held {
		t.Error("another request is held")
	}
	m.RecordSuccess(Run{Server: "d", Began: time.Now()}, request("q")())
	if _, held := m.Held(request("q"), nil); held {
		t.Error("still held after a success")
	}
}

// Responses are truncated, reset and lost while their servers keep running.
func TestBrokenConnectionsAreNoConfirmation(t *testing.T) {
	m := New(Options{})
	address, _ := server(t)
	for range 5 {
		breakRunAt(m, "a", address, "q")
	}
	if m.Crashes() != 0 || m.HeldRequests() != 0 {
		t.Errorf("%d crashes, %d requests held", m.Crashes(), m.HeldRequests())
	}
}

// A proxy accepts connections for terminated servers and closes them. The newer starts are
// announced a second later; by then the request had crashed all servers.
func TestClosedConnectionsAreConfirmation(t *testing.T) {
	m := New(Options{})
	address := closingProxy(t)
	for _, id := range []string{"a", "b", "c"} {
		breakRun(m, Run{Server: id, Address: address, Reached: true}, "q")
	}
	if _, held := awaitHold(m, "q"); !held || m.Crashes() != 3 {
		t.Errorf("held %v, %d crashes", held, m.Crashes())
	}
}

// A call that is sent to a terminated server reaches only its proxy and breaks as well.
// Identical calls that other instances send to several such servers must not be held.
func TestRunsThatDidNotReachAServerAreNotHeld(t *testing.T) {
	m := New(Options{})
	address := closingProxy(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		breakRun(m, Run{Server: id, Address: address}, "identical")
	}
	if m.Crashes() != 0 || m.HeldRequests() != 0 {
		t.Errorf("%d crashes, %d requests held", m.Crashes(), m.HeldRequests())
	}
}

// Two servers have crashed under a request. Its retry proceeds once the request is cleared.
// If a third server has crashed, the retry must wait for the hold: otherwise it would
// crash a fourth one.
func TestRetryOfSuspectedRequestAwaitsDecision(t *testing.T) {
	for name, resolve := range map[string]func(m *Manager){
		"cleared": func(m *Manager) { m.RecordSuccess(Run{Server: "z", Began: time.Now()}, request("q")()) },
		"held":    func(m *Manager) { m.ReportReplaced("c") },
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Options{})
			if !m.AwaitDecision(t.Context(), request("q"), nil) {
				t.Error("the retry of a request without a decision was stopped")
			}
			address, _ := server(t)
			breakRunAt(m, "a", address, "q")
			m.ReportReplaced("a")
			breakRunAt(m, "b", address, "q")
			m.ReportReplaced("b")
			breakRunAt(m, "c", address, "q")
			time.AfterFunc(50*time.Millisecond, func() { resolve(m) })
			m.AwaitDecision(t.Context(), request("q"), nil)
			if x, known := m.decision(request("q")); !known || x.Status == quarantine.Suspected {
				t.Errorf("the retry proceeds while the request is %v", x.Status)
			}
		})
	}
}

// The wait for a decision is bounded, and ends with the call.
func TestWaitForDecisionEnds(t *testing.T) {
	m := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b"} {
		breakRunAt(m, id, address, "q")
		m.ReportReplaced(id)
	}
	began := time.Now()
	if !m.AwaitDecision(t.Context(), request("q"), nil) || time.Since(began) > 2*decisionTimeout {
		t.Errorf("the retry of a request that stays suspected was stopped, or waited %v", time.Since(began))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if m.AwaitDecision(ended, request("q"), nil) {
		t.Error("the retry of a call that has ended proceeds")
	}
}

// An overloaded server closes new connections while it responds on others.
func TestRespondingServerHasNotTerminated(t *testing.T) {
	m := New(Options{})
	address := closingProxy(t)
	for range 4 {
		m.RecordBroken(Run{Server: "a", Address: address, Reached: true, Began: time.Now().Add(-time.Millisecond)}, request("q")())
		m.RecordSuccess(Run{Server: "a", Address: address, Began: time.Now()}, request("other")())
		time.Sleep(2*probeDelay + quarantine.SimultaneousWindow)
	}
	if m.Crashes() != 0 || m.HeldRequests() != 0 {
		t.Errorf("%d crashes, %d requests held", m.Crashes(), m.HeldRequests())
	}
}

// A proxy accepts connections for the servers all the time; only their newer starts confirm
// that they have terminated.
func TestNewerStartConfirmsTermination(t *testing.T) {
	m := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b", "c"} {
		breakRunAt(m, id, address, "q")
		m.ReportReplaced(id)
	}
	if _, held := awaitHold(m, "q"); !held {
		t.Error("not held")
	}
}

// A proxy accepts connections for terminated servers, so calls are sent to them until the
// termination is noticed. Identical calls broke at several such servers; they were held,
// and with them most of the traffic.
func TestCallsSentAfterTerminationAreNotHeld(t *testing.T) {
	m := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		breakRunAt(m, id, address, "in flight at "+id)
		breakRunAt(m, id, address, "identical")
		breakRunAt(m, id, address, "identical")
		m.ReportReplaced(id)
	}
	time.Sleep(2 * quarantine.DecisionDelay)
	if _, held := m.Held(request("identical"), nil); held {
		t.Error("held, though it never ran at a server that terminated")
	}
}

// Measures selecting the evaluators and building the messages when one server of 2,000
// terminates with all its 64 calls from one of 376 entries.
func BenchmarkCrashReports376Entries(b *testing.B) {
	var entries []membership.Instance
	for i := range 376 {
		entries = append(entries, membership.Instance{Name: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprint("10.0.0.1:", i)})
	}
	all := func() []membership.Instance { return entries }
	m := New(Options{Transport: frame.NewTransport("10.0.0.1:0", nil, nil), Instances: all, Evaluators: all})
	now := time.Now()
	var runs []brokenRun
	for i := range 64 {
		runs = append(runs, brokenRun{request: request(fmt.Sprint("q", i))(), began: now, ended: now})
	}
	others := []string{"i-0000000001", "i-0000000002", "i-0000000003", "i-0000000004"}
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, list := range m.crashReports(now, "i-0000000000", runs, others) {
			data, err := msgpack.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/crash")
}
