package collect

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func newMembers(zones, each int) []Member {
	var out []Member
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("entry-%d-%02d", z, i)
			out = append(out, Member{Name: name, Zone: fmt.Sprint("zone-", z), Address: name})
		}
	}
	return out
}

func TestFewInstancesFormAMesh(t *testing.T) {
	list := newMembers(3, 3)
	p := NewPlan(list[4], list)
	if len(p.Collectors) != 0 || len(p.Peers) != 8 {
		t.Errorf("got %+v", p)
	}
}

// The total number of messages must grow linearly with the instances, and no instance may
// send more than a few hundred messages a second, with 30 instances as well as with 378 in
// seven zones.
func TestMessagesGrowWithTheInstances(t *testing.T) {
	for _, size := range []struct{ zones, each int }{{5, 6}, {5, 12}, {5, 39}, {5, 76}, {7, 54}} {
		list := newMembers(size.zones, size.each)
		sent := map[string]float64{}
		total := 0.0
		for _, m := range list {
			p := NewPlan(m, list)
			perSecond := float64(time.Second) / float64(p.Period)
			sent[m.Name] += perSecond * float64(len(p.Peers))
			if len(p.Collectors) > 0 {
				sent[m.Name] += perSecond
				sent[p.Collectors[0].Name] += perSecond // the answer
			}
		}
		busiest := 0.0
		for _, n := range sent {
			total += n
			busiest = max(busiest, n)
		}
		t.Logf("%d instances: %.0f messages/s, %.0f/s at the busiest one", len(list), total, busiest)
		if total > 45*float64(len(list)) {
			t.Errorf("%d instances send %.0f messages/s", len(list), total)
		}
		if busiest > 300 {
			t.Errorf("of %d instances one sends %.0f messages/s", len(list), busiest)
		}
	}
}

// A collector must be on a higher level than the member that reports to it, so that the
// counts reach all others. Every member has a second collector to switch to.
func TestReportsGoUp(t *testing.T) {
	list := newMembers(5, 39)
	plans := map[string]Plan{}
	for _, m := range list {
		plans[m.Name] = NewPlan(m, list)
	}
	members := map[string]int{}
	for name, p := range plans {
		if p.Level == LevelZone {
			continue
		}
		if len(p.Collectors) < 2 {
			t.Errorf("%s has only %d collectors", name, len(p.Collectors))
		}
		for _, c := range p.Collectors {
			if plans[c.Name].Level <= p.Level {
				t.Errorf("%s of level %d reports to %s of level %d", name, p.Level, c.Name, plans[c.Name].Level)
			}
		}
		members[p.Collectors[0].Name]++
	}
	for name, n := range members {
		if n > maxGroupMembers {
			t.Errorf("%d report to %s", n, name)
		}
	}
	if p := NewPlan(Member{Name: "new", Zone: "zone-1"}, list); len(p.Collectors) < 2 {
		t.Errorf("an instance that is not listed yet has the plan %+v", p)
	}
}

func firstCollector(p Plan) string {
	if len(p.Collectors) == 0 {
		return ""
	}
	return p.Collectors[0].Name
}

// collectorsOf returns the collector of each member.
func collectorsOf(list []Member) map[string]string {
	out := make(map[string]string, len(list))
	for _, m := range list {
		out[m.Name] = firstCollector(NewPlan(m, list))
	}
	return out
}

// movedMembers counts the members of both plans that have another collector.
func movedMembers(before, after map[string]string) int {
	moved := 0
	for name, collector := range after {
		if old, known := before[name]; known && old != collector {
			moved++
		}
	}
	return moved
}

// Each move to another collector sends all servers anew in both directions. An instance that
// comes or goes may move as many others as a group has on average; hundreds that join one after
// the other may not make each other move all the time.
func TestMemberThatComesOrGoesMovesOneGroup(t *testing.T) {
	const limit = maxGroupMembers
	for _, each := range []int{33, 97} {
		list := newMembers(3, each)
		all := collectorsOf(list)
		total, samples := 0, 0
		for i := 0; i < len(list); i += 17 {
			missing := collectorsOf(slices.Delete(slices.Clone(list), i, i+1))
			total += movedMembers(all, missing)
			samples++
		}
		if average := float64(total) / float64(samples); average > limit {
			t.Errorf("one of %d members that is missing moves %.1f others", len(list), average)
		}
		joined := slices.Clone(list)
		rand.New(rand.NewSource(1)).Shuffle(len(joined), func(i, j int) { joined[i], joined[j] = joined[j], joined[i] })
		const step = 3
		moves := 0
		before := map[string]string{}
		for n := step; n <= len(joined); n += step {
			after := collectorsOf(joined[:n])
			moves += movedMembers(before, after)
			before = after
		}
		t.Logf("%d members: one missing moves %.1f, joining %d at a time makes %d moves", len(list), float64(total)/float64(samples), step, moves)
		if moves > len(list)*limit/step {
			t.Errorf("%d members that join make %d moves", len(list), moves)
		}
	}
}

// Every zone's sum must reach every collector.
func TestCollectorsReachEachOther(t *testing.T) {
	list := newMembers(5, 12)
	received := map[string]int{}
	collectors := 0
	for _, m := range list {
		p := NewPlan(m, list)
		if p.Level != LevelZone {
			continue
		}
		collectors++
		for _, peer := range p.Peers {
			received[peer.Name]++
		}
	}
	if collectors != 10 {
		t.Fatalf("%d collectors in five zones", collectors)
	}
	for name, n := range received {
		if n != collectors-1 {
			t.Errorf("%s gets the sums of %d collectors", name, n)
		}
	}
}

// A frozen collector must not leave its zone without counts until the membership detects
// it.
func TestSilentCollectorIsReplaced(t *testing.T) {
	list := newMembers(5, 12)
	p := NewPlan(list[11], list)
	var r Reporter
	now := time.Unix(0, 0)
	first, _ := r.Pick(now, p)
	r.RecordAnswer(now)
	if again, _ := r.Pick(now.Add(answerTimeout), p); again != first {
		t.Errorf("left collector %v, which has just answered", first)
	}
	second, _ := r.Pick(now.Add(answerTimeout+p.Period), p)
	if second == first {
		t.Errorf("still reporting to %v, which does not answer", first)
	}
}

// Above about 200 instances the report period grows with their number, so that the total
// message rate stays constant. Otherwise each added instance, although it receives a
// smaller part of the calls, would increase the cost for all others.
func TestTotalMessagesStopGrowing(t *testing.T) {
	total := func(instances int) float64 {
		list := newMembers(5, instances/5)
		sum := 0.0
		for _, m := range list {
			p := NewPlan(m, list)
			messages := len(p.Peers) + min(1, len(p.Collectors))
			sum += float64(messages) * float64(time.Second) / float64(p.Period)
		}
		return sum
	}
	if at200, at375 := total(200), total(375); at375 > 1.05*at200 {
		t.Errorf("%.0f messages a second of 375 instances, %.0f of 200", at375, at200)
	}
	if p := reportPeriod(191); p != basePeriod {
		t.Errorf("191 instances report every %v", p)
	}
}

// BenchmarkNewPlan measures the plan of a leaf at the largest supported size. It is computed once
// for each change of the entries.
func BenchmarkNewPlan(b *testing.B) {
	list := newMembers(5, 75)
	for b.Loop() {
		NewPlan(list[len(list)-1], list)
	}
}
