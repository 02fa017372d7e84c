// Package usage counts the runs that entries see, brings the counts into the replicated
// log, and reports closed windows to whoever asks for them.
package usage

import (
	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/replica"
)

// methodTell brings a report to the replica group's leader.
const methodTell = "usage.tell"

// tellRequest is what one instance tells the leader.
type tellRequest struct {
	Instance string `msgpack:"i"`
	// TimeOfDay is the instance's own, in Unix nanoseconds.
	TimeOfDay int64 `msgpack:"t"`
	// Report is nil from instances that see no runs.
	Report *usage.Report `msgpack:"r,omitempty"`
	// Demands are from instances that know the load of whole pools.
	Demands []capacity.Demand `msgpack:"d,omitempty"`
}

type tellReply struct {
	replica.Redirect `msgpack:",inline"`
	// Counted is the last report of the asking process that is in the log.
	Counted uint64 `msgpack:"c"`
	// Agreed is the agreed time of day in Unix nanoseconds, zero while there is none.
	Agreed int64 `msgpack:"a,omitempty"`
}
