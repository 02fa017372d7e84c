package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/upstream"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// stream is what the caller of a stream has got so far.
type stream struct {
	// started: the answer's head has been sent; only more events may follow.
	started bool
	lastID  string
	events  int
	// first is when the first event was passed on, last the latest; longestGap is
	// the longest time between two.
	first, last time.Time
	longestGap  time.Duration
	gaps        []time.Duration
}

// note takes the time of an event and returns the gap before it; ok is false for
// the first one.
func (s *stream) note(now time.Time) (gap time.Duration, ok bool) {
	if s.events == 0 {
		s.first = now
	} else {
		gap, ok = now.Sub(s.last), true
		s.longestGap = max(s.longestGap, gap)
		s.gaps = append(s.gaps, gap)
	}
	s.last = now
	s.events++
	return gap, ok
}

// streamed tells placement of a whole stream.
func (r *Router) streamed(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordStream(time.Now(), &c.ticket, c.stream.gaps)
}

// progress tells placement of a gap in a running stream.
func (r *Router) progress(c *call, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordEventInterval(&c.ticket, gap)
}

// passStream passes whole events on as they come. When the server breaks off,
// what the caller has is complete up to lastID, from where another server may
// go on.
func (c *call) passStream(ctx context.Context, s fleet.Server, resp *upstream.Response) verdict {
	if c.stream == nil {
		c.stream = &stream{lastID: c.said.After}
	}
	events := bufio.NewReaderSize(resp.Body, eventBuffer)
	for first := true; ; first = false {
		event, err := readEvent(events)
		if first {
			c.router.began(c)
			if err == nil {
				c.countRun(0)
			}
		}
		if err == io.EOF {
			return c.endStream(s, resp)
		}
		if err == nil {
			err = c.passEvent(resp, event)
		}
		if errors.Is(err, errCallerLeft) {
			return gone
		}
		if err != nil {
			c.last = &upstream.Error{Sent: true, Reached: true, Step: "read stream", Server: s.ID, Err: err}
			c.noteBroken(ctx, s, c.last)
			if ctx.Err() == nil {
				c.router.bad(s.ID, false)
			}
			return failed
		}
	}
}

const eventBuffer = 4 << 10

func (c *call) endStream(s fleet.Server, resp *upstream.Response) verdict {
	if !c.stream.started {
		c.startStream(resp)
	}
	c.router.good(s.ID)
	c.noteSuccess(s)
	c.router.streamed(c)
	c.logAnswer(s, resp.Status)
	return answered
}

func (c *call) startStream(resp *upstream.Response) {
	copyHeader(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.Status)
	c.stream.started = true
}

var (
	errCallerLeft = errors.New("the caller has left")
	errOrder      = errors.New("an event is missing or comes twice")
)

func (c *call) passEvent(resp *upstream.Response, event []byte) error {
	id := eventID(event)
	if id != "" {
		if !follows(c.stream.lastID, id, c.stream.events) {
			return errOrder
		}
		c.stream.lastID = id
	}
	if !c.stream.started {
		c.startStream(resp)
	}
	if gap, ok := c.stream.note(time.Now()); ok && c.size.Tokens >= balance.LongPromptTokens {
		c.router.progress(c, gap)
	}
	c.dog.event(c.route.TargetGap)
	if _, err := c.w.Write(event); err != nil {
		return errCallerLeft
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// follows reports whether an event's number is the next one. Numbers that are
// not decimal are passed on unchecked.
func follows(last, id string, events int) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return events == 0
	}
	return next == before+1
}

// readEvent returns the bytes of one event with the empty line that ends it.
// io.EOF means that the stream ended properly between two events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < maxEvent {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the value of an event's id field, "" without one.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
