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
)

func request(name string) func() quarantine.Digest {
	r := quarantine.Request{URI: name}
	return r.Digest
}

// server listens until it is ended.
func server(t *testing.T) (address string, end func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() { l.Close() }
}

// closingListener listens for a server that is not there: it closes each connection.
func closingListener(t *testing.T) (address string) {
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

// breaks tells of a run that broke off and waits for what comes of it.
func breaks(k *Keeper, id, address, name string) {
	breakRun(k, Run{Server: id, Address: address}, name)
}

func breakRun(k *Keeper, r Run, name string) {
	r.Began = time.Now().Add(-time.Millisecond)
	k.Broke(r, request(name)())
	time.Sleep(2*checkPause + quarantine.SimultaneousWindow)
}

func TestThreeEndedServersHoldARequest(t *testing.T) {
	k := New(Options{})
	for _, id := range []string{"a", "b", "c"} {
		if _, held := k.Held(request("q")); held {
			t.Fatalf("held before %s has ended", id)
		}
		address, end := server(t)
		end()
		breaks(k, id, address, "q")
	}
	if left, held := k.Held(request("q")); !held || left > quarantine.InitialHold || left < quarantine.InitialHold/2 {
		t.Errorf("held %v for %v", held, left)
	}
	if _, held := k.Held(request("other")); held {
		t.Error("another request is held")
	}
	k.Succeeded(Run{Server: "d", Began: time.Now()}, request("q")())
	if _, held := k.Held(request("q")); held {
		t.Error("still held after a success")
	}
}

// Answers are cut short, reset and lost while their servers live on.
func TestBrokenConnectionsAreNoProof(t *testing.T) {
	k := New(Options{})
	address, _ := server(t)
	for range 5 {
		breaks(k, "a", address, "q")
	}
	if k.ServersEnded() != 0 || k.Holding() != 0 {
		t.Errorf("%d servers ended, %d requests held", k.ServersEnded(), k.Holding())
	}
}

// Something listens for servers that have ended and closes what connects to it. Their newer
// starts came a second later, when the request had ended every server there was.
func TestListenerThatClosesConnectionsIsProof(t *testing.T) {
	k := New(Options{})
	address := closingListener(t)
	for _, id := range []string{"a", "b", "c"} {
		breakRun(k, Run{Server: id, Address: address, Reached: true}, "q")
	}
	if _, held := k.Held(request("q")); !held || k.ServersEnded() != 3 {
		t.Errorf("held %v, %d servers ended", held, k.ServersEnded())
	}
}

// A call that is sent to a server after its end meets what listens for it, and breaks off
// as well. Calls that are alike, sent from elsewhere to one such server after the other,
// must not be held for that.
func TestRunsThatDidNotReachAServerAreNotHeld(t *testing.T) {
	k := New(Options{})
	address := closingListener(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		breakRun(k, Run{Server: id, Address: address}, "alike")
	}
	if k.ServersEnded() != 0 || k.Holding() != 0 {
		t.Errorf("%d servers ended, %d requests held", k.ServersEnded(), k.Holding())
	}
}

// Two servers have ended under a request. Its repeat goes on once it is cleared, and not
// before it is held where a third one has ended: it would end the fourth.
func TestRepeatOfASuspectWaitsForTheRuling(t *testing.T) {
	for name, resolve := range map[string]func(k *Keeper){
		"cleared": func(k *Keeper) { k.Succeeded(Run{Server: "z", Began: time.Now()}, request("q")()) },
		"held":    func(k *Keeper) { k.Ended("c") },
	} {
		t.Run(name, func(t *testing.T) {
			k := New(Options{})
			if !k.AwaitRuling(t.Context(), request("q")) {
				t.Error("the repeat of a request without a ruling was ended")
			}
			address, _ := server(t)
			breaks(k, "a", address, "q")
			k.Ended("a")
			breaks(k, "b", address, "q")
			k.Ended("b")
			breaks(k, "c", address, "q")
			time.AfterFunc(50*time.Millisecond, func() { resolve(k) })
			k.AwaitRuling(t.Context(), request("q"))
			if x, known := k.ruling(request("q")); !known || x.Status == quarantine.Suspected {
				t.Errorf("the repeat goes on while the request is %v", x.Status)
			}
		})
	}
}

// The wait for a ruling is bounded, and ends with the call.
func TestWaitForARulingEnds(t *testing.T) {
	k := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b"} {
		breaks(k, id, address, "q")
		k.Ended(id)
	}
	began := time.Now()
	if !k.AwaitRuling(t.Context(), request("q")) || time.Since(began) > 2*rulingWait {
		t.Errorf("the repeat of a request that stays suspected was ended, or waited %v", time.Since(began))
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if k.AwaitRuling(ended, request("q")) {
		t.Error("the repeat of a call that has ended goes on")
	}
}

// A server that has no room closes new connections while it answers on others.
func TestServerThatAnswersHasNotEnded(t *testing.T) {
	k := New(Options{})
	address := closingListener(t)
	for range 4 {
		k.Broke(Run{Server: "a", Address: address, Reached: true, Began: time.Now().Add(-time.Millisecond)}, request("q")())
		k.Succeeded(Run{Server: "a", Address: address, Began: time.Now()}, request("other")())
		time.Sleep(2*checkPause + quarantine.SimultaneousWindow)
	}
	if k.ServersEnded() != 0 || k.Holding() != 0 {
		t.Errorf("%d servers ended, %d requests held", k.ServersEnded(), k.Holding())
	}
}

// Something listens for the servers all the time; only their newer starts show that
// they have ended.
func TestNewerStartsAreProof(t *testing.T) {
	k := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b", "c"} {
		breaks(k, id, address, "q")
		k.Ended(id)
	}
	if _, held := k.Held(request("q")); !held {
		t.Error("not held")
	}
}

// Something listens for servers that have ended, so that calls are sent to them for as
// long as nobody knows. Calls that are all alike broke off at one such server after the
// other; they were held, and with them most of the traffic.
func TestCallsSentAfterTheEndAreNotHeld(t *testing.T) {
	k := New(Options{})
	address, _ := server(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		breaks(k, id, address, "in flight at "+id)
		breaks(k, id, address, "alike")
		breaks(k, id, address, "alike")
		k.Ended(id)
	}
	time.Sleep(2 * quarantine.DecisionDelay)
	if _, held := k.Held(request("alike")); held {
		t.Error("held, though it never ran at a server that ended")
	}
}

// One server of 2,000 ends at an entry of 376 with all its 64 calls there: what it costs
// to pick the judges and to build the messages.
func BenchmarkEndedServerAmong376Entries(b *testing.B) {
	var entries []membership.Instance
	for i := range 376 {
		entries = append(entries, membership.Instance{Name: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprint("10.0.0.1:", i)})
	}
	all := func() []membership.Instance { return entries }
	k := New(Options{Transport: frame.NewTransport("10.0.0.1:0", nil, nil), Instances: all, Judges: all})
	now := time.Now()
	var runs []brokenRun
	for i := range 64 {
		runs = append(runs, brokenRun{request: request(fmt.Sprint("q", i))(), began: now, ended: now})
	}
	others := []string{"i-0000000001", "i-0000000002", "i-0000000003", "i-0000000004"}
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, list := range k.endings(now, "i-0000000000", runs, others) {
			data, err := msgpack.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/end")
}
