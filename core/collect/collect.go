// Package collect decides which instances gather the load counts of the others.
//
// The load pattern it answers: every instance that places calls has to know what
// all others have placed, within a few hundred milliseconds. If each told each,
// the messages would grow with the square of the instances: 58 of them sent
// 33,000 a second, most of them between availability zones, where bytes cost.
// So the members of a zone report to a collector in their zone, which answers
// with what everyone else has, and collectors tell each other the sum of their
// zone. Where instances are few, each is its own collector and tells all others:
// that is one step instead of three, and as cheap.
//
// Nothing has to be agreed upon: whoever gets reports answers them. Two instances
// that plan by different views of the membership only count something twice, or
// not at all, for a moment.
package collect

import (
	"sort"
	"time"
)

// Limits of a plan.
const (
	// meshMembers is the number of instances up to which each tells all others:
	// with 16, an instance sends as many messages as a collector of 58 in five
	// zones does.
	meshMembers = 16
	// collectorsPerZone: the second one knows all sums too, so that it can take
	// over at once.
	collectorsPerZone = 2
	// leastPeriod is the usual time between two reports. Bursts grow over some
	// hundred milliseconds; a fifth of it brought no gain.
	leastPeriod = 100 * time.Millisecond
	// reportsPerSecond bounds what one collector is told by its zone: at about 50 µs
	// of processor time for a report and its answer, 1.2% of a core.
	reportsPerSecond = 240
)

// Member is an instance that places calls.
type Member struct {
	Name    string
	Zone    string
	Address string
}

// Plan is what one instance does with its counts.
type Plan struct {
	// Collects: the instance tells Peers the sum of its zone. Otherwise it reports
	// to one of Collectors.
	Collects   bool
	Peers      []Member
	Collectors []Member
	// Period is the time between two reports.
	Period time.Duration
}

// NewPlan returns the plan of the named instance among the members, which
// include it or not.
func NewPlan(self Member, members []Member) Plan {
	if len(members) <= meshMembers {
		return Plan{Collects: true, Peers: without(members, self.Name), Period: leastPeriod}
	}
	zones := byZone(members)
	own := first(zones[self.Zone])
	plan := Plan{Collects: len(own) == 0, Period: period(len(zones[self.Zone]))}
	for _, m := range own {
		plan.Collects = plan.Collects || m.Name == self.Name
	}
	if !plan.Collects {
		plan.Collectors = own
		return plan
	}
	for _, list := range zones {
		plan.Peers = append(plan.Peers, without(first(list), self.Name)...)
	}
	sort.Slice(plan.Peers, func(i, j int) bool { return plan.Peers[i].Name < plan.Peers[j].Name })
	return plan
}

func byZone(members []Member) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	return zones
}

// first returns a zone's collectors, those with the first names.
func first(zone []Member) []Member {
	sort.Slice(zone, func(i, j int) bool { return zone[i].Name < zone[j].Name })
	return zone[:min(len(zone), collectorsPerZone)]
}

func without(list []Member, name string) []Member {
	var out []Member
	for _, m := range list {
		if m.Name != name {
			out = append(out, m)
		}
	}
	return out
}

func period(members int) time.Duration {
	return max(leastPeriod, time.Duration(members)*time.Second/reportsPerSecond)
}

// silence is how long a collector may leave reports unanswered before the next
// one is asked: a frozen instance is noticed by the membership only later.
const silence = 350 * time.Millisecond

// Reporter picks the collector that an instance reports to. The zero value
// starts with the first one. Not safe for concurrent use.
type Reporter struct {
	turn  int
	since time.Time
}

// Heard notes an answer of a collector.
func (r *Reporter) Heard(now time.Time) { r.since = now }

// Pick returns the collector to report to now.
func (r *Reporter) Pick(now time.Time, p Plan) (Member, bool) {
	if len(p.Collectors) == 0 {
		return Member{}, false
	}
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.since) >= silence+p.Period {
		r.turn++
		r.since = now
	}
	return p.Collectors[r.turn%len(p.Collectors)], true
}
