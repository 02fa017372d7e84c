// Package backend is a client to backend servers: model engines (chat
// completions with server-sent events, resumable by offset) and HTTP services.
// Every error says whether the call may have run.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/core/retry"
	"cardamomwick.example/daemon/heldbody"
)

// Limits of the client.
const (
	// MaxAnswerBytes bounds a service's answer.
	MaxAnswerBytes = 4 << 20
	maxEventBytes  = 1 << 20
	idlePerServer  = 256
	dialTimeout    = time.Second
	cancelTimeout  = time.Second
)

// ConfigureTransport replaces http.DefaultTransport of the process by one that keeps enough
// idle connections per server and accepts only valid responses. Call it once at start.
func ConfigureTransport() {
	http.DefaultTransport = httpbound.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
}

// Target is one attempt of one call at one server.
type Target struct {
	RequestID string
	Attempt   int
	Tier      int
	Customer  string
	Server    string
	Address   string
	// Memory is what the answers of all servers may hold while they are read; nil for no bound.
	Memory *membudget.Pool
}

// CallError is a failed attempt.
type CallError struct {
	Failure retry.Failure
	// Status is the server's HTTP status, 0 without an answer.
	Status int
	// Reached is set if the server's answer had begun.
	Reached bool
	// Step is the operation that failed, Peer the server.
	Step string
	Peer string
	Err  error
}

// Error returns step, peer and cause.
func (e *CallError) Error() string {
	if e.Err != nil {
		return e.Step + " at backend server " + e.Peer + ": " + e.Err.Error()
	}
	return e.Step + " at backend server " + e.Peer + ": status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// classifyFailure distinguishes a failed dial, after which the call certainly did not
// run, from a broken call.
func classifyFailure(err error) retry.Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return retry.FailureNotSent
	}
	return retry.FailureUncertain
}

// onceReader hides the body's type from net/http, which can then not rewind it.
// Otherwise net/http would by itself retry a request with an idempotency key on a
// broken connection.
type onceReader struct{ io.Reader }

func newRequest(ctx context.Context, t *Target, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, &CallError{Failure: retry.FailureNotSent, Step: "build request", Peer: t.Server, Err: err}
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.ContentLength = -1 // chunked and empty: net/http retries requests without a body by itself
	}
	req.Header.Set(api.HeaderRequestID, t.RequestID)
	req.Header.Set(api.HeaderAttempt, strconv.Itoa(t.Attempt))
	req.Header.Set(api.HeaderTier, strconv.Itoa(t.Tier))
	req.Header.Set(api.HeaderCustomer, t.Customer)
	return req, nil
}

func send(req *http.Request, t *Target, step string) (*http.Response, error) {
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, &CallError{Failure: classifyFailure(err), Step: step, Peer: t.Server, Err: eris.Wrap(err, step)}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		defer resp.Body.Close()
		return nil, serverError(resp, t, step)
	}
	if got := resp.Header.Get(api.HeaderRequestID); got != "" && got != t.RequestID {
		resp.Body.Close()
		return nil, &CallError{Failure: retry.FailureUncertain, Step: step, Peer: t.Server, Err: eris.Errorf("answer belongs to request %s", got)}
	}
	return resp, nil
}

// serverError returns the error for a 5xx answer. The server may state that it did not
// start the call.
func serverError(resp *http.Response, t *Target, step string) error {
	e := &CallError{Failure: retry.FailureUncertain, Status: resp.StatusCode, Step: step, Peer: t.Server}
	if resp.Header.Get(api.HeaderNotStarted) == "true" {
		e.Failure = retry.FailureNotSent
	}
	return e
}

// Answer is a service's complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends one call to a service and reads the complete answer.
func Call(ctx context.Context, t *Target, method, path, contentType, key string, body []byte) (*Answer, error) {
	const step = "call service"
	req, err := newRequest(ctx, t, method, path, body)
	if err != nil {
		return nil, err
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	if key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, key)
	}
	resp, err := send(req, t, step)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := t.readBody(resp)
	if err != nil {
		return nil, &CallError{Failure: retry.FailureUncertain, Reached: true, Step: "read answer", Peer: t.Server, Err: err}
	}
	return &Answer{resp.StatusCode, resp.Header.Get("Content-Type"), data}, nil
}

// readBody reads a whole body.
func (t *Target) readBody(resp *http.Response) ([]byte, error) {
	holding := membudget.Holding{Pool: t.Memory}
	defer holding.Release()
	parts, whole, err := heldbody.Read(resp.Body, resp.ContentLength, MaxAnswerBytes, &holding)
	switch {
	case err != nil:
		return nil, err
	case heldbody.Length(parts) > MaxAnswerBytes:
		return nil, errAnswerTooLarge
	case !whole:
		return nil, errNoMemory
	}
	return slices.Concat(parts...), nil
}

// Event is one server-sent event of a model engine.
type Event struct {
	// Data is the JSON chunk as received.
	Data []byte
	// Text is the generated text of the chunk.
	Text string
	// Finish is the finish reason, which only the last chunk has.
	Finish string
}

// Stream reads an engine's events.
type Stream struct {
	target *Target
	body   io.ReadCloser
	r      *bufio.Reader
}

// Open starts a generation.
func Open(ctx context.Context, t *Target, body []byte) (*Stream, error) {
	const step = "start generation"
	req, err := newRequest(ctx, t, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return openStream(req, t, step)
}

// Resume continues a broken stream of the same attempt after the first offset events.
func Resume(ctx context.Context, t *Target, offset int) (*Stream, error) {
	const step = "resume stream"
	path := "/v1/streams/" + url.PathEscape(t.RequestID) + "?attempt=" + strconv.Itoa(t.Attempt) + "&offset=" + strconv.Itoa(offset)
	req, err := newRequest(ctx, t, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = nil, 0
	return openStream(req, t, step)
}

func openStream(req *http.Request, t *Target, step string) (*Stream, error) {
	resp, err := send(req, t, step)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, &CallError{Failure: retry.FailureNotSent, Status: resp.StatusCode, Step: step, Peer: t.Server}
	}
	return &Stream{target: t, body: resp.Body, r: bufio.NewReader(resp.Body)}, nil
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Next returns the next event, or io.EOF after the engine's end marker. Any other end is
// another error, so that a truncated stream never looks complete.
func (s *Stream) Next() (*Event, error) {
	for skipped := 0; ; {
		line, err := s.readLine()
		if skipped += len(line) + 1; err == nil && skipped > maxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			return nil, &CallError{Failure: retry.FailureUncertain, Reached: true, Step: "read stream", Peer: s.target.Server, Err: err}
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return nil, io.EOF
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, &CallError{Failure: retry.FailureUncertain, Step: "decode stream", Peer: s.target.Server, Err: err}
		}
		ev := &Event{Data: data}
		if len(c.Choices) > 0 {
			ev.Text = c.Choices[0].Delta.Content
			ev.Finish = c.Choices[0].FinishReason
		}
		return ev, nil
	}
}

var (
	errAnswerTooLarge = errors.New("answer is larger than allowed")
	errEventTooLong   = errors.New("event is larger than allowed")
	errNoMemory       = errors.New("there is no memory for the answer")
)

func (s *Stream) readLine() ([]byte, error) {
	holding := membudget.Holding{Pool: s.target.Memory}
	defer holding.Release()
	var line []byte
	for {
		part, err := s.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if len(line) > heldbody.FreeBytes && !holding.GrowTo(int64(cap(line))) {
			return nil, errNoMemory
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// Close closes the answer's body.
func (s *Stream) Close() { s.body.Close() }

// Cancel asks an engine to stop a generation. It is best effort: errors are ignored.
func Cancel(t *Target) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := newRequest(ctx, t, http.MethodDelete, "/v1/streams/"+url.PathEscape(t.RequestID)+"?attempt="+strconv.Itoa(t.Attempt), nil)
	if err != nil {
		return
	}
	req.Body, req.ContentLength = nil, 0
	if resp, err := httpc.DoRequest(req); err == nil {
		resp.Body.Close()
	}
}
