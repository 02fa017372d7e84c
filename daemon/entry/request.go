package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomwick.example/core/api"

	"github.com/google/uuid"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/prefix"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/inbound"
)

const (
	// bytesPerToken estimates prompt tokens from prompt bytes.
	bytesPerToken   = 4
	maxCallDeadline = time.Hour
)

// call is a caller's request in progress.
type call struct {
	id         string
	customer   string
	class      string
	policy     bundle.Class
	pool       string
	kind       bundle.PoolKind
	generation uint64
	arrived    time.Time
	deadline   time.Time

	method      string
	path        string
	contentType string
	body        []byte

	// key is set for calls that must not run twice or must not be lost.
	key    *state.CallKey
	callID string
	digest string

	chat *chatRequest
	// identity caches the result of requestDigest.
	identity *quarantine.Digest
}

// requestDigest identifies the request for the quarantine.
func (c *call) requestDigest() quarantine.Digest {
	if c.identity == nil {
		r := quarantine.Request{Customer: c.customer, Method: c.method, Host: c.pool, URI: c.path, Body: c.body}
		d := r.Digest()
		c.identity = &d
	}
	return *c.identity
}

// chatRequest is a chat-completions body. fields holds all fields as they came, so that
// unknown ones reach the engine.
type chatRequest struct {
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	maxTokens int
	messages  []json.RawMessage
}

func (c *call) needsKey() bool { return !c.policy.Idempotent || c.policy.Durable }

// ticket describes the call to the dispatcher.
func (c *call) ticket() dispatch.Ticket {
	t := dispatch.Ticket{Class: c.class, Customer: c.customer, PromptTokens: len(c.body) / bytesPerToken}
	if c.chat != nil {
		t.Prefixes = prefix.Hashes(c.chat.messages)
	}
	return t
}

// parse reads, authenticates and validates a request. The outcome of its errors is
// not_run.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, kind bundle.PoolKind) (*call, *callError) {
	c := &call{id: newID(), kind: kind, arrived: time.Now(), method: r.Method, contentType: r.Header.Get("Content-Type")}
	cfg := e.holder.Config()
	if cfg.Bundle == nil {
		return c, notRun(http.StatusServiceUnavailable, api.ErrorRefused, "no bundle is in force yet").withRetryAfter(time.Second)
	}
	c.generation = cfg.Generation
	customer, ok := e.customerOf(r)
	if !ok {
		return c, notRun(http.StatusUnauthorized, api.ErrorUnknownCustomer, "the bearer key belongs to no customer")
	}
	c.customer = customer
	if err := e.readBody(w, r, c); err != nil {
		return c, err
	}
	if err := c.parsePool(r, cfg.Bundle); err != nil {
		return c, err
	}
	if err := c.parseClass(r, cfg.Bundle); err != nil {
		return c, err
	}
	if err := c.parseDeadline(r); err != nil {
		return c, err
	}
	if c.needsKey() {
		return c, c.parseKey(r)
	}
	return c, nil
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) *callError {
	if !inbound.Admit(r, c.customer) {
		return notRun(http.StatusServiceUnavailable, api.ErrorRefused, "no memory for the call").withRetryAfter(inbound.RetryAfter)
	}
	limit := e.settings.Callers.MaxBodyBytes
	data, err := inbound.ReadBody(w, r, inbound.BodyOptions{Max: limit})
	var refused *inbound.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == inbound.ReasonBody:
		return notRun(http.StatusRequestEntityTooLarge, api.ErrorBodyTooLarge, fmt.Sprintf("the body is over the limit of %d bytes", limit))
	case errors.As(err, &refused):
		return notRun(refused.Status, api.ErrorRefused, refused.Error()).withRetryAfter(refused.RetryAfter)
	case err != nil:
		return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, "the body could not be read: "+err.Error())
	}
	c.body = data
	return nil
}

func (c *call) parsePool(r *http.Request, b *bundle.Bundle) *callError {
	if c.kind == bundle.PoolModel {
		if err := c.parseChat(); err != nil {
			return err
		}
		c.pool = c.chat.model
	} else {
		name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, api.PathServices), "/")
		c.pool = name
		c.path = "/" + rest
		if r.URL.RawQuery != "" {
			c.path += "?" + r.URL.RawQuery
		}
	}
	if p, ok := b.Pools[c.pool]; !ok || p.Kind != c.kind {
		return notRun(http.StatusNotFound, api.ErrorUnknownPool, fmt.Sprintf("the bundle in force declares no %s %q", c.kind, c.pool))
	}
	return nil
}

func (c *call) parseChat() *callError {
	q := &chatRequest{}
	if err := json.Unmarshal(c.body, &q.fields); err != nil {
		return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, "the body is not a JSON object: "+err.Error())
	}
	for name, into := range map[string]any{"model": &q.model, "stream": &q.stream, "max_tokens": &q.maxTokens, "messages": &q.messages} {
		raw, ok := q.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, fmt.Sprintf("field %q: %v", name, err))
		}
	}
	if q.model == "" || len(q.messages) == 0 {
		return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, "fields \"model\" and \"messages\" are required")
	}
	if q.maxTokens < 0 {
		return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, "field \"max_tokens\" must not be negative")
	}
	c.chat = q
	return nil
}

func (c *call) parseClass(r *http.Request, b *bundle.Bundle) *callError {
	c.class = r.Header.Get(api.HeaderClass)
	if c.class == "" {
		c.class = b.Pools[c.pool].DefaultClass
	}
	policy, ok := b.Classes[c.class]
	if !ok {
		return notRun(http.StatusBadRequest, api.ErrorUnknownClass, fmt.Sprintf("the bundle in force declares no class %q", c.class))
	}
	c.policy = policy
	return nil
}

func (c *call) parseDeadline(r *http.Request) *callError {
	c.deadline = c.arrived.Add(c.policy.Deadline.D())
	text := r.Header.Get(api.HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > maxCallDeadline.Milliseconds() {
		return notRun(http.StatusBadRequest, api.ErrorInvalidRequest, api.HeaderDeadline+" must be milliseconds from now, at most 3600000")
	}
	if ms <= 0 {
		return notRun(http.StatusRequestTimeout, api.ErrorDeadlineExpired, "the deadline has passed already")
	}
	c.deadline = c.arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// parseKey reads the idempotency key. A durable idempotent call without one gets its
// request ID as key.
func (c *call) parseKey(r *http.Request) *callError {
	text := r.Header.Get(api.HeaderIdempotencyKey)
	if text == "" && c.policy.Idempotent {
		text = c.id
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return notRun(http.StatusBadRequest, api.ErrorIdempotencyKey, fmt.Sprintf("class %q needs the header %s with a UUID of version 7", c.class, api.HeaderIdempotencyKey))
	}
	sec, nsec := id.Time().UnixTime()
	c.key = &state.CallKey{Customer: c.customer, Pool: c.pool, Key: id.String(), Millis: time.Unix(sec, nsec).UnixMilli()}
	c.callID = c.id
	sum := sha256.Sum256(append([]byte(c.method+" "+c.path+"\n"), c.body...))
	c.digest = hex.EncodeToString(sum[:16])
	if c.policy.Durable && len(c.body) > state.MaxStoredRequest {
		return notRun(http.StatusRequestEntityTooLarge, api.ErrorBodyTooLarge, fmt.Sprintf("the body of a durable call is limited to %d bytes", state.MaxStoredRequest))
	}
	return nil
}

// engineBody returns the chat request for an engine: always streaming, with the output
// limited, and continued after the text that was generated before.
func (c *call) engineBody(partial string, generated int) ([]byte, error) {
	q := c.chat
	f := make(map[string]json.RawMessage, len(q.fields)+2)
	for k, v := range q.fields {
		f[k] = v
	}
	f["stream"] = json.RawMessage("true")
	limit := q.maxTokens
	if most := c.policy.MaxOutputTokens; most > 0 && (limit == 0 || limit > most) {
		limit = most
	}
	if limit > 0 {
		f["max_tokens"] = json.RawMessage(strconv.Itoa(max(1, limit-generated)))
	}
	if partial != "" {
		last, err := json.Marshal(map[string]string{"role": "assistant", "content": partial})
		if err != nil {
			return nil, err
		}
		if f["messages"], err = json.Marshal(append(append([]json.RawMessage(nil), q.messages...), last)); err != nil {
			return nil, err
		}
		f["continue_final_message"] = json.RawMessage("true")
	}
	return json.Marshal(f)
}
