package inbound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/membudget"
)

const (
	// bodyTimeout is the time for a body where the request names none, and for a body that nobody
	// reads.
	bodyTimeout = 10 * time.Second
	// Buffers of bodies begin with up to firstBufferBytes, or firstUndeclaredBytes if the length is not
	// declared, and grow to twice their size.
	firstBufferBytes, firstUndeclaredBytes = 32 << 10, 4 << 10
	// progressBytes is how much of a body must arrive within membudget.StallTime at least.
	progressBytes = 4 << 10
)

// RefusedError means that a request was refused before it was received to its end.
type RefusedError struct {
	// Status is the HTTP status of the answer.
	Status int
	Reason Reason
	// RetryAfter is when the client may come back, 0 if that does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case ReasonBody:
		return "body is too large"
	case ReasonSlow:
		return "body did not arrive in time"
	default:
		return "no memory for the request"
	}
}

// BodyOptions bound the body of a request.
type BodyOptions struct {
	// Max is the largest size in bytes.
	Max int64
	// Deadline is when the body must have arrived; zero for bodyTimeout from now.
	Deadline time.Time
}

// Handler wraps the handler of a listener of the guard.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := fromContext(r.Context()); c != nil && !c.beginRequest(r) {
			w.Header().Set("Connection", "close")
			Respond(w, &RefusedError{Status: http.StatusServiceUnavailable, Reason: ReasonEvicted, RetryAfter: RetryAfter})
			return
		}
		h.ServeHTTP(w, r)
	})
}

// beginRequest notes that a head is complete; ok is false if the client was evicted meanwhile.
func (c *Conn) beginRequest(r *http.Request) (ok bool) {
	c.headDone.Store(true)
	if r.Body == http.NoBody {
		return c.listener.guard.setPhase(c, membudget.Serving)
	}
	// net/http reads a rest of the body that the handler has not read.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed
	return !c.wasEvicted()
}

// Admit takes the memory for serving a call of a tenant, "" for none, until its request ends. Without
// memory ok is false, and the call must be refused. Further calls of Admit for the request only change
// the tenant.
func Admit(r *http.Request, tenant string) (ok bool) {
	c := fromContext(r.Context())
	if c == nil {
		return true
	}
	c.admitted = c.listener.guard.decide(func(b *membudget.Budget) ([]*membudget.Client, bool) {
		b.SetTenant(&c.client, tenant)
		if c.admitted {
			return nil, true
		}
		return b.Grow(time.Now(), &c.client, membudget.Call, callBytes)
	})
	if !c.admitted {
		c.listener.guard.refuse(c.listener.name, ReasonMemory)
	}
	return c.admitted
}

// ReadBody reads the body of a request that came in through a listener of a guard, or from elsewhere.
// The error is a *RefusedError, whose answer closes the connection, or means that the client has left.
func ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if o.Deadline.IsZero() {
		o.Deadline = time.Now().Add(bodyTimeout)
	}
	b := &bodyReader{conn: fromContext(r.Context()), request: r, options: o}
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(o.Deadline) // fails only if the connection is closed
	}
	err := b.read()
	if err == nil {
		return b.data, nil
	}
	w.Header().Set("Connection", "close")
	if b.conn != nil {
		b.conn.releaseRequest()
		_ = b.conn.SetReadDeadline(time.Now()) // so that net/http does not wait for the rest
	}
	return nil, err
}

type bodyReader struct {
	conn    *Conn
	request *http.Request
	options BodyOptions
	data    []byte
	// sinceProgress counts the bytes since progress was last recorded in the budget.
	sinceProgress int
}

func (b *bodyReader) read() error {
	if b.request.ContentLength > b.options.Max || b.exceedsMemory() {
		return b.refuse(http.StatusRequestEntityTooLarge, ReasonBody)
	}
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := b.request.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if int64(len(b.data)) > b.options.Max {
			return b.refuse(http.StatusRequestEntityTooLarge, ReasonBody)
		}
		if err == io.EOF {
			return b.complete()
		}
		if err != nil {
			return b.readError(err)
		}
		b.progress(n)
	}
}

// exceedsMemory reports whether there can never be memory for the declared length, and for the buffer
// of half the size before it.
func (b *bodyReader) exceedsMemory() bool {
	n := b.request.ContentLength
	return b.conn != nil && n+n/2 > b.conn.listener.guard.Limits().LargestRequest()
}

// grow makes the buffer larger, up to the declared length or one byte beyond the limit.
func (b *bodyReader) grow() error {
	first, most := int64(firstUndeclaredBytes), b.options.Max+1
	if b.request.ContentLength >= 0 {
		first, most = firstBufferBytes, b.request.ContentLength
	}
	size := min(most, max(first, 2*int64(cap(b.data))))
	if size <= int64(cap(b.data)) { // the body has its declared length; only its end is missing
		size++
	}
	if b.conn != nil && !b.conn.listener.guard.grow(b.conn, membudget.Body, size) {
		return b.refuse(http.StatusServiceUnavailable, ReasonMemory)
	}
	b.data = append(make([]byte, 0, size), b.data...)
	if b.conn != nil { // the former buffer is free
		b.conn.listener.guard.update(func(x *membudget.Budget) { x.Set(&b.conn.client, membudget.Body, size) })
	}
	return nil
}

func (b *bodyReader) progress(n int) {
	if b.sinceProgress += n; b.conn == nil || b.sinceProgress < progressBytes {
		return
	}
	b.sinceProgress = 0
	b.conn.listener.guard.update(func(x *membudget.Budget) { x.Progress(time.Now(), &b.conn.client) })
}

// complete ends the reception of the request, which can't be evicted any more.
func (b *bodyReader) complete() error {
	if len(b.data) < cap(b.data)/2 {
		b.data = append(make([]byte, 0, len(b.data)), b.data...)
	}
	if b.conn == nil {
		return nil
	}
	kept := false
	b.conn.listener.guard.update(func(x *membudget.Budget) {
		x.Set(&b.conn.client, membudget.Body, int64(cap(b.data)))
		kept = x.SetPhase(time.Now(), &b.conn.client, membudget.Serving)
	})
	if !kept {
		return b.refuse(http.StatusServiceUnavailable, ReasonEvicted)
	}
	return b.conn.SetReadDeadline(time.Time{})
}

func (b *bodyReader) readError(err error) error {
	switch {
	case b.conn != nil && b.conn.wasEvicted():
		return b.refuse(http.StatusServiceUnavailable, ReasonEvicted)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return b.refuse(http.StatusRequestTimeout, ReasonSlow)
	}
	return fmt.Errorf("read body after %d bytes: %w", len(b.data), err)
}

func (b *bodyReader) refuse(status int, r Reason) error {
	e := &RefusedError{Status: status, Reason: r}
	if status == http.StatusServiceUnavailable {
		e.RetryAfter = RetryAfter
	}
	b.data = nil
	if b.conn != nil && r != ReasonEvicted { // evictions are counted where they are decided
		b.conn.listener.guard.refuse(b.conn.listener.name, r)
	}
	return e
}

// Respond answers a request whose body could not be read, where the interface has no form of its own
// for that.
func Respond(w http.ResponseWriter, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		log.WithError(err).WithField("step", "read body").Debug("client has left")
		panic(http.ErrAbortHandler)
	}
	if refused.RetryAfter > 0 {
		w.Header().Set("Retry-After", seconds(refused.RetryAfter))
	}
	http.Error(w, refused.Error(), refused.Status)
}

// seconds formats a duration for Retry-After.
func seconds(d time.Duration) string { return strconv.Itoa(int(d.Seconds())) }
