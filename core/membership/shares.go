package membership

import (
	"slices"
	"time"
)

// ShareHolders returns the instances among which bounds on all of them together are divided,
// sorted by name. Those that drain, lack a declaration or are out of sight are included: they may
// have used their share, or go on to use it.
func (t *Table) ShareHolders() []Instance {
	return slices.DeleteFunc(t.allMembers(), func(i Instance) bool { return !i.holdsShare() })
}

// holdsShare reports whether the instance counts as one of those among which bounds on all
// instances together are divided: it accepts calls, and may still be at work or have used its part.
// One that drained before its death has ended by itself.
func (i *Instance) holdsShare() bool {
	return i.CallerAddress != "" && !(i.State == Dead && i.Draining && i.deadFor() >= drainedRetention)
}

// drainedFor returns how long a member that drained before it ended has been dead, 0 for any other.
func (m *memberEntry) drainedFor(now time.Time) time.Duration {
	if m.State != Dead || !m.Draining {
		return 0
	}
	return now.Sub(m.changedAt)
}

// forMessage returns the member's state for a message. Without its age, a death would be kept
// for ever by members that tell each other of it in turn.
func (m *memberEntry) forMessage(now time.Time) Instance {
	out := m.Instance
	if out.State == Dead {
		out.DeadMillis = uint32(max(0, min(now.Sub(m.changedAt), deadRetention)).Milliseconds())
	}
	return out
}

// deadFor returns how long an instance in a message has been dead.
func (i *Instance) deadFor() time.Duration {
	if i.State != Dead {
		return 0
	}
	return time.Duration(i.DeadMillis) * time.Millisecond
}
