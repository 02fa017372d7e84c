// Package caller is a client for applications' calls: it calls models and plain services
// through an entry and checks that the answer is complete and belongs to the request.
// The backend servers must be those of package fake.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/fake"
)

// ConfigureTransport replaces http.DefaultTransport by one that keeps many idle
// connections per host and accepts only valid responses. Call it once, before the first call.
func ConfigureTransport() {
	http.DefaultTransport = httpbound.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     30 * time.Second,
	})
}

// NewIdempotencyKey returns a new idempotency key.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Request is one call.
type Request struct {
	// Address is the IP:port of the entry.
	Address string
	// CustomerKey is the customer's bearer key.
	CustomerKey string
	Class       string
	// IdempotencyKey is empty for none.
	IdempotencyKey string
	// Deadline counts from sending. It is not sent if 0.
	Deadline time.Duration
	// Model, Prompt and OutputTokens describe a chat call. OutputTokens tells the fake
	// engine how many tokens to generate.
	Model        string
	Prompt       []string
	OutputTokens int
	// Stream asks for the answer as a stream of events.
	Stream bool
	// MaxTokens is the output limit that the caller sends and expects to be applied, 0
	// for none.
	MaxTokens int
	// Service, Path and Body describe a call of a plain service, if Model is empty.
	Service string
	Path    string
	Body    []byte
}

// Result is the final answer to a call as the caller received it.
type Result struct {
	Status    int
	Outcome   state.Outcome
	Error     *api.CallError
	RequestID string
	Repeat    bool
	// Tokens is the number of received tokens. Complete reports whether the answer had
	// its end marker, and Correct whether it is the full answer to this request.
	Tokens   int
	Complete bool
	Correct  bool
	// Service is the answer of a plain service.
	Service    fake.ServiceResponse
	FirstToken time.Duration
	Total      time.Duration
	// Transport is the error that prevented a final answer, if any.
	Transport error
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Metadata  map[string]int    `json:"metadata"`
}

func (r *Request) messages() []json.RawMessage {
	var out []json.RawMessage
	for i, p := range r.Prompt {
		role := "user"
		if i == 0 && len(r.Prompt) > 1 {
			role = "system"
		}
		data, err := json.Marshal(message{role, p})
		if err != nil {
			panic(err) // strings always encode
		}
		out = append(out, data)
	}
	return out
}

// Do makes a call and waits for its end.
func Do(ctx context.Context, r *Request) *Result {
	if r.Model != "" {
		return callModel(ctx, r)
	}
	return callService(ctx, r)
}

func newRequest(ctx context.Context, r *Request, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the HTTP client from sending the request again by itself
	req.Header.Set("Authorization", "Bearer "+r.CustomerKey)
	req.Header.Set("Content-Type", "application/json")
	if r.Class != "" {
		req.Header.Set(api.HeaderClass, r.Class)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.Deadline > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func callModel(ctx context.Context, r *Request) *Result {
	body, err := json.Marshal(chatRequest{r.Model, r.messages(), r.Stream, r.MaxTokens, map[string]int{"output_tokens": r.OutputTokens}})
	if err != nil {
		return &Result{Transport: err}
	}
	start := time.Now()
	res, resp := send(ctx, r, api.PathChat, body)
	if resp == nil {
		res.Total = time.Since(start)
		return res
	}
	defer resp.Body.Close()
	var text string
	if r.Stream && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err = readEventStream(resp.Body, start, res)
		if o := resp.Trailer.Get(api.HeaderOutcome); o != "" {
			res.Outcome = state.Outcome(o)
		}
	} else {
		text, err = readJSON(resp.Body, res)
		res.FirstToken = time.Since(start)
	}
	res.Total = time.Since(start)
	res.Tokens = fake.CountTokens(text)
	if err != nil {
		res.Transport = err
		return res
	}
	wantTokens := r.OutputTokens
	if r.MaxTokens > 0 {
		wantTokens = min(wantTokens, r.MaxTokens)
	}
	res.Correct = res.Complete && text == fake.AnswerText(fake.PromptHash(r.messages()), wantTokens)
	return res
}

// send sends the request. If there is no successful response, it returns nil for it and
// a complete result.
func send(ctx context.Context, r *Request, path string, body []byte) (*Result, *http.Response) {
	res := &Result{}
	req, err := newRequest(ctx, r, path, body)
	if err != nil {
		res.Transport = err
		return res, nil
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		res.Transport = eris.Wrapf(err, "call entry %s", r.Address)
		return res, nil
	}
	res.Status = resp.StatusCode
	res.Outcome = state.Outcome(resp.Header.Get(api.HeaderOutcome))
	res.RequestID = resp.Header.Get(api.HeaderRequestID)
	res.Repeat = resp.Header.Get(api.HeaderRecordedAnswer) != ""
	if resp.StatusCode == http.StatusOK {
		return res, resp
	}
	defer resp.Body.Close()
	var errorBody api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&errorBody); err != nil {
		res.Transport = eris.Wrap(err, "read error body")
		return res, nil
	}
	res.Error = errorBody.Error
	return res, nil
}

type chatChunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
		Finish  string  `json:"finish_reason"`
	} `json:"choices"`
}

func readEventStream(body io.Reader, start time.Time, res *Result) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	errorEvent := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			errorEvent = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if errorEvent {
			var errorBody api.ErrorBody
			if err := json.Unmarshal([]byte(data), &errorBody); err == nil && errorBody.Error != nil {
				res.Error = errorBody.Error
				res.Outcome = errorBody.Error.Outcome
			}
			continue
		}
		if data == "[DONE]" {
			res.Complete = true
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return text.String(), eris.New("event is not a chat chunk with a choice")
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(start)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if err := scanner.Err(); err != nil {
		return text.String(), err
	}
	if !res.Complete && res.Error == nil {
		return text.String(), errors.New("stream ended without an end marker or an error event")
	}
	return text.String(), nil
}

func readJSON(body io.Reader, res *Result) (string, error) {
	var chunk chatChunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return "", err
	}
	if len(chunk.Choices) == 0 {
		return "", eris.New("answer has no choices")
	}
	res.Complete = chunk.Choices[0].Finish != ""
	return chunk.Choices[0].Message.Content, nil
}

func callService(ctx context.Context, r *Request) *Result {
	start := time.Now()
	res, resp := send(ctx, r, api.PathServices+r.Service+r.Path, r.Body)
	if resp != nil {
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&res.Service); err != nil {
			res.Transport = err
		}
		res.Complete = res.Transport == nil
		res.Correct = res.Complete && res.Service.Digest == fake.Digest(r.Body) && res.Service.Path == r.Path
	}
	res.Total = time.Since(start)
	res.FirstToken = res.Total
	return res
}

// FetchAddresses asks an instance for the addresses that callers in a zone should use.
func FetchAddresses(ctx context.Context, address, zone string) (*api.AddressList, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+api.PathAddresses+"?zone="+zone, nil)
	if err != nil {
		return nil, err
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list api.AddressList
	return &list, json.NewDecoder(resp.Body).Decode(&list)
}
