package entry

import (
	"net/http"
	"sort"

	"cardamomwick.example/core/api"

	"github.com/cespare/xxhash/v2"

	"cardamomwick.example/core/membership"
)

// maxAddresses bounds the list of addresses in an answer.
const maxAddresses = 8

// Addresses serves GET /v1/addresses?zone=. It lists the entries that are not draining
// or isolated, those in the caller's zone first, in an order that differs by caller.
func (e *Entry) Addresses(w http.ResponseWriter, r *http.Request) {
	caller := r.RemoteAddr + r.Header.Get("Authorization")
	list := e.addresses(r.URL.Query().Get("zone"), caller)
	writeJSON(w, http.StatusOK, api.AddressList{Addresses: list, TTLMillis: e.settings.Callers.AddressTTL.D().Milliseconds()})
}

func (e *Entry) addresses(zone, caller string) []string {
	if zone == "" {
		zone = e.settings.Instance.AvailabilityZone
	}
	var usable []membership.Instance
	for _, i := range e.gossip.Instances() {
		if !i.Draining && !i.Isolated && i.State == membership.Alive {
			usable = append(usable, i)
		}
	}
	score := func(i membership.Instance) uint64 { return xxhash.Sum64String(caller + "\x00" + i.Name) }
	sort.Slice(usable, func(a, b int) bool {
		if sameZone := usable[a].Zone == zone; sameZone != (usable[b].Zone == zone) {
			return sameZone
		}
		return score(usable[a]) < score(usable[b])
	})
	out := []string{}
	for _, i := range usable[:min(len(usable), maxAddresses)] {
		out = append(out, i.CallerAddress)
	}
	return out
}

// otherAddresses returns addresses without this entry's.
func (e *Entry) otherAddresses(caller string) []string {
	out := []string{}
	for _, a := range e.addresses("", caller) {
		if a != e.settings.Callers.Address {
			out = append(out, a)
		}
	}
	return out
}
