// Package collect decides which instances gather the load counts of the others.
//
// The load pattern it answers: every instance that places calls has to know what
// all others have placed, within a few hundred milliseconds. If each told each,
// the messages would grow with the square of the instances: 58 of them sent
// 33,000 a second, most of them between availability zones, where bytes cost.
// So a zone has a tree: members report to a group's collector, these to the zone's,
// and each answers with what everyone else has; the zones' collectors tell each other
// the sums of their zones. A zone of few members has no groups. Where instances are
// few altogether, each tells all others: that is one step instead of three or five,
// and as cheap.
//
// Nothing has to be agreed upon: whoever gets reports answers them. Two instances
// that plan by different views of the membership only count something twice, or
// not at all, for a moment.
package collect

import (
	"slices"
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
	// groupMembers is the most that report to one collector: with their answers as
	// many messages as the collectors of seven zones send each other.
	groupMembers = 16
	// period is the usual time between two reports. Bursts grow over some
	// hundred milliseconds; a fifth of it brought no gain.
	period = 100 * time.Millisecond
	// periodMembers is the number of instances from which on the period grows with them,
	// so that all together send no more messages: with more instances each one's own
	// calls are a smaller part of what there is to tell.
	periodMembers = 200
)

// Levels of an instance in the tree. Counts go up from lower levels only.
const (
	LevelMember uint8 = iota
	LevelGroup
	LevelZone
)

// Member is an instance that places calls.
type Member struct {
	Name    string
	Zone    string
	Address string
}

// Plan is what one instance does with its counts.
type Plan struct {
	Level uint8
	// Peers are told the counts of this instance and all below it.
	Peers []Member
	// Collectors are reported to: the first one, or the next when it is silent.
	Collectors []Member
	// Period is the time between two reports.
	Period time.Duration
}

// NewPlan returns the plan of the named instance among the members, which
// include it or not.
func NewPlan(self Member, members []Member) Plan {
	every := periodOf(len(members))
	if len(members) <= meshMembers {
		return Plan{Level: LevelZone, Peers: without(members, self.Name), Period: every}
	}
	zones := byZone(members)
	zone := zones[self.Zone]
	at := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	if len(zone) == 0 || at >= 0 && at < collectorsPerZone {
		return Plan{Level: LevelZone, Peers: otherCollectors(zones, self.Name), Period: every}
	}
	heads := collectors(zone)
	level, list := place(at-len(heads), zone[len(heads):], heads)
	return Plan{Level: level, Collectors: list, Period: every}
}

// periodOf returns the time between two reports among so many instances.
func periodOf(members int) time.Duration {
	return max(period, period*time.Duration(members)/periodMembers)
}

// place returns the level and the collectors of the member at an index of those
// below the zone's collectors; the index is negative for one that is not listed yet.
func place(at int, below, heads []Member) (uint8, []Member) {
	if len(below) <= groupMembers {
		return LevelMember, heads
	}
	groups := (len(below) + groupMembers) / (groupMembers + 1)
	if at >= 0 && at < groups {
		return LevelGroup, heads
	}
	own := max(0, at) % groups
	list := append([]Member(nil), below[own:groups]...)
	list = append(list, below[:own]...)
	return LevelMember, append(list, heads...)
}

// otherCollectors lists the collectors of all zones but the named one.
func otherCollectors(zones map[string][]Member, self string) []Member {
	var out []Member
	for _, zone := range zones {
		out = append(out, without(collectors(zone), self)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// byZone sorts the members of each zone by name.
func byZone(members []Member) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for _, zone := range zones {
		sort.Slice(zone, func(i, j int) bool { return zone[i].Name < zone[j].Name })
	}
	return zones
}

// collectors returns those of a sorted zone, the first names.
func collectors(zone []Member) []Member { return zone[:min(len(zone), collectorsPerZone)] }

func without(list []Member, name string) []Member {
	var out []Member
	for _, m := range list {
		if m.Name != name {
			out = append(out, m)
		}
	}
	return out
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
