package api

import "time"

// Pages of an instance with a replica, served on its metrics address.
const (
	PathUsage  = "/usage"
	PathDuties = "/duties"
)

// QueryAfter is the query parameter of PathUsage with the number of the last window
// that the client already has.
const QueryAfter = "after"

// UsageRecord holds the usage counts of a closed window.
type UsageRecord struct {
	Window int64     `json:"window"`
	Begin  time.Time `json:"begin"`
	End    time.Time `json:"end"`
	// Counts holds the number of runs that began in the window, by customer.
	Counts map[string]uint64 `json:"counts"`
	// Acknowledged is set once the usage collector has acknowledged the window, or if
	// no collector asks for usage.
	Acknowledged bool `json:"taken"`
}

// UsagePage is a page of the recorded windows.
type UsagePage struct {
	Records []UsageRecord `json:"records"`
	// Late is the number of runs, counted since the replica group was created, that
	// were reported only after their window was closed.
	Late uint64 `json:"late"`
	// More is set if there are windows after the last one of the page.
	More bool `json:"more"`
}

// DutyStatus is the state of a duty, which one instance holds at a time.
type DutyStatus struct {
	Duty      string `json:"duty"`
	Holder    string `json:"holder"`
	Term      uint64 `json:"term"`
	LastFence uint64 `json:"last_fence"`
}

// ServerOrder is the last order for servers of a pool in a zone, either reclaimable
// or not.
type ServerOrder struct {
	Pool        string `json:"pool"`
	Zone        string `json:"availability_zone"`
	Reclaimable bool   `json:"reclaimable"`
	Count       int    `json:"count"`
	// Seen counts such servers that accept work.
	Seen int `json:"seen"`
}

// DutiesPage holds the duties and orders known to an instance with a replica.
type DutiesPage struct {
	Duties []DutyStatus  `json:"duties"`
	Orders []ServerOrder `json:"orders"`
	// OpenWindows counts the windows with counts that are not closed,
	// UnacknowledgedWindows the closed ones that are not acknowledged.
	OpenWindows           int `json:"open_windows"`
	UnacknowledgedWindows int `json:"untaken_windows"`
}
