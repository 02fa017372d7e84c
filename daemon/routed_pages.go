package daemon

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/apex/log"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/usage"
)

// maxPageRecords limits the usage windows of one page: with 1,000 customers, a page of
// this many has 1 MB.
const maxPageRecords = 64

// metricsHandler serves the metrics at any path, the request limits of servers at an entry,
// and usage and duties at a replica.
func (d *Routed) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", d.metricsPage)
	if d.router != nil {
		mux.HandleFunc("GET "+api.PathLimits, d.limitsPage)
	}
	if d.replica != nil {
		mux.HandleFunc("GET "+api.PathUsage, d.usagePage)
		mux.HandleFunc("GET "+api.PathDuties, d.dutiesPage)
	}
	return mux
}

func (d *Routed) usagePage(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get(api.QueryAfter); text != "" {
		var err error
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "after is not the number of a window", http.StatusBadRequest)
			return
		}
	}
	v := d.replica.Duties().Usage
	length := d.settings.Tuning().Usage.Window
	page := api.UsagePage{Records: []api.UsageRecord{}, Late: v.Late}
	for _, x := range v.Closed {
		if int64(x.Window) <= after {
			continue
		}
		if len(page.Records) == maxPageRecords {
			page.More = true
			break
		}
		end := x.Window.End(length).UTC()
		page.Records = append(page.Records, api.UsageRecord{Window: int64(x.Window), Begin: end.Add(-length), End: end, Counts: x.Counts, Acknowledged: x.Acknowledged})
	}
	writeJSON(w, page)
}

func (d *Routed) dutiesPage(w http.ResponseWriter, _ *http.Request) {
	state := d.replica.Duties()
	page := api.DutiesPage{Duties: []api.DutyStatus{}, Orders: []api.ServerOrder{}, OpenWindows: state.Usage.Open, UnacknowledgedWindows: unacknowledgedWindows(&state.Usage)}
	for name, x := range state.Duties {
		page.Duties = append(page.Duties, api.DutyStatus{Duty: name, Holder: x.Lease.Holder, Term: x.Lease.Term, LastFence: x.Fence})
	}
	slices.SortFunc(page.Duties, func(a, b api.DutyStatus) int { return cmp.Compare(a.Duty, b.Duty) })
	servers, _ := d.control.Servers()
	for _, x := range state.Orders {
		o := api.ServerOrder{Pool: x.Pool, Zone: x.Zone, Reclaimable: x.Reclaimable, Count: x.Count}
		for _, s := range servers {
			if s.Pool == x.Pool && s.Zone == x.Zone && s.Reclaimable == x.Reclaimable && s.AcceptsWork() {
				o.Seen++
			}
		}
		page.Orders = append(page.Orders, o)
	}
	writeJSON(w, page)
}

// limitsPage lists the servers that announced a request limit.
func (d *Routed) limitsPage(w http.ResponseWriter, _ *http.Request) {
	page := api.LimitsPage{Limits: []api.ServerLimit{}, Waiting: d.router.WaitingForLimits()}
	for pool, list := range d.router.ServerStates() {
		for _, b := range list {
			if b.Limit.Limited {
				page.Limits = append(page.Limits, api.ServerLimit{Pool: pool, Server: b.ID, PerSecond: b.Limit.PerSecond,
					Since: b.LimitSince, Share: b.LimitRate, Sent: b.LimitSent})
			}
		}
	}
	slices.SortFunc(page.Limits, func(a, b api.ServerLimit) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server))
	})
	writeJSON(w, page)
}

// unacknowledgedWindows counts the closed windows that the provider has not acknowledged.
func unacknowledgedWindows(v *usage.View) int {
	n := 0
	for _, r := range v.Closed {
		if !r.Acknowledged {
			n++
		}
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		log.WithError(err).WithField("step", "write page").Debug("client disconnected")
	}
}
