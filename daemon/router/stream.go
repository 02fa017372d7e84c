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
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/daemon/heldbody"
	"cardamomwick.example/daemon/upstream"
)

// Bounds on a stream.
const (
	// maxEventBytes bounds an event.
	maxEventBytes = 256 << 10
	// maxStreamBytes bounds a stream, or maxTokenBytes for each token that its call allows if
	// that is more.
	maxStreamBytes = 8 << 20
	maxTokenBytes  = 1 << 10
	// An event holds at least one token. Some more events may come without.
	maxEventsPerToken = 2
	maxOtherEvents    = 64
	// maxRecordedGaps bounds the times between events that are kept of a stream.
	maxRecordedGaps = 4096
)

// streamState is what the caller of a stream has received so far, over all attempts.
type streamState struct {
	// started is set once the answer's headers are sent; only events may follow.
	started bool
	lastID  string
	events  int
	bytes   int
	// first and last are the times of the first and the latest event; longestGap is
	// the longest time between two events.
	first, last time.Time
	longestGap  time.Duration
	gaps        []time.Duration
}

// recordEvent records an event and returns the gap before it; ok is false for the
// first event.
func (s *streamState) recordEvent(now time.Time) (gap time.Duration, ok bool) {
	if s.events == 0 {
		s.first = now
	} else {
		gap, ok = now.Sub(s.last), true
		s.longestGap = max(s.longestGap, gap)
		if len(s.gaps) < maxRecordedGaps {
			s.gaps = append(s.gaps, gap)
		}
	}
	s.last = now
	s.events++
	return gap, ok
}

// recordStream reports a complete stream to the balancer.
func (r *Router) recordStream(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordStream(time.Now(), &c.ticket, c.stream.gaps)
}

// recordGap reports the gap between two events of a running stream to the balancer.
func (r *Router) recordGap(c *call, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordEventInterval(&c.ticket, gap)
}

// forwardStream forwards complete events as they arrive. If the server breaks off, the
// caller has everything up to lastID, from where another server may resume.
func (c *call) forwardStream(ctx context.Context, s fleet.Server, resp *upstream.Response) attemptResult {
	if c.stream == nil {
		c.stream = &streamState{lastID: c.info.LastEventID}
	}
	bound := c.origin.Load() != nil
	events := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	holding := membudget.Holding{Pool: c.router.opt.AnswerMemory}
	defer holding.Release()
	for first := true; ; first = false {
		event, err := readEvent(events, &holding)
		if first {
			c.router.recordFirstEvent(c)
			if err == nil {
				c.countRun(0)
			}
			if err == nil && bound {
				err = c.confirmStart(ctx, s)
			}
			if err == nil {
				c.logResumption(s)
			}
		}
		if err == io.EOF {
			return c.endStream(s, resp)
		}
		if err == nil {
			err = c.forwardEvent(s, resp, event)
			holding.Release()
		}
		if errors.Is(err, errCallerLeft) {
			return callerGone
		}
		if err != nil {
			c.last = &upstream.Error{MayHaveRun: true, Reached: true, Step: "read stream", Server: s.ID, Err: err}
			c.countFailure(c.last)
			c.reportBroken(ctx, s, c.last)
			if !first && errors.Is(context.Cause(ctx), errServerRestarted) {
				c.checkOrigin(s.Start())
			}
			if ctx.Err() == nil {
				c.router.recordFailure(s.ID, false)
			}
			return failed
		}
	}
}

const eventBufferBytes = 4 << 10

func (c *call) endStream(s fleet.Server, resp *upstream.Response) attemptResult {
	c.runOver = true
	if !c.stream.started {
		c.startStream(resp.Status, resp.Header)
	}
	c.router.recordSuccess(s.ID)
	c.reportSuccess(s)
	c.router.recordStream(c)
	c.logAnswer(s, resp.Status)
	return answered
}

func (c *call) startStream(status int, header http.Header) {
	copyHeader(c.w.Header(), header)
	c.w.WriteHeader(status)
	c.stream.started = true
}

// exceeds reports whether the stream is longer than a call that allows this number of output tokens,
// 0 if it names none, can have.
func (s *streamState) exceeds(maxOutput int) bool {
	return s.bytes > max(maxStreamBytes, maxOutput*maxTokenBytes) || maxOutput > 0 && s.events > maxEventsPerToken*maxOutput+maxOtherEvents
}

var (
	errCallerLeft    = errors.New("the caller has left")
	errEventSequence = errors.New("an event is missing or comes twice")
	errEventTooLong  = errors.New("an event is too long")
	errStreamTooLong = errors.New("the stream is longer than its call allows")
)

func (c *call) forwardEvent(s fleet.Server, resp *upstream.Response, event []byte) error {
	id := eventID(event)
	if id != "" {
		if !isNextEvent(c.stream.lastID, id, c.stream.events) {
			return errEventSequence
		}
		c.stream.lastID = id
	}
	c.bindTo(s)
	c.recordEventForProof(s)
	if !c.stream.started {
		c.startStream(resp.Status, resp.Header)
	}
	if gap, ok := c.stream.recordEvent(time.Now()); ok && c.size.Tokens >= balance.LongPromptTokens {
		c.router.recordGap(c, gap)
	}
	c.router.paths.responded(c.pool.Name)
	c.watchdog.reset(c.route.TargetGap)
	if c.stream.bytes += len(event); c.stream.exceeds(c.info.Prompt.MaxOutput) {
		return errStreamTooLong
	}
	if _, err := c.w.Write(event); err != nil {
		return errCallerLeft
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// isNextEvent reports whether the event ID follows the last one. IDs that are not
// decimal numbers are not checked.
func isNextEvent(last, id string, events int) bool {
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

// readEvent returns the bytes of one event, including the empty line that ends it, maxEventBytes at
// most and as long as there is memory to hold it. It returns io.EOF only if the stream ended between
// two events.
func readEvent(r *bufio.Reader, h *membudget.Holding) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
		if len(event) > heldbody.FreeBytes && !h.GrowTo(int64(cap(event))) {
			return nil, upstream.ErrAnswerMemory
		}
		if err == bufio.ErrBufferFull {
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

// eventID returns the value of an event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
