package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"strings"

	"cardamomwick.example/core/api"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/daemon/dispatcher"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/inbound"
)

const (
	maxAnnounceBytes = 64 << 10
	maxSlots         = 4096
	maxCacheEvents   = 512
	maxAdapters      = 64
	maxNameBytes     = 128
	// announceIntervalMillis is the interval that servers are asked to announce at.
	announceIntervalMillis = 500
	// dispatcherCopies is the number of dispatchers that get an announcement: the pool's
	// dispatcher and its successor.
	dispatcherCopies = 2
)

var serverIDPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_.:-]{0,63}$`)

// Announcer receives backend servers' announcements and forwards them to the
// dispatchers of their pools.
type Announcer struct {
	Entry     *Entry
	Transport *frame.Transport
}

// ServeHTTP handles POST /v1/announce.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m api.Announcement
	body, err := inbound.ReadBody(w, r, inbound.BodyOptions{Max: maxAnnounceBytes})
	if err != nil {
		inbound.Respond(w, err)
		return
	}
	if err := json.Unmarshal(body, &m); err != nil {
		writeError(w, notRun(http.StatusBadRequest, api.ErrorInvalidRequest, "the announcement is not readable: "+err.Error()))
		return
	}
	cfg := a.Entry.holder.Config()
	if cfg.Bundle == nil {
		writeError(w, notRun(http.StatusServiceUnavailable, api.ErrorRefused, "no bundle is in force yet"))
		return
	}
	pool, ok := cfg.Bundle.Pools[m.Pool]
	if !ok || !hasAnnounceToken(r, pool) {
		writeError(w, notRun(http.StatusUnauthorized, api.ErrorUnknownCustomer, "the token does not belong to the pool"))
		return
	}
	if err := validate(&m); err != nil {
		writeError(w, notRun(http.StatusBadRequest, api.ErrorInvalidRequest, err.Error()))
		return
	}
	if !a.Entry.holder.Fresh() || a.Entry.draining.Load() {
		writeError(w, notRun(http.StatusServiceUnavailable, api.ErrorEntryIsolated, "this instance can't pass announcements on; use another address").
			withAddresses(a.Entry.otherAddresses(m.ID)))
		return
	}
	_, retired := cfg.Retired[m.ID]
	a.forward(&m)
	writeJSON(w, http.StatusOK, api.AnnouncementReply{Retired: retired, IntervalMillis: announceIntervalMillis, Addresses: a.Entry.addresses(m.Zone, m.ID)})
}

func hasAnnounceToken(r *http.Request, pool bundle.Pool) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, d := range pool.AnnounceTokens {
		if ok && d == digest {
			return true
		}
	}
	return false
}

func validate(m *api.Announcement) error {
	if !serverIDPattern.MatchString(m.ID) {
		return fmt.Errorf("id %q: up to 64 letters, digits and _ . : -", m.ID)
	}
	if ap, err := netip.ParseAddrPort(m.Address); err != nil || ap.Port() == 0 {
		return fmt.Errorf("address %q is not an IP number with a port", m.Address)
	}
	if m.Slots < 0 || m.Slots > maxSlots || m.Running < 0 || m.Queued < 0 {
		return fmt.Errorf("slots must be 0 to %d, running and queued not negative", maxSlots)
	}
	if r := m.RequestsPerSecond; r != nil && *r < 0 {
		return fmt.Errorf("requests_per_second is %g; it must not be negative", *r)
	}
	if len(m.Version) > maxNameBytes || len(m.Adapters) > maxAdapters {
		return fmt.Errorf("version has at most %d bytes, and there are at most %d adapters", maxNameBytes, maxAdapters)
	}
	if len(m.CachedPrefixes)+len(m.EvictedPrefixes) > maxCacheEvents {
		return fmt.Errorf("at most %d cache events fit one announcement", maxCacheEvents)
	}
	return nil
}

// forward sends the announcement to the pool's dispatcher and to its successor, so that
// the latter knows the servers when it takes over.
func (a *Announcer) forward(m *api.Announcement) {
	msg := dispatcher.Announce{Pool: m.Pool, Server: dispatch.ServerInfo{ID: m.ID, Address: m.Address, Zone: m.Zone, Slots: m.Slots,
		Running: m.Running, Queued: m.Queued, RequestsPerSecond: m.RequestsPerSecond, Version: m.Version, Adapters: m.Adapters, Cached: m.CachedPrefixes, Evicted: m.EvictedPrefixes}}
	ranked := a.Entry.gossip.Rank(m.Pool)
	copies := dispatcherCopies
	if a.Entry.broadcast {
		copies = len(ranked)
	}
	for _, i := range ranked[:min(len(ranked), copies)] {
		_ = a.Transport.Send(i.PeerAddress, dispatcher.MethodAnnounce, &msg)
	}
}
