package balance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
)

// bigFleet returns a fleet with the given number of engines.
func bigFleet(engines int) []fleet.Server {
	var list []fleet.Server
	for i := range engines {
		list = append(list, fleet.Server{ID: fmt.Sprintf("i-%010d", i), Pool: "p", Slots: 12})
	}
	return list
}

// benchZone is a collector with its members and one peer that reports the load of all
// other zones.
type benchZone struct {
	collector, outside *Balancer
	members            []*Balancer
	list               []fleet.Server
	open               [][]Ticket
	rnd                *rand.Rand
}

func newZone(members, engines int) *benchZone {
	z := &benchZone{list: bigFleet(engines), rnd: rand.New(rand.NewSource(1)), open: make([][]Ticket, members)}
	instance := func(name string, level uint8) *Balancer {
		b := New(name, 1)
		b.SetFleet(z.list)
		b.SetEngines("p", 362_091, 0)
		b.SetLevel(level)
		return b
	}
	z.collector, z.outside = instance("a", 1), instance("b", 1)
	for i := range members {
		z.members = append(z.members, instance(fmt.Sprint("m", i), 0))
	}
	return z
}

// replaceCall ends the oldest call of a member, if it has more than four, and starts
// another.
func (z *benchZone) replaceCall(now time.Time, i int) {
	c := longCall(fmt.Sprint(z.rnd.Intn(200)))
	b := z.members[i]
	if open := z.open[i]; len(open) > 4 {
		b.End(open[0])
		z.open[i] = open[1:]
	}
	z.open[i] = append(z.open[i], b.Start(now, z.list[z.rnd.Intn(len(z.list))].ID, c))
}

// BenchmarkAnswer measures a collector's cost of one report and its reply: decoding
// and applying the report, building and encoding the reply. Sending complete tables
// took 0.32 ms and 4.3 KB per reply for 40 members and 117 engines.
func BenchmarkAnswer(b *testing.B) {
	for _, size := range []struct{ members, engines int }{{16, 117}, {40, 117}, {16, 2000}} {
		b.Run(fmt.Sprintf("members=%d/engines=%d", size.members, size.engines), func(b *testing.B) {
			z := newZone(size.members, size.engines)
			bytes, now := 0, t0
			spent := time.Duration(0)
			for i := range b.N {
				now = now.Add(6 * time.Millisecond)
				member := z.members[i%size.members]
				z.replaceCall(now, i%size.members)
				elsewhere := z.list[z.rnd.Intn(len(z.list))].ID
				z.outside.End(z.outside.Start(now, elsewhere, longCall("x")))
				z.outside.Start(now, elsewhere, chat)
				if i%size.members == 0 {
					sendCollectorReport(now, z.outside, z.collector)
					sendCollectorReport(now, z.collector, z.outside)
				}
				report := member.MemberReport(now, "a")
				data, err := msgpack.Marshal(&report)
				if err != nil {
					b.Fatal(err)
				}
				began := time.Now()
				var m counts.Message
				if err := wire.Decode(data, &m); err != nil {
					b.Fatal(err)
				}
				z.collector.Receive(now, &m)
				reply := z.collector.MemberReply(now, member.name)
				out, err := msgpack.Marshal(&reply)
				if err != nil {
					b.Fatal(err)
				}
				spent += time.Since(began)
				bytes += len(out)
				member.Receive(now, roundTrip(reply))
			}
			b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "collector-ns/op")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}

// In a tree of collectors as large as the largest targeted deployment, every instance
// must receive all counts, each call counted once, and the latest request limit of
// each server, although every tenth message is lost.
func TestCountsConvergeInCollectorTree(t *testing.T) {
	const groups, perGroup, engines, limitedServers = 4, 13, 400, 60
	list := bigFleet(engines)
	instance := func(name string, level uint8) *Balancer {
		b := New(name, 1)
		b.SetFleet(list)
		b.SetEngines("p", 362_091, 0)
		b.SetLevel(level)
		return b
	}
	type group struct {
		collector *Balancer
		members   []*Balancer
	}
	type zone struct {
		collector *Balancer
		groups    []group
	}
	var zones []zone
	var all []*Balancer
	for z := range 7 {
		x := zone{collector: instance(fmt.Sprint("zone", z), 2)}
		all = append(all, x.collector)
		for g := range groups {
			y := group{collector: instance(fmt.Sprint("group", z, g), 1)}
			all = append(all, y.collector)
			for m := range perGroup - 1 {
				y.members = append(y.members, instance(fmt.Sprint("member", z, g, m), 0))
			}
			all = append(all, y.members...)
			x.groups = append(x.groups, y)
		}
		zones = append(zones, x)
	}
	rnd := rand.New(rand.NewSource(3))
	lose := true
	send := func(to *Balancer, now time.Time, m counts.Message) {
		if !lose || rnd.Intn(10) > 0 {
			to.Receive(now, roundTrip(m))
		}
	}
	want := map[string]int{}
	started := 0
	now := t0
	for round := range 16 {
		now = now.Add(100 * time.Millisecond)
		lose = round < 10
		for _, b := range all {
			if round < 10 && rnd.Intn(3) == 0 {
				id := list[rnd.Intn(engines)].ID
				b.Start(now, id, longCall("x"))
				want[id]++
				started++
			}
			b.DropSilentPeers(now)
		}
		if round%4 == 0 && round < 10 { // each server changes its limit every 400 ms, last in round 8
			for i := range limitedServers {
				all[(7*i+31*round)%len(all)].RecordLimit(now, list[i].ID, perSecond(float64(i+round)))
			}
		}
		for _, z := range zones {
			for _, g := range z.groups {
				for _, m := range g.members {
					send(g.collector, now, m.MemberReport(now, g.collector.name))
					send(m, now, g.collector.MemberReply(now, m.name))
				}
				send(z.collector, now, g.collector.MemberReport(now, z.collector.name))
				send(g.collector, now, z.collector.MemberReply(now, g.collector.name))
			}
			for _, other := range zones {
				if other.collector != z.collector {
					send(other.collector, now, z.collector.CollectorReport(now, other.collector.name))
				}
			}
		}
	}
	wrong, wrongLimits := 0, 0
	for _, b := range all {
		for i := range limitedServers {
			if b.servers[list[i].ID].limit.Limit != perSecond(float64(i+8)) {
				wrongLimits++
			}
		}
		for id, n := range want {
			if b.servers[id].load().Running != n {
				wrong++
			}
		}
	}
	t.Logf("%d instances, %d calls at %d engines", len(all), started, len(want))
	if wrongLimits > 0 {
		t.Errorf("%d of %d limits are wrong", wrongLimits, len(all)*limitedServers)
	}
	if wrong > 0 {
		t.Errorf("%d of %d counts are wrong", wrong, len(all)*len(want))
	}
}

// BenchmarkLimitedServers measures the cost of a call at an entry when all engines of
// the largest targeted deployment announce limits, and the bytes needed to report all
// of them.
func BenchmarkLimitedServers(b *testing.B) {
	for _, engines := range []int{117, 2000} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/limited=%v", engines, limited), func(b *testing.B) {
				x := New("a", 1)
				list := bigFleet(engines)
				x.SetFleet(list)
				x.SetEngines("p", 362_091, 0)
				for i := range list {
					if limited {
						x.RecordLimit(t0, list[i].ID, perSecond(3))
					}
				}
				limitBytes := 0
				for i := range engines/200 + 1 {
					m := x.CollectorReport(t0.Add(time.Duration(i)*time.Second/10), "peer")
					limitBytes += len(m.Limits)
				}
				rnd := rand.New(rand.NewSource(1))
				b.ResetTimer()
				for i := range b.N {
					now := t0.Add(time.Duration(i) * time.Second / 3)
					x.RecordArrival(now, "p", chat)
					if s, ok := x.Choose(now, "p", chat, nil, rnd.Float64); ok {
						x.End(x.Start(now, s.ID, chat))
					}
				}
				b.ReportMetric(float64(limitBytes), "limit-bytes")
			})
		}
	}
}
