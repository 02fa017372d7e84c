package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	coreusage "cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/control"
	"cardamomwick.example/daemon/internal/testport"
	"cardamomwick.example/daemon/provider"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/upstream"
)

// stubAdapter implements no protocol: these tests call the instances' control API directly.
type stubAdapter struct{ control ControlAPI }

func (*stubAdapter) ParseCall(http.Header) upstream.Call              { return upstream.Call{} }
func (*stubAdapter) StripReserved(http.Header)                        {}
func (*stubAdapter) SetCallHeaders(http.Header, upstream.CallHeaders) {}
func (*stubAdapter) ParseAnswer(int, http.Header) upstream.Answer     { return upstream.Answer{} }
func (*stubAdapter) SetRetryAfter(http.Header, time.Duration)         {}
func (*stubAdapter) Directory(Directory) http.Handler                 { return http.NotFoundHandler() }
func (*stubAdapter) Readiness(func() bool) http.Handler               { return http.NotFoundHandler() }
func (*stubAdapter) Duties([]string) provider.Duties                  { return provider.Duties{} }
func (*stubAdapter) UsageReport(provider.Call, coreusage.Record) (*http.Request, error) {
	return nil, errors.New("no provider")
}
func (*stubAdapter) ServerOrder(provider.Call, capacity.Order) (*http.Request, error) {
	return nil, errors.New("no provider")
}
func (a *stubAdapter) Control(c ControlAPI) http.Handler {
	a.control = c
	return http.NotFoundHandler()
}

// member is a running instance.
type member struct {
	*Routed
	control ControlAPI
	peer    string
	folder  string
	end     context.CancelFunc
	exited  chan struct{}
}

// kill stops an instance and waits for its end.
func (m *member) kill() {
	m.end()
	<-m.exited
}

type cluster struct {
	t     testing.TB
	seeds []string
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	logged := memory.New()
	testLog.setTarget(logged)
	c := &cluster{t: t, seeds: []string{testport.Reserve(t), testport.Reserve(t), testport.Reserve(t)}}
	t.Cleanup(func() { // runs last, after every instance has stopped
		testLog.setTarget(discard.New())
		c.logEntries(logged.Entries)
	})
	return c
}

// logEntries prints the instances' log in the output of a failed test.
func (c *cluster) logEntries(logged []*log.Entry) {
	if !c.t.Failed() {
		return
	}
	for _, e := range logged {
		c.t.Logf("%s %s %s %v", e.Timestamp.Format("05.000"), e.Level, e.Message, e.Fields)
	}
}

func (c *cluster) start(name, peer, folder string, bootstrap bool) *member {
	c.t.Helper()
	callers, controlAddress := "", ""
	if folder == "" {
		callers = testport.Reserve(c.t)
	} else {
		controlAddress = testport.Reserve(c.t)
	}
	text := fmt.Sprintf("[instance]\nname=%q\navailability_zone=\"z\"\ndata_folder=%q\n[callers]\naddress=%q\naddress_ttl=\"100ms\"\ndrain_timeout=\"1s\"\n"+
		"[peers]\naddress=%q\nseeds=[\"%s\"]\n[[peers.keys]]\nid=\"k\"\nsecret=\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"\n"+
		"[replicas]\nbootstrap=%v\n[routing]\nenabled=true\ncontrol_address=%q\n", name, folder, callers, peer, strings.Join(c.seeds, `","`), bootstrap, controlAddress)
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	adapter := &stubAdapter{}
	d, err := NewRouted(s, adapter)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	m := &member{Routed: d, control: adapter.control, peer: peer, folder: folder, end: end, exited: make(chan struct{})}
	go func() {
		defer close(m.exited)
		if err := d.Run(ctx); err != nil {
			c.t.Errorf("instance %s ended: %v", name, err)
		}
	}()
	c.t.Cleanup(m.kill)
	return m
}

// startReplicas starts the three replicas that bootstrap the group.
func (c *cluster) startReplicas() []*member {
	var out []*member
	for i, seed := range c.seeds {
		out = append(out, c.start(fmt.Sprint("r", i), seed, c.t.TempDir(), true))
	}
	return out
}

// waitUntil fails the test if the condition is not met within the limit.
func (c *cluster) waitUntil(what string, limit time.Duration, met func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (c *cluster) declare(m *member, version uint64) {
	c.t.Helper()
	d := &routing.Declaration{Version: version, Pools: []routing.Pool{{Name: "p"}}}
	c.waitUntil(fmt.Sprintf("version %d is acknowledged", version), 10*time.Second, func() bool {
		return m.control.Declare(context.Background(), d, fmt.Appendf(nil, "source %d", version)) == nil
	})
}

func (c *cluster) announce(m *member, s fleet.Server) {
	c.t.Helper()
	c.waitUntil("an announcement is acknowledged", 5*time.Second, func() bool { return m.control.Announce(context.Background(), s) == nil })
}

func (c *cluster) depart(m *member, s fleet.Start) {
	c.t.Helper()
	c.waitUntil("a departure is acknowledged", 5*time.Second, func() bool { return m.control.Depart(context.Background(), s) == nil })
}

func (c *cluster) expectSource(m *member, version uint64) {
	c.t.Helper()
	want := fmt.Sprintf("source %d", version)
	c.waitUntil(want+" is read back", 5*time.Second, func() bool {
		got, err := m.control.Source(context.Background())
		return err == nil && string(got) == want
	})
}

// memberCount returns the number of group members that a replica knows.
func memberCount(m *member) int {
	v, _ := m.replica.View()
	return len(v.Members)
}

// propagationLimit is the time after the acknowledgement of a declaration within which every
// entry must apply it.
const propagationLimit = 2 * time.Second

// killLeader kills the current leader, but not a next one elected in the meantime, and
// returns the other replicas.
func (c *cluster) killLeader(group []*member) []*member {
	c.t.Helper()
	leads := func(m *member) bool { v, _ := m.replica.View(); return v.Leading }
	c.waitUntil("there is a leader", 5*time.Second, func() bool { return slices.ContainsFunc(group, leads) })
	leader := slices.IndexFunc(group, leads)
	group[leader].kill()
	return slices.Delete(slices.Clone(group), leader, leader+1)
}

// watch runs the watch of a new entry over the transport of m until the test ends, and
// returns the server lists that it delivers. The entry finds replicas through d.
func (c *cluster) watch(m *member, d *replica.Directory, onTable func(*routing.Table)) <-chan []fleet.Server {
	got := make(chan []fleet.Server, 256)
	w := control.NewWatch(m.transport, replica.NewClient(m.transport, d), onTable, func(list []fleet.Server) {
		select {
		case got <- list:
		default:
		}
	})
	ctx, end := context.WithCancel(context.Background())
	c.t.Cleanup(end)
	go func() { _ = w.Serve(ctx) }()
	return got
}

// watchFleet is watch for an entry that may use any replica.
func (c *cluster) watchFleet(m *member) <-chan []fleet.Server {
	return c.watch(m, m.directory, func(*routing.Table) {})
}
