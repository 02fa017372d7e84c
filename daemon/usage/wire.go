// Package usage counts the runs that entries observe, commits the counts to the replicated
// log, and exports closed windows to the provider.
package usage

import (
	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/replica"
)

// methodReport sends a report to the replica group's leader.
const methodReport = "usage.tell"

// reportRequest is the periodic message of an instance to the leader.
type reportRequest struct {
	Instance string `msgpack:"i"`
	// TimeOfDay is the instance's own time of day in Unix nanoseconds.
	TimeOfDay int64 `msgpack:"t"`
	// Report is nil from instances that observe no runs.
	Report *usage.Report `msgpack:"r,omitempty"`
	// Demands is set by instances that know the load of whole pools.
	Demands []capacity.Demand `msgpack:"d,omitempty"`
}

type reportReply struct {
	replica.Redirect `msgpack:",inline"`
	// Counted is the number of the reporter's last report in the log.
	Counted uint64 `msgpack:"c"`
	// Agreed is the agreed time of day in Unix nanoseconds, zero while there is none.
	Agreed int64 `msgpack:"a,omitempty"`
}
