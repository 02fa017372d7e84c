package fleet

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// started is the server a that says when it started.
func started(born int64, sequence uint64) Server {
	return Server{ID: StartID(Start{"a", born}), Name: "a", Born: born, Pool: "p", Address: "10.0.0.1:1", Slots: 6, Sequence: sequence}
}

func onlyStart(t *testing.T, list []Server, born int64) {
	t.Helper()
	if len(list) != 1 || list[0].Born != born {
		t.Errorf("known are %+v, want the start of %d alone", list, born)
	}
}

// A server that starts again under its name counts anew, also when its former
// start has drained or departed.
func TestNewStartEndsTheFormerOne(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, started(100, 50))
	r.Withdraw("a@100", Draining)
	r.Announce(t0, started(200, 1))
	onlyStart(t, r.Servers(), 200)
	if r.Servers()[0].Phase != Ready {
		t.Error("the new start drains because the former one did")
	}
	r.Depart("a@200")
	r.Announce(t0, started(300, 1))
	onlyStart(t, r.Servers(), 300)
}

func TestWordsOfAFormerStartComeLate(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, started(200, 1))
	r.Announce(t0, started(100, 99))
	r.Announce(t0, Server{ID: "a", Pool: "p", Address: "10.0.0.1:1", Sequence: 100})
	r.Remember(t0, []Server{started(100, 50)})
	onlyStart(t, r.Servers(), 200)
	r.Depart("a@200")
	r.Announce(t0, started(100, 100))
	if len(r.Servers()) != 0 {
		t.Errorf("after the newest start has departed a former one is back: %+v", r.Servers())
	}
	if r.Newest("a") != "a@200" || r.Newest("b") != "b" {
		t.Errorf("newest starts are %q and %q", r.Newest("a"), r.Newest("b"))
	}
}

// A new leader is told of the starts by the log, and must not take back one whose
// heartbeat was held up.
func TestStartsFromElsewhereCount(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, started(100, 5))
	r.NoteStarts([]Start{{"a", 200}})
	if len(r.Servers()) != 0 {
		t.Errorf("a former start is still there: %+v", r.Servers())
	}
}

func TestMirrorKeepsTheNewestStart(t *testing.T) {
	m := NewMirror()
	m.Take(t0, Listing{Term: 1, Version: 1, Servers: []Server{started(100, 5)}})
	m.Take(t0, Listing{Term: 1, Version: 2, Servers: []Server{started(200, 1)}})
	// The next leader was told of the former start only.
	m.Take(t0, Listing{Term: 2, Version: 1, Servers: []Server{started(100, 5)}})
	onlyStart(t, m.Servers(t0), 200)
	m.Take(t0, Listing{Term: 2, Version: 2, Servers: []Server{started(300, 1)}})
	onlyStart(t, m.Servers(t0), 300)
}

func TestForeignWritersCanNotFillTheRegistry(t *testing.T) {
	r := NewRegistry()
	for i := range maxServers + 10 {
		r.Announce(t0, server(fmt.Sprint("x", i), 1))
	}
	if n := len(r.Servers()); n > maxServers {
		t.Errorf("%d servers are remembered", n)
	}
}

// Whatever order the announcements of several starts come in, only the newest one
// heard of is listed.
func TestOnlyTheNewestStartIsListed(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("newest start", prop.ForAll(func(births []uint8) bool {
		r := NewRegistry()
		newest := int64(0)
		for i, b := range births {
			born := int64(b) + 1
			r.Announce(t0, started(born, uint64(i)))
			newest = max(newest, born)
		}
		list := r.Servers()
		return len(births) == 0 || len(list) == 1 && list[0].Born == newest
	}, gen.SliceOf(gen.UInt8())))
	p.TestingRun(t)
}

// All servers of a large fleet are lost, and as many others announce themselves before the
// former are forgotten. Those that a full registry ignores get no calls for half a minute.
func TestLargeFleetIsReplacedWhileTheFormerIsRemembered(t *testing.T) {
	r := lostFleet()
	for i := range fleetSize {
		r.Announce(t0, Server{ID: fmt.Sprint("next-", i), Address: fmt.Sprint("b", i)})
	}
	if n := len(r.Servers()); n != 2*fleetSize {
		t.Errorf("%d of %d servers are listed", n-fleetSize, fleetSize)
	}
}
