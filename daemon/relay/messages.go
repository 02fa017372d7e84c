// Package relay passes calls to a peer that serves them with its own connections to the
// backend servers. An exchange has a stream of its own, so that cancellation, the order of
// events and back pressure work as on a connection to a server:
//
//	instance                      peer
//	offer: pool, sizes       ->
//	                         <-   accepted, or declined with the reason
//	call                     ->
//	                         <-   head, body parts, end; or declined
//
// The call is sent only after the peer has accepted the offer. Until then, whatever fails, it
// has certainly not run. A peer declines later only if it has sent the call to no server. When
// an exchange breaks off, the call may have run. The package decides nothing: package
// core/relay chooses the peer.
package relay

import (
	"net/http"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/relay"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/daemon/frame"
)

// MaxBodyBytes is the size of the largest body that can be passed on, with its headers in one
// message.
const MaxBodyBytes = frame.MaxBytes / 2

// Methods of the messages of an exchange.
const (
	methodOffer = "relay.offer"
	// methodOfferStream offers a call whose stream has an origin. Peers of builds that ignore
	// origins don't know it, and so don't take the call.
	methodOfferStream = "relay.offer.stream"
	methodAccepted    = "relay.accepted"
	methodDeclined    = "relay.declined"
	methodCall        = "relay.call"
	methodHead        = "relay.head"
	methodBody        = "relay.body"
	methodEnd         = "relay.end"
)

// Offer describes a call to the peer that may take it.
type Offer struct {
	Pool string `msgpack:"p"`
	// MinVersion is the oldest declaration that may be applied to the call.
	MinVersion uint64 `msgpack:"v"`
	// BodyBytes is the size of the call's body.
	BodyBytes int `msgpack:"b"`
}

// Call is a call as the caller sent it, without the headers of its connection.
type Call struct {
	Method string      `msgpack:"m"`
	URI    string      `msgpack:"u"`
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"e"`
	Body   []byte      `msgpack:"b"`
	// Pool is the pool that the call's route selected.
	Pool string `msgpack:"p"`
	// Elapsed is the time since the call arrived.
	Elapsed time.Duration `msgpack:"t"`
	// Runs is the number of attempts that may have run before.
	Runs int `msgpack:"r"`
	// Counted is set if the call has been recorded in the sender's retry budget.
	Counted bool `msgpack:"c,omitempty"`
	// LastEventID is the last event of the stream that the caller has, "" for none.
	LastEventID string `msgpack:"l"`
	// Origin is where the stream began, nil before its first event.
	Origin *resumption.Origin `msgpack:"o,omitempty"`
	// OriginStart is the start of the server that sent the stream's first event, OriginAge ago
	// or later; zero if the server's name identifies it.
	OriginStart fleet.Start   `msgpack:"s"`
	OriginAge   time.Duration `msgpack:"g,omitempty"`
}

// declined is a peer's refusal of an offer or a call.
type declined struct {
	Reason relay.Decline `msgpack:"r"`
}

// head begins an answer.
type head struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
}

// End ends a complete answer.
type End struct {
	// Server is the server that gave the answer, "" if the peer itself did.
	Server string `msgpack:"s"`
	// Reason is why no server gave the answer, "" if one did.
	Reason string `msgpack:"e"`
	// Runs is the number of attempts that may have run in all.
	Runs int `msgpack:"r"`
	// Version is the version of the declaration that was applied.
	Version uint64 `msgpack:"v"`
}
