// Package collect plans which instances aggregate the load counts of the others.
//
// Every instance that places calls has to know what all others have placed, within a few
// hundred milliseconds. If each sent its counts to each, the number of messages would grow
// with the square of the instances: 58 of them sent 33,000 a second, most of them between
// availability zones, where traffic costs money. So each zone forms a tree: leaves report
// to a group's collector, group collectors to the zone's collectors, and a collector
// answers each report with the counts of everyone else; the collectors of the zones
// exchange the sums of their zones. A zone with few members has no groups. A small number
// of instances forms a full mesh: that is one hop instead of three or five, at the same
// cost.
//
// No agreement is needed: an instance that gets reports answers them. Two instances that
// plan by different views of the membership only count something twice, or not at all, for
// a moment.
package collect

import (
	"slices"
	"sort"
	"time"

	"cardamomwick.example/core/rendezvous"
)

// Limits of a plan.
const (
	// maxMeshMembers is the number of instances up to which they form a full mesh: with 16,
	// an instance sends as many messages as a collector does among 58 instances in five
	// zones.
	maxMeshMembers = 16
	// collectorsPerZone provides a standby: the second collector holds all sums too, so
	// that it can take over immediately.
	collectorsPerZone = 2
	// maxGroupMembers is the number of members that report to one collector: with the
	// answers to them this is as many messages as the collectors of seven zones send each
	// other.
	maxGroupMembers = 16
	// targetGroupMembers is the average size of a group. It is below the maximum, so that a
	// member that joins rarely displaces another one.
	targetGroupMembers = 12
	// basePeriod is the usual time between two reports. Bursts build up over a few hundred
	// milliseconds; a fifth of this period was no better.
	basePeriod = 100 * time.Millisecond
	// basePeriodMembers is the number of instances from which on the period grows with
	// them, so that the total number of messages stays constant: with more instances the
	// calls of each one are a smaller part of the total load.
	basePeriodMembers = 200
)

// Levels of an instance in the tree. Counts are sent up from lower levels only.
const (
	// LevelLeaf instances collect no reports.
	LevelLeaf uint8 = iota
	// LevelGroup instances are the collectors of groups.
	LevelGroup
	// LevelZone instances are the collectors of zones, or form a full mesh.
	LevelZone
)

// Member is an instance that places calls.
type Member struct {
	Name    string
	Zone    string
	Address string
}

// Plan determines to which instances one instance sends its counts.
type Plan struct {
	Level uint8
	// Peers are sent the counts of this instance and all below it.
	Peers []Member
	// Collectors take the reports: the first one, or the next when it does not answer.
	Collectors []Member
	// Period is the time between two reports.
	Period time.Duration
}

// NewPlan returns the plan of an instance. The members need not include it yet.
func NewPlan(self Member, members []Member) Plan {
	period := reportPeriod(len(members))
	if len(members) <= maxMeshMembers {
		return Plan{Level: LevelZone, Peers: without(members, self.Name), Period: period}
	}
	zones := groupByZone(members)
	zone := zones[self.Zone]
	index := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	if len(zone) == 0 || index >= 0 && index < collectorsPerZone {
		return Plan{Level: LevelZone, Peers: otherCollectors(zones, self.Name), Period: period}
	}
	collectors := zoneCollectors(zone)
	level, list := placeMember(self, zone[len(collectors):], collectors)
	return Plan{Level: level, Collectors: list, Period: period}
}

// reportPeriod returns the time between two reports for a number of instances.
func reportPeriod(members int) time.Duration {
	return max(basePeriod, basePeriod*time.Duration(members)/basePeriodMembers)
}

// placeMember returns the level of a member that is not a collector of its zone, and the
// collectors it reports to. below lists the zone's members that are not collectors of the zone;
// the member may be missing there.
func placeMember(self Member, below, collectors []Member) (uint8, []Member) {
	if len(below) <= maxGroupMembers {
		return LevelLeaf, collectors
	}
	groups := below[:groupCount(len(below))]
	if slices.ContainsFunc(groups, func(m Member) bool { return m.Name == self.Name }) {
		return LevelGroup, collectors
	}
	return LevelLeaf, append(groupsFor(self, groups, below[len(groups):]), collectors...)
}

// groupCount returns the number of groups of the members below a zone's collectors.
func groupCount(members int) int { return (members + targetGroupMembers) / (targetGroupMembers + 1) }

// groupsFor returns the collectors of groups in a leaf's order of preference. It is rendezvous
// hashing with bounded loads: each leaf, in the order of the list, takes the collector with the
// highest score for its name that has room. A member that comes or goes thus moves few others,
// and each move costs the whole list of servers in both directions.
func groupsFor(self Member, groups, leaves []Member) []Member {
	members := make([]int, len(groups))
	for _, leaf := range leaves {
		if leaf.Name == self.Name {
			break
		}
		if first := highestScore(leaf.Name, groups, func(i int) bool { return members[i] < maxGroupMembers }); first >= 0 {
			members[first]++
		}
	}
	order := make([]int, 0, len(groups))
	for range groups {
		next := highestScore(self.Name, groups, func(i int) bool { return members[i] < maxGroupMembers && !slices.Contains(order, i) })
		if next < 0 {
			break
		}
		order = append(order, next)
	}
	out := make([]Member, 0, len(groups)+collectorsPerZone)
	for _, i := range order {
		out = append(out, groups[i])
	}
	return out
}

// highestScore returns the index of the accepted collector with the highest score for a name, or
// -1 if none is accepted.
func highestScore(name string, groups []Member, accepts func(i int) bool) int {
	best, highest := -1, uint64(0)
	for i, g := range groups {
		if !accepts(i) {
			continue
		}
		if s := rendezvous.Score(name, g.Name); best < 0 || s > highest {
			best, highest = i, s
		}
	}
	return best
}

// otherCollectors returns the collectors of all zones, except the named instance.
func otherCollectors(zones map[string][]Member, self string) []Member {
	var out []Member
	for _, zone := range zones {
		out = append(out, without(zoneCollectors(zone), self)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// groupByZone groups the members by zone, sorted by name.
func groupByZone(members []Member) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for _, zone := range zones {
		sort.Slice(zone, func(i, j int) bool { return zone[i].Name < zone[j].Name })
	}
	return zones
}

// zoneCollectors returns the collectors of a sorted zone: the first by name.
func zoneCollectors(zone []Member) []Member { return zone[:min(len(zone), collectorsPerZone)] }

func without(list []Member, name string) []Member {
	var out []Member
	for _, m := range list {
		if m.Name != name {
			out = append(out, m)
		}
	}
	return out
}

// answerTimeout is how long a collector may leave reports unanswered before the next one is
// used: the membership detects a frozen instance only later.
const answerTimeout = 350 * time.Millisecond

// Reporter selects the collector that an instance reports to. The zero value starts with
// the first one. Not safe for concurrent use.
type Reporter struct {
	index      int
	lastAnswer time.Time
}

// RecordAnswer records that the collector has answered.
func (r *Reporter) RecordAnswer(now time.Time) { r.lastAnswer = now }

// Pick returns the collector to report to; ok is false if the plan has none.
func (r *Reporter) Pick(now time.Time, p Plan) (collector Member, ok bool) {
	if len(p.Collectors) == 0 {
		return Member{}, false
	}
	if r.lastAnswer.IsZero() {
		r.lastAnswer = now
	}
	if now.Sub(r.lastAnswer) >= answerTimeout+p.Period {
		r.index++
		r.lastAnswer = now
	}
	return p.Collectors[r.index%len(p.Collectors)], true
}
