package api

import "testing"

// Guards against a replica that gives up the only other copy of what was acknowledged.
func TestDamagedReplicaIsSpareOnlyIfAMajorityHoldsEverything(t *testing.T) {
	voter := func(address string, match uint64) MemberStatus {
		return MemberStatus{Address: address, Voter: true, MatchIndex: match}
	}
	learner := MemberStatus{Address: "l", MatchIndex: 9}
	for name, c := range map[string]struct {
		members []MemberStatus
		want    bool
	}{
		"both others hold everything":         {[]MemberStatus{voter("self", 0), voter("a", 9), voter("b", 9)}, true},
		"one other lags":                      {[]MemberStatus{voter("self", 9), voter("a", 9), voter("b", 8)}, false},
		"three of four others":                {[]MemberStatus{voter("self", 0), voter("a", 9), voter("b", 9), voter("c", 9), voter("d", 0)}, true},
		"two of four others":                  {[]MemberStatus{voter("self", 9), voter("a", 9), voter("b", 9), voter("c", 8), voter("d", 0)}, false},
		"a learner does not count":            {[]MemberStatus{voter("self", 9), voter("a", 9), voter("b", 8), learner}, false},
		"replaced already":                    {[]MemberStatus{voter("a", 9), voter("b", 9), voter("c", 9)}, true},
		"alone":                               {[]MemberStatus{voter("self", 9)}, false},
		"no members":                          {nil, false},
		"both a former and a new one at self": {[]MemberStatus{voter("self", 0), {Address: "self", MatchIndex: 9}, voter("a", 9), voter("b", 9)}, true},
	} {
		if got := (GroupStatus{CommitIndex: 9, Members: c.members}).HeldWithout("self"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
