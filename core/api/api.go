// Package api defines the paths, headers and JSON types of the HTTP interfaces to
// callers, backend servers and operators. The daemon and the tools share them.
package api

import (
	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/state"
)

// Paths of the HTTP interfaces.
const (
	PathChat      = "/v1/chat/completions"
	PathServices  = "/v1/services/"
	PathAddresses = "/v1/addresses"
	PathAnnounce  = "/v1/announce"
	PathHealth    = "/health"
	PathMetrics   = "/metrics"
	PathOrders    = "/admin/v1/orders"
	PathStatus    = "/admin/v1/status"
	PathAudit     = "/admin/v1/audit"
	PathBundle    = "/admin/v1/bundle"
	PathInstances = "/admin/v1/instances"
	PathServers   = "/admin/v1/servers"
	// PathEngineOrders is served by engines, which receive orders there.
	PathEngineOrders = "/v1/engine/orders"
)

// Headers between callers and entries. HeaderRecordedAnswer is set on an answer that
// was recorded for an earlier request with the same idempotency key.
const (
	HeaderOutcome        = "X-Outcome"
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Request-Class"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRecordedAnswer = "X-Repeat"
	HeaderAttempts       = "X-Attempts"
)

// Headers between entries, which are the instances that accept calls, and backend
// servers, in addition to HeaderRequestID and HeaderIdempotencyKey.
const (
	HeaderAttempt  = "X-Attempt"
	HeaderTier     = "X-Priority"
	HeaderCustomer = "X-Customer"
	// HeaderNotStarted is set by a server that certainly did not start the call.
	HeaderNotStarted = "X-Not-Started"
)

// ErrorType is the machine-readable kind of a failed call.
type ErrorType string

// Error types of failed calls.
const (
	ErrorInvalidRequest      ErrorType = "invalid_request"
	ErrorBodyTooLarge        ErrorType = "body_too_large"
	ErrorUnknownCustomer     ErrorType = "unknown_customer"
	ErrorUnknownClass        ErrorType = "unknown_class"
	ErrorUnknownPool         ErrorType = "unknown_model_or_service"
	ErrorDeadlineExpired     ErrorType = "deadline_expired"
	ErrorIdempotencyKey      ErrorType = "idempotency_key"
	ErrorIdempotencyConflict ErrorType = "idempotency_conflict"
	ErrorCallInProgress      ErrorType = "call_in_progress"
	ErrorRefused             ErrorType = "refused"
	ErrorRateLimited         ErrorType = "rate_limited"
	ErrorEntryIsolated       ErrorType = "entry_isolated"
	ErrorEntryDraining       ErrorType = "entry_draining"
	ErrorReplicasUnavailable ErrorType = "replicas_unavailable"
	ErrorBackendFailed       ErrorType = "backend_failed"
	ErrorAcceptedNotFinished ErrorType = "accepted_not_finished"
	ErrorAnswerNotKept       ErrorType = "answer_not_kept"
	// ErrorRequestQuarantined means that the request is not sent to servers, because
	// several servers have ended while they ran it.
	ErrorRequestQuarantined ErrorType = "request_quarantined"
)

// CallError is the body of every failed call.
type CallError struct {
	Type    ErrorType     `json:"type"`
	Message string        `json:"message"`
	Outcome state.Outcome `json:"outcome"`
	// Reason is the reason for a refusal.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is how long to wait before a retry.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Addresses are other entries to which the call can be sent immediately.
	Addresses []string `json:"addresses,omitempty"`
}

// ErrorBody is the JSON object that carries a CallError.
type ErrorBody struct {
	Error *CallError `json:"error"`
}

// AddressList is the answer of GET /v1/addresses.
type AddressList struct {
	// Addresses are entries to use, best first.
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the list may be cached.
	TTLMillis int64 `json:"ttl_ms"`
}

// Announcement is the body that a backend server sends to POST /v1/announce, with
// the pool's token as bearer key.
type Announcement struct {
	Pool string `json:"pool"`
	// ID identifies one start of the server; a restarted server has a new one.
	ID string `json:"id"`
	// Address has the form IP:port.
	Address string `json:"address"`
	Zone    string `json:"availability_zone"`
	// Slots is how many calls the server runs concurrently.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// RequestsPerSecond limits the requests from all instances together, for as long
	// as the server announces it; without it there is no limit.
	RequestsPerSecond *float64 `json:"requests_per_second,omitempty"`
	// Version and Adapters are the model version and adapters that an engine has
	// loaded. It announces 0 slots while it loads.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// CachedPrefixes and EvictedPrefixes are the prefix hashes cached and evicted since
	// the last announcement.
	CachedPrefixes  []uint64 `json:"cached_prefixes,omitempty"`
	EvictedPrefixes []uint64 `json:"evicted_prefixes,omitempty"`
}

// AnnouncementReply answers an announcement.
type AnnouncementReply struct {
	// Retired servers get no new calls and may stop when their running calls end.
	Retired bool `json:"retired"`
	// IntervalMillis is the time until the next announcement is due.
	IntervalMillis int64 `json:"interval_ms"`
	// Addresses are the instances to announce to.
	Addresses []string `json:"addresses"`
}

// InstanceInfo is the state that an instance reports of itself.
type InstanceInfo struct {
	Name          string `msgpack:"n" json:"name"`
	Zone          string `msgpack:"z" json:"availability_zone"`
	Address       string `msgpack:"a" json:"caller_address"`
	Generation    uint64 `msgpack:"g" json:"generation"`
	BundleVersion uint64 `msgpack:"v" json:"bundle_version"`
	// LeaseFresh reports whether the instance's configuration lease is valid.
	LeaseFresh bool  `msgpack:"f" json:"lease_fresh"`
	Draining   bool  `msgpack:"d" json:"draining"`
	InFlight   int64 `msgpack:"i" json:"in_flight"`
	Waiting    int   `msgpack:"w" json:"waiting"`
	Running    int   `msgpack:"r" json:"running"`
	Replica    bool  `msgpack:"p" json:"replica"`
	// Reachable is false if the instance is a live member but did not answer.
	Reachable bool `msgpack:"-" json:"reachable"`
}

// ServerEntry is a backend server with its pool and the name of its dispatcher.
type ServerEntry struct {
	Pool       string `json:"pool"`
	Dispatcher string `json:"dispatcher"`
	dispatch.ServerView
}

// BundleReply is the bundle in force.
type BundleReply struct {
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version"`
	Digest     string `json:"digest"`
	Content    []byte `json:"content"`
}

// AdminError is the body of the response to a refused operator request.
type AdminError struct {
	Error string `json:"error"`
}

// MemberStatus is the leader's state of a member of the replica group.
type MemberStatus struct {
	ID         uint64 `msgpack:"i" json:"id"`
	Address    string `msgpack:"a" json:"address"`
	Voter      bool   `msgpack:"v" json:"voter"`
	Leader     bool   `msgpack:"l" json:"leader"`
	MatchIndex uint64 `msgpack:"m" json:"match"`
	Active     bool   `msgpack:"c" json:"active"`
}

// GroupStatus is the state of the replica group as reported by its leader.
type GroupStatus struct {
	Group           uint64              `msgpack:"g" json:"group"`
	Term            uint64              `msgpack:"t" json:"term"`
	CommitIndex     uint64              `msgpack:"c" json:"commit"`
	FirstLogIndex   uint64              `msgpack:"f" json:"first_log_index"`
	RememberedCalls int                 `msgpack:"n" json:"remembered_calls"`
	Generation      uint64              `msgpack:"e" json:"generation"`
	BundleVersion   uint64              `msgpack:"b" json:"bundle_version"`
	BundleDigest    string              `msgpack:"d" json:"bundle_digest"`
	Members         []MemberStatus      `msgpack:"m" json:"members"`
	Versions        []state.VersionInfo `msgpack:"s" json:"versions"`
	Retired         map[string]uint64   `msgpack:"r" json:"retired"`
}

// HeldWithout reports whether a majority of the voters hold everything committed, not counting those
// with the given peer address. A leader that has confirmed its status then needs nothing that only
// a replica at that address has.
func (s GroupStatus) HeldWithout(address string) bool {
	voters, holders := 0, 0
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Address != address && m.MatchIndex >= s.CommitIndex {
			holders++
		}
	}
	return voters > 0 && holders > voters/2
}
