package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomwick.example/core/api"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/backend"
)

// sink receives a call's answer and writes it to the caller. Streaming callers get
// each event immediately; for the others the text is collected until the end. After
// detach nothing more is written, while the call may continue.
type sink struct {
	mu           sync.Mutex
	w            http.ResponseWriter
	c            *call
	started      bool
	detached     bool
	text         strings.Builder
	tokens       int
	finishReason string
	first        time.Time
	attempts     int
}

func newSink(w http.ResponseWriter, c *call) *sink { return &sink{w: w, c: c} }

func (s *sink) isStreaming() bool { return s.c.chat != nil && s.c.chat.stream }

// writeEvent records an engine event and sends it to a streaming caller.
func (s *sink) writeEvent(ev *backend.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.IsZero() {
		s.first = time.Now()
	}
	if ev.Text != "" {
		s.tokens++
		s.text.WriteString(ev.Text)
	}
	if ev.Finish != "" {
		s.finishReason = ev.Finish
	}
	if !s.isStreaming() || s.detached {
		return
	}
	s.start()
	fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", s.tokens, ev.Data)
	s.flush()
}

func (s *sink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(api.HeaderRequestID, s.c.id)
	h.Set("Trailer", api.HeaderOutcome)
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

// partial returns the text and the number of tokens generated so far.
func (s *sink) partial() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String(), s.tokens
}

// setAttempt sets the number of the current attempt.
func (s *sink) setAttempt(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = n
}

// counts returns the numbers of tokens and attempts so far.
func (s *sink) counts() (tokens, attempts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.attempts
}

// complete reports whether the engine's last event has arrived.
func (s *sink) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishReason != ""
}

// detach stops writing, since the caller gets another final answer.
func (s *sink) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detached = true
}

// finish writes the final answer, for a started stream as its last events. It must be
// called once.
func (s *sink) finish(r *reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detached = true
	if s.attempts > 1 && !s.started {
		s.w.Header().Set(api.HeaderAttempts, strconv.Itoa(s.attempts))
	}
	if !s.started && !(s.isStreaming() && r.err == nil) {
		r.write(s.w, s.c.id)
		return
	}
	if r.err == nil && r.recorded {
		r.write(s.w, s.c.id)
		return
	}
	s.start()
	if r.err != nil {
		data, _ := json.Marshal(api.ErrorBody{Error: &r.err.CallError})
		fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", data)
	} else {
		fmt.Fprintf(s.w, ": outcome %s\n\ndata: [DONE]\n\n", r.outcome)
	}
	s.w.Header().Set(api.HeaderOutcome, string(r.outcome))
	s.flush()
}

// firstToken returns the time to the first token, or to the answer of a service; 0 if
// there was none.
func (s *sink) firstToken(r *reply) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.first.IsZero() {
		return s.first.Sub(s.c.arrived)
	}
	if r.err == nil {
		return time.Since(s.c.arrived)
	}
	return 0
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completionReply returns the collected answer for callers that don't stream.
func (s *sink) completionReply() *reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := json.Marshal(completion{ID: s.c.id, Object: "chat.completion", Model: s.c.pool,
		Choices: []completionChoice{{Message: completionMessage{"assistant", s.text.String()}, FinishReason: s.finishReason}},
		Usage:   completionUsage{s.tokens}})
	if err != nil {
		return errorReply(unknown(http.StatusInternalServerError, api.ErrorBackendFailed, err.Error()))
	}
	return &reply{status: http.StatusOK, contentType: jsonType, body: body, outcome: state.OutcomeCompleted}
}
