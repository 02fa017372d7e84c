package fleet

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// serverStartedAt returns the server "a" with a start time.
func serverStartedAt(born int64, sequence uint64) Server {
	return Server{ID: StartID(Start{"a", born}), Name: "a", StartedAt: born, Pool: "p", Address: "10.0.0.1:1", Slots: 6, Sequence: sequence}
}

func wantOnlyStart(t *testing.T, list []Server, born int64) {
	t.Helper()
	if len(list) != 1 || list[0].StartedAt != born {
		t.Errorf("listed: %+v, want only the start at %d", list, born)
	}
}

// A restarted server is not affected by the draining or departure of its former start.
func TestNewStartReplacesFormerOne(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, serverStartedAt(100, 50))
	r.Withdraw("a@100", Draining)
	r.Announce(t0, serverStartedAt(200, 1))
	wantOnlyStart(t, r.Servers(), 200)
	if r.Servers()[0].Phase != Ready {
		t.Error("the new start drains because the former one did")
	}
	r.Depart("a@200")
	r.Announce(t0, serverStartedAt(300, 1))
	wantOnlyStart(t, r.Servers(), 300)
}

func TestAnnouncementsOfFormerStartAreIgnored(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, serverStartedAt(200, 1))
	r.Announce(t0, serverStartedAt(100, 99))
	r.Announce(t0, Server{ID: "a", Pool: "p", Address: "10.0.0.1:1", Sequence: 100})
	r.Restore(t0, []Server{serverStartedAt(100, 50)})
	wantOnlyStart(t, r.Servers(), 200)
	r.Depart("a@200")
	r.Announce(t0, serverStartedAt(100, 100))
	if len(r.Servers()) != 0 {
		t.Errorf("a former start is listed after the newest one departed: %+v", r.Servers())
	}
	if r.NewestID("a") != "a@200" || r.NewestID("b") != "b" {
		t.Errorf("newest IDs: %q and %q", r.NewestID("a"), r.NewestID("b"))
	}
}

// A new leader learns the starts from the log, and must not list a former one again because
// of a delayed heartbeat.
func TestStartsFromLogReplaceFormerOnes(t *testing.T) {
	r := NewRegistry()
	r.Announce(t0, serverStartedAt(100, 5))
	r.RecordStarts([]Start{{"a", 200}})
	if len(r.Servers()) != 0 {
		t.Errorf("a former start is still listed: %+v", r.Servers())
	}
}

func TestMirrorKeepsTheNewestStart(t *testing.T) {
	m := NewMirror()
	m.Apply(t0, Listing{Term: 1, Version: 1, Servers: []Server{serverStartedAt(100, 5)}})
	m.Apply(t0, Listing{Term: 1, Version: 2, Servers: []Server{serverStartedAt(200, 1)}})
	// The next leader knows only the former start.
	m.Apply(t0, Listing{Term: 2, Version: 1, Servers: []Server{serverStartedAt(100, 5)}})
	wantOnlyStart(t, m.Servers(t0), 200)
	m.Apply(t0, Listing{Term: 2, Version: 2, Servers: []Server{serverStartedAt(300, 1)}})
	wantOnlyStart(t, m.Servers(t0), 300)
}

func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range maxServers + 10 {
		r.Announce(t0, server(fmt.Sprint("x", i), 1))
	}
	if n := len(r.Servers()); n > maxServers {
		t.Errorf("%d servers are listed", n)
	}
}

// In whatever order the announcements of several starts arrive, only the newest one seen is
// listed.
func TestOnlyTheNewestStartIsListed(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("newest start", prop.ForAll(func(births []uint8) bool {
		r := NewRegistry()
		newest := int64(0)
		for i, b := range births {
			born := int64(b) + 1
			r.Announce(t0, serverStartedAt(born, uint64(i)))
			newest = max(newest, born)
		}
		list := r.Servers()
		return len(births) == 0 || len(list) == 1 && list[0].StartedAt == newest
	}, gen.SliceOf(gen.UInt8())))
	p.TestingRun(t)
}

// All servers of a large fleet are lost, and as many others announce themselves before the
// former time out. Servers that a full registry ignores would get no calls for half a
// minute.
func TestLargeFleetIsReplacedBeforeTheFormerTimesOut(t *testing.T) {
	r := registryOfLostFleet()
	for i := range fleetSize {
		r.Announce(t0, Server{ID: fmt.Sprint("next-", i), Address: fmt.Sprint("b", i)})
	}
	if n := len(r.Servers()); n != 2*fleetSize {
		t.Errorf("%d of %d servers are listed", n-fleetSize, fleetSize)
	}
}
