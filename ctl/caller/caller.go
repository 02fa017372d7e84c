// Package caller is the side of the applications: it calls models and plain
// services through an entry and checks that the answer is whole and belongs to
// the request. The load tool, the demo and the proofs use it.
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
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/fake"
)

// Configure gives the shared HTTP client room for many connections. Call it
// once at start.
func Configure() {
	http.DefaultTransport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     30 * time.Second,
	}
}

// NewKey returns an idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Request is one call.
type Request struct {
	// Address is the entry's IP:port.
	Address string
	// Customer is the bearer key.
	Customer string
	Class    string
	// Key is the idempotency key, empty for none.
	Key string
	// Deadline is sent when above 0.
	Deadline time.Duration
	// Model, Prompt and Output make a chat call: Output is how many tokens the
	// stand-in engine is to generate.
	Model  string
	Prompt []string
	Output int
	Stream bool
	// MaxTokens is the cap that the caller sends and expects, 0 for none.
	MaxTokens int
	// Service, Path and Body make a plain call.
	Service string
	Path    string
	Body    []byte
}

// Result is a call's final answer as the caller saw it.
type Result struct {
	Status    int
	Outcome   state.Outcome
	Error     *api.CallError
	RequestID string
	Repeat    bool
	// Tokens came to the caller; Complete: the end was marked; Correct: the
	// whole answer is the one to this request.
	Tokens   int
	Complete bool
	Correct  bool
	// Service is a plain service's answer.
	Service    fake.ServiceResponse
	FirstToken time.Duration
	Total      time.Duration
	// Transport is set when no final answer came at all.
	Transport error
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
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

// Do makes the call and waits for its end.
func Do(ctx context.Context, r *Request) *Result {
	if r.Model != "" {
		return chat(ctx, r)
	}
	return service(ctx, r)
}

func newRequest(ctx context.Context, r *Request, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // never sent twice by the HTTP client itself
	req.Header.Set("Authorization", "Bearer "+r.Customer)
	req.Header.Set("Content-Type", "application/json")
	if r.Class != "" {
		req.Header.Set(api.HeaderClass, r.Class)
	}
	if r.Key != "" {
		req.Header.Set(api.HeaderKey, r.Key)
	}
	if r.Deadline > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func chat(ctx context.Context, r *Request) *Result {
	body, err := json.Marshal(chatBody{r.Model, r.messages(), r.Stream, r.MaxTokens, map[string]int{"output_tokens": r.Output}})
	if err != nil {
		return &Result{Transport: err}
	}
	start := time.Now()
	res, resp := begin(ctx, r, api.PathChat, body)
	if resp == nil {
		res.Total = time.Since(start)
		return res
	}
	defer resp.Body.Close()
	var text string
	if r.Stream && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err = readEvents(resp.Body, start, res)
		if o := resp.Trailer.Get(api.HeaderOutcome); o != "" {
			res.Outcome = state.Outcome(o)
		}
	} else {
		text, err = readWhole(resp.Body, res)
		res.FirstToken = time.Since(start)
	}
	res.Total = time.Since(start)
	res.Tokens = fake.CountTokens(text)
	if err != nil {
		res.Transport = err
		return res
	}
	want := r.Output
	if r.MaxTokens > 0 {
		want = min(want, r.MaxTokens)
	}
	res.Correct = res.Complete && text == fake.AnswerText(fake.PromptHash(r.messages()), want)
	return res
}

// begin sends the request; the response is nil when it failed.
func begin(ctx context.Context, r *Request, path string, body []byte) (*Result, *http.Response) {
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
	res.Repeat = resp.Header.Get(api.HeaderRepeat) != ""
	if resp.StatusCode == http.StatusOK {
		return res, resp
	}
	defer resp.Body.Close()
	var e api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		res.Transport = eris.Wrap(err, "read error body")
		return res, nil
	}
	res.Error = e.Error
	return res, nil
}

type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
		Finish  string  `json:"finish_reason"`
	} `json:"choices"`
}

func readEvents(body io.Reader, start time.Time, res *Result) (string, error) {
	var text strings.Builder
	in := bufio.NewScanner(body)
	in.Buffer(nil, 1<<20)
	failed := false
	for in.Scan() {
		line := in.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			var e api.ErrorBody
			if err := json.Unmarshal([]byte(data), &e); err == nil && e.Error != nil {
				res.Error = e.Error
				res.Outcome = e.Error.Outcome
			}
			continue
		}
		if data == "[DONE]" {
			res.Complete = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return text.String(), eris.New("unreadable event")
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(start)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	if err := in.Err(); err != nil {
		return text.String(), err
	}
	if !res.Complete && res.Error == nil {
		return text.String(), errors.New("the stream ended without an end marker or an error event")
	}
	return text.String(), nil
}

func readWhole(body io.Reader, res *Result) (string, error) {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) == 0 {
		return "", eris.New("answer holds no choice")
	}
	res.Complete = c.Choices[0].Finish != ""
	return c.Choices[0].Message.Content, nil
}

func service(ctx context.Context, r *Request) *Result {
	start := time.Now()
	res, resp := begin(ctx, r, api.PathServices+r.Service+r.Path, r.Body)
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

// Addresses asks an instance which entries to use.
func Addresses(ctx context.Context, address, zone string) (*api.AddressList, error) {
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
