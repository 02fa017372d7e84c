package entry

import (
	"net/http"
	"sort"

	"cardamomwick.example/core/api"

	"github.com/cespare/xxhash/v2"

	"cardamomwick.example/core/membership"
)

// maxAddresses bounds the list that a caller gets.
const maxAddresses = 8

// Addresses serves GET /v1/addresses?zone=: entries in the caller's zone
// first, spread over callers, without draining and isolated ones.
func (e *Entry) Addresses(w http.ResponseWriter, r *http.Request) {
	caller := r.RemoteAddr + r.Header.Get("Authorization")
	list := e.addresses(r.URL.Query().Get("zone"), caller)
	writeJSON(w, http.StatusOK, api.AddressList{Addresses: list, TTLMillis: e.settings.Callers.AddressTTL.D().Milliseconds()})
}

func (e *Entry) addresses(zone, caller string) []string {
	if zone == "" {
		zone = e.settings.Instance.AvailabilityZone
	}
	var good []membership.Instance
	for _, i := range e.gossip.Instances() {
		if !i.Draining && !i.Isolated && i.State == membership.Alive {
			good = append(good, i)
		}
	}
	score := func(i membership.Instance) uint64 { return xxhash.Sum64String(caller + "\x00" + i.Name) }
	sort.Slice(good, func(a, b int) bool {
		if near := good[a].Zone == zone; near != (good[b].Zone == zone) {
			return near
		}
		return score(good[a]) < score(good[b])
	})
	out := []string{}
	for _, i := range good[:min(len(good), maxAddresses)] {
		out = append(out, i.CallerAddress)
	}
	return out
}

// otherAddresses lists entries without this one.
func (e *Entry) otherAddresses(caller string) []string {
	out := []string{}
	for _, a := range e.addresses("", caller) {
		if a != e.settings.Callers.Address {
			out = append(out, a)
		}
	}
	return out
}
