package api

import "time"

// Pages of an instance with a replica, beside its metrics.
const (
	PathUsage  = "/usage"
	PathDuties = "/duties"
)

// QueryAfter is the query key of PathUsage that names the last window that is known.
const QueryAfter = "after"

// UsageRecord is a recorded window.
type UsageRecord struct {
	Window int64     `json:"window"`
	Begin  time.Time `json:"begin"`
	End    time.Time `json:"end"`
	// Counts has the runs that began, by customer.
	Counts map[string]uint64 `json:"counts"`
	// Taken: whoever asks for usage has acknowledged it, or nobody asks.
	Taken bool `json:"taken"`
}

// UsagePage is a part of the recorded windows.
type UsagePage struct {
	Records []UsageRecord `json:"records"`
	// Late are runs that were told after their window was closed, since the group began.
	Late uint64 `json:"late"`
	// More: there are windows after the last one of the page.
	More bool `json:"more"`
}

// DutyStatus is a duty of one instance at a time.
type DutyStatus struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	Fence  uint64 `json:"last_fence"`
}

// ServerOrder is the last order of servers of a kind in a zone.
type ServerOrder struct {
	Pool        string `json:"pool"`
	Zone        string `json:"availability_zone"`
	Reclaimable bool   `json:"reclaimable"`
	Count       int    `json:"count"`
	// Seen are the servers of that kind that take work.
	Seen int `json:"seen"`
}

// DutiesPage is what an instance with a replica knows of duties.
type DutiesPage struct {
	Duties []DutyStatus  `json:"duties"`
	Orders []ServerOrder `json:"orders"`
	// OpenWindows have counts and are not closed, Untaken are closed and not acknowledged.
	OpenWindows int `json:"open_windows"`
	Untaken     int `json:"untaken_windows"`
}
