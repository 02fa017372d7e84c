package membudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	mb = 1 << 20
	// connection is the cost of a connection in these tests.
	connection = 24 << 10
)

var t0 = time.Unix(1000, 0)

func open(t *testing.T, b *Budget, l *Listener, now time.Time) *Client {
	t.Helper()
	c := &Client{Listener: l}
	if _, ok := b.Open(now, c, connection); !ok {
		t.Fatal("a connection was refused")
	}
	return c
}

func grow(t *testing.T, b *Budget, now time.Time, c *Client, k Kind, bytes int64) (evicted []*Client) {
	t.Helper()
	evicted, ok := b.Grow(now, c, k, bytes)
	if !ok {
		t.Fatalf("%d bytes were refused with %d held", bytes, b.total)
	}
	return evicted
}

// fill opens clients that each hold a body of a size, until the next one would need others to go.
func fill(t *testing.T, b *Budget, l *Listener, now time.Time, size int64, p Phase) (list []*Client) {
	t.Helper()
	for b.total+connection+size <= b.limits.LargestRequest() {
		c := open(t, b, l, now)
		grow(t, b, now, c, Body, size)
		b.SetPhase(now, c, p)
		list = append(list, c)
	}
	return list
}

// Clients that stop just short of the end of their bodies must not hold what others need.
func TestStalledClientsGiveWay(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 1000}), &Listener{}
	stopped := fill(t, b, l, t0, 4*mb, Receiving)
	now := t0.Add(StallTime)
	active := open(t, b, l, now)
	if evicted := grow(t, b, now, active, Body, 4*mb); len(evicted) == 0 || evicted[0].open {
		t.Errorf("%d of %d stalled clients were evicted", len(evicted), len(stopped))
	}
}

// Large bodies that arrive at the same time must not evict each other so that none is ever whole.
func TestFirstLargeBodiesComeToTheirEnd(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 1000}), &Listener{}
	first := fill(t, b, l, t0, 4*mb, Receiving)
	late := open(t, b, l, t0.Add(time.Millisecond))
	if evicted, ok := b.Grow(t0.Add(time.Millisecond), late, Body, 4*mb); ok || len(evicted) > 0 {
		t.Errorf("the last of %d large bodies was accepted: %v, %d others evicted", len(first)+1, ok, len(evicted))
	}
}

// A tenant with many large bodies must not keep out those of another one.
func TestTenantWithMostGivesWay(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 1000}), &Listener{}
	for _, c := range fill(t, b, l, t0, 4*mb, Receiving) {
		b.SetTenant(c, "greedy")
	}
	now := t0.Add(time.Millisecond)
	other := open(t, b, l, now)
	b.SetTenant(other, "modest")
	for _, c := range grow(t, b, now, other, Body, 4*mb) {
		if c.tenant != "greedy" {
			t.Errorf("a client of tenant %q was evicted", c.tenant)
		}
	}
}

// Large requests that are being served can't be evicted. They must leave room for ordinary ones.
func TestOrdinaryRequestsFindRoomBesideLargeOnes(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 1000}), &Listener{}
	fill(t, b, l, t0, 4*mb, Serving)
	for range 60 {
		c := open(t, b, l, t0)
		grow(t, b, t0, c, Body, 140<<10)
		b.SetPhase(t0, c, Serving)
	}
}

// The calls of one tenant, each of ordinary size, must leave room for those of others.
func TestCallsOfOneTenantLeaveRoomForOthers(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 10000}), &Listener{}
	call := func(tenant string) bool {
		c := open(t, b, l, t0)
		b.SetTenant(c, tenant)
		_, ok := b.Grow(t0, c, Call, 32<<10)
		if !ok {
			b.Close(c)
			return false
		}
		return b.SetPhase(t0, c, Serving)
	}
	for call("greedy") {
	}
	for i := range 100 {
		if !call("modest") {
			t.Fatalf("call %d of another tenant was refused", i)
		}
	}
}

// A crowd at one listener must not shut out the others.
func TestEachListenerHasConnections(t *testing.T) {
	b, crowded, quiet := New(Limits{Bytes: 64 * mb, Connections: 100}), &Listener{}, &Listener{}
	for range 100 {
		b.SetPhase(t0, open(t, b, crowded, t0), Serving)
	}
	if _, ok := b.Open(t0, &Client{Listener: crowded}, connection); ok {
		t.Error("a connection beyond the limit was accepted")
	}
	for range MinConnections {
		open(t, b, quiet, t0)
	}
}

// Silent connections go before idle ones, which their callers will use again.
func TestSilentConnectionsGoBeforeIdleOnes(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 100}), &Listener{}
	for i := range 100 {
		if c := open(t, b, l, t0); i%2 == 0 {
			b.EndRequest(t0, c)
		}
	}
	evicted, ok := b.Open(t0.Add(HeadStallTime), &Client{Listener: l}, connection)
	if !ok || len(evicted) == 0 {
		t.Fatalf("accepted: %v, evicted: %d", ok, len(evicted))
	}
	for _, c := range evicted {
		if c.phase == Idle {
			t.Error("an idle connection was evicted")
		}
	}
}

// A small slow client is evicted only for room.
func TestNobodyIsEvictedWithoutNeed(t *testing.T) {
	b, l := New(Limits{Bytes: 64 * mb, Connections: 100}), &Listener{}
	for range 50 {
		grow(t, b, t0, open(t, b, l, t0), Body, 100<<10)
	}
	if evicted := grow(t, b, t0.Add(time.Hour), open(t, b, l, t0.Add(time.Hour)), Body, 4*mb); len(evicted) > 0 {
		t.Errorf("%d clients were evicted", len(evicted))
	}
}

// The load pattern of the package: a crowd of clients of all kinds, with ordinary requests among them.
// The sums must hold after each step, and ordinary requests find room.
func TestCrowdReplay(t *testing.T) {
	const steps, ordinaryServed = 40000, 50
	r := rand.New(rand.NewPCG(77, 1))
	b, l := New(Limits{Bytes: 40 * mb, Connections: 1000}), &Listener{}
	var crowd, serving []*Client
	now := t0
	for range steps {
		now = now.Add(time.Duration(r.IntN(2)) * time.Millisecond)
		switch r.IntN(8) {
		case 0, 1, 2:
			c := &Client{Listener: l}
			if _, ok := b.Open(now, c, connection); ok {
				crowd = append(crowd, c)
			}
		case 3, 4, 5:
			if len(crowd) == 0 {
				continue
			}
			i := r.IntN(len(crowd))
			c := crowd[i]
			k := Kind(1 + r.IntN(2))
			if _, ok := b.Grow(now, c, k, int64(r.IntN(2*mb))); !ok {
				b.Close(c)
				crowd[i] = crowd[len(crowd)-1]
				crowd = crowd[:len(crowd)-1]
			} else if r.IntN(10) == 0 {
				b.SetPhase(now, c, Serving)
			}
		case 6:
			if len(crowd) > 0 {
				c := crowd[r.IntN(len(crowd))]
				if c.phase == Serving {
					b.EndRequest(now, c)
				}
			}
		case 7:
			serving = ordinaryRequest(t, b, now, serving, ordinaryServed)
		}
		check(t, b)
	}
}

// ordinaryRequest lets an ordinary request arrive on a new connection and be served until a number of
// later ones has arrived.
func ordinaryRequest(t *testing.T, b *Budget, now time.Time, serving []*Client, most int) []*Client {
	t.Helper()
	c := &Client{Listener: &Listener{}}
	if _, ok := b.Open(now, c, connection); !ok {
		t.Fatal("an ordinary connection was refused")
	}
	if _, ok := b.Grow(now, c, Body, 24000); !ok {
		t.Fatal("an ordinary body was refused")
	}
	b.SetPhase(now, c, Serving)
	if serving = append(serving, c); len(serving) > most {
		b.Close(serving[0])
		serving = serving[1:]
	}
	return serving
}

// check compares the sums with what the clients hold.
func check(t *testing.T, b *Budget) {
	t.Helper()
	var held [Kinds]int64
	var total int64
	tenants := map[string]int64{}
	for _, c := range b.clients {
		for k := range Kinds {
			held[k] += c.held[k]
		}
		total += c.total
		tenants[c.tenant] += c.total
	}
	if held != b.held || total != b.total || tenants[""] != b.tenants[""] {
		t.Fatalf("held %v, %d in all; the sums are %v, %d", held, total, b.held, b.total)
	}
	if b.total > b.limits.Bytes+MinConnections*connection {
		t.Fatalf("%d bytes are held; %d may be", b.total, b.limits.Bytes)
	}
}

// What a request costs while nobody is evicted, and while a process is full of silent connections.
func BenchmarkOrdinaryRequest(bench *testing.B) {
	for name, clients := range map[string]int{"calm": 100, "full": 4000} {
		bench.Run(name, func(bench *testing.B) {
			b, l := New(Limits{Bytes: 71 * mb, Connections: 4000}), &Listener{}
			for range clients {
				b.Open(t0, &Client{Listener: l}, 16<<10)
			}
			now := t0
			for bench.Loop() {
				now = now.Add(time.Microsecond)
				c := &Client{Listener: l}
				if _, ok := b.Open(now, c, connection); !ok {
					continue
				}
				b.Grow(now, c, Body, 24000)
				b.SetPhase(now, c, Serving)
				b.EndRequest(now, c)
				b.Close(c)
			}
		})
	}
}
