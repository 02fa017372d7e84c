package replica

import (
	"testing"
)

// Guards against a group that can never elect a leader: the only replica that knew the initial membership
// lost its disk before it had replicated it.
func TestInitialVotersStartWithTheSameMembership(t *testing.T) {
	voters := []string{"a", "b", "c"}
	empty := map[string]helloReply{"a": {ID: 1}, "b": {ID: 2}, "c": {ID: 3}}
	group, first := chooseGroup(empty, voters)
	if group == 0 || first.Voters() != 3 {
		t.Fatalf("the first one forms group %d with %+v", group, first)
	}
	formed := map[string]helloReply{"a": {ID: 1, Group: group}, "b": {ID: 2}, "c": {ID: 3}}
	for name, c := range map[string]struct {
		replies map[string]helloReply
		voters  []string
		group   uint64
		members int
	}{
		"a late initial voter":           {formed, voters, group, 3},
		"one that is no initial voter":   {formed, nil, group, 0},
		"one that has lost its disk":     {map[string]helloReply{"a": {ID: 1, Group: group}, "b": {ID: 9}, "c": {ID: 3, Group: group}}, voters, group, 0},
		"a voter does not answer":        {map[string]helloReply{"a": {ID: 1, Group: group}, "b": {ID: 2}}, voters, group, 0},
		"no group, a voter is missing":   {map[string]helloReply{"a": {ID: 1}, "b": {ID: 2}}, voters, 0, 0},
		"no group, not an initial voter": {empty, nil, 0, 0},
	} {
		got, members := chooseGroup(c.replies, c.voters)
		if got != c.group || len(members.Members) != c.members {
			t.Errorf("%s: group %d, %+v", name, got, members)
		}
		if c.members > 0 && groupNumber(members) != group {
			t.Errorf("%s: another membership: %+v", name, members)
		}
	}
}
