// Package backend speaks to backend servers: model engines (chat completions
// with server-sent events, resumable by offset) and plain HTTP services. Every
// error says whether the call may have run.
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
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/retry"
)

// Bounds towards backend servers.
const (
	// MaxAnswerBytes bounds a plain service's answer.
	MaxAnswerBytes = 4 << 20
	maxEventBytes  = 1 << 20
	idlePerServer  = 256
	dialTimeout    = time.Second
	cancelTimeout  = time.Second
)

// Configure gives the shared HTTP client enough idle connections per server.
// Call it once at start.
func Configure() {
	http.DefaultTransport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Target is one attempt of one call at one server.
type Target struct {
	RequestID string
	Attempt   int
	Tier      int
	Customer  string
	Server    string
	Address   string
}

// CallError is a failed attempt.
type CallError struct {
	Failure retry.Failure
	// Status is the server's HTTP status, 0 without an answer.
	Status int
	// Reached: the server's answer had begun.
	Reached bool
	// Step and Peer tell where it arose.
	Step string
	Peer string
	Err  error
}

// Error names step, peer and cause.
func (e *CallError) Error() string {
	if e.Err != nil {
		return e.Step + " at backend server " + e.Peer + ": " + e.Err.Error()
	}
	return e.Step + " at backend server " + e.Peer + ": status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// failureOf tells a connection that was never made from a broken call.
func failureOf(err error) retry.Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return retry.FailureNotSent
	}
	return retry.FailureUncertain
}

// onceReader hides the body's type from the HTTP client, which would otherwise
// send a request with an idempotency key again by itself on a broken
// connection.
type onceReader struct{ io.Reader }

func newRequest(ctx context.Context, t *Target, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, &CallError{Failure: retry.FailureNotSent, Step: "build request", Peer: t.Server, Err: err}
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.ContentLength = -1 // chunked and empty: a request without a body is sent again by the client
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
		return nil, &CallError{Failure: failureOf(err), Step: step, Peer: t.Server, Err: eris.Wrap(err, step)}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		defer resp.Body.Close()
		return nil, refusal(resp, t, step)
	}
	if got := resp.Header.Get(api.HeaderRequestID); got != "" && got != t.RequestID {
		resp.Body.Close()
		return nil, &CallError{Failure: retry.FailureUncertain, Step: step, Peer: t.Server, Err: eris.Errorf("answer belongs to request %s", got)}
	}
	return resp, nil
}

// refusal turns a 5xx answer into an error; a server may say that it did not
// start the call.
func refusal(resp *http.Response, t *Target, step string) error {
	e := &CallError{Failure: retry.FailureUncertain, Status: resp.StatusCode, Step: step, Peer: t.Server}
	if resp.Header.Get(api.HeaderNotStarted) == "true" {
		e.Failure = retry.FailureNotSent
	}
	return e
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends one call to a plain service and reads the whole answer.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(data) > MaxAnswerBytes {
		err = eris.New("answer is larger than allowed")
	}
	if err != nil {
		return nil, &CallError{Failure: retry.FailureUncertain, Reached: true, Step: "read answer", Peer: t.Server, Err: err}
	}
	return &Answer{resp.StatusCode, resp.Header.Get("Content-Type"), data}, nil
}

// Event is one server-sent event of a model engine.
type Event struct {
	// Data is the JSON chunk as sent.
	Data []byte
	// Text is the generated text in it.
	Text string
	// Finish is the finish reason of the last chunk.
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

// Resume continues a broken stream of the same attempt behind offset events.
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

// Next returns the next event; io.EOF after the engine's end marker. Any other
// end is an error: a cut stream never looks finished.
func (s *Stream) Next() (*Event, error) {
	for {
		line, err := s.readLine()
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

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, eris.New("event is larger than allowed")
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

// Close ends reading.
func (s *Stream) Close() { s.body.Close() }

// Cancel tells an engine that nobody waits for a generation any more.
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
