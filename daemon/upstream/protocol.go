package upstream

import (
	"net/http"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Protocol maps routed calls to the HTTP headers of callers and backend servers. The
// platform's adapter implements it.
type Protocol interface {
	// ParseCall reads a caller's headers.
	ParseCall(h http.Header) Call
	// StripReserved removes the caller's key and the headers that only the system may set.
	StripReserved(h http.Header)
	// SetCallHeaders sets the headers that the system adds for a backend server.
	SetCallHeaders(h http.Header, s CallHeaders)
	// ParseAnswer reads a backend server's headers.
	ParseAnswer(status int, h http.Header) Answer
	// SetRetryAfter sets the time after which a caller may retry.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Call holds a caller's headers.
type Call struct {
	// ID is unique for each request of the caller, its retries included.
	ID string
	// Timeout is how long the caller waits; zero if it is not given.
	Timeout time.Duration
	Key     string
	Prompt  Prompt
	// LastEventID is the last event of the stream that the caller has, "" for none.
	LastEventID string
	// FirstCallID is the ID of the call that brought the stream's first event, "" if it is
	// not given.
	FirstCallID string
}

// Prompt describes the size of a model call.
type Prompt struct {
	Model string
	// Tokens is the prompt's length, MaxOutput the maximum of generated tokens.
	Tokens, MaxOutput int
	// Parts are the prompt's parts in order; the last one belongs to this call alone.
	Parts []Part
}

// SharedParts returns the parts that other calls may share: all but the last.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Part is a part of a prompt that other calls may share. Its ID also identifies the prefix
// of the prompt that ends with it, which balance.Prefix describes.
type Part struct {
	ID     string
	Tokens int
}

// CallHeaders holds the data that the system sends to a backend server with a call.
type CallHeaders struct {
	TimeLeft time.Duration
	// ServerName is the intended server; another one at the same address refuses the
	// call.
	ServerName string
	// Customer is empty on public routes.
	Customer string
	// Priority is 0 (highest) to 9; nil selects the server's default.
	Priority *int
	// LastEventID resumes a stream after this event.
	LastEventID string
}

// Answer holds the values parsed from the headers of a backend server's response.
type Answer struct {
	// CallID is the ID of the answered call; empty if it is not given.
	CallID string
	// Signed is set if the answer has the server's signature.
	Signed bool
	// NotRun is set if the server states that it did not run the call.
	NotRun bool
	// WrongServer is set if another server has the address now.
	WrongServer bool
	// Load is nil if it is not given.
	Load *Load
	// KeepAlive is how long the server keeps an idle connection; zero if it is not given.
	KeepAlive time.Duration
	// Limit is the request rate that the server asks for. BadLimit is set if it is
	// invalid.
	Limit    ratelimit.Limit
	BadLimit bool
	// Brittle is the number of rejections per second, for lack of room, beyond which the
	// server ends; not limited if it is not brittle. BadBrittle is set if it is invalid.
	Brittle    ratelimit.Limit
	BadBrittle bool
}

// Load is a backend server's own count of its calls.
type Load struct{ Running, Waiting, Slots int }
