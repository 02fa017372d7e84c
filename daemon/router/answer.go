package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/heldbody"
	"cardamomwick.example/daemon/upstream"
)

// Bounds on the body of an answer that is not a stream.
const (
	maxAnswerBytes = 8 << 20
	// maxHeldBytes is the part of it that is held in memory, if there is as much for answers: a longer
	// answer is sent on part by part.
	maxHeldBytes = 256 << 10
	// copyBytes is the size of the parts.
	copyBytes = 8 << 10
)

var errAnswerTooLarge = errors.New("the answer is too large")

// forward sends a server's answer to the caller, or reports why it can't be used.
func (c *call) forward(ctx context.Context, s fleet.Server, resp *upstream.Response) attemptResult {
	if resp.Answer.WrongServer || resp.Answer.NotRun {
		return c.recordRefusal(s, resp)
	}
	c.runs++
	success := resp.Status >= 200 && resp.Status < 300
	if success && (!resp.Answer.Signed || resp.Answer.CallID != c.info.ID || resp.Header.Get("Content-Encoding") != "") {
		c.last = &upstream.Error{MayHaveRun: true, Step: "check answer", Server: s.ID, Err: errors.New("the answer is not this call's")}
		c.router.recordFailure(s.ID, false)
		return failed
	}
	if success && c.route.Semantics == routing.Stream {
		return c.forwardStream(ctx, s, resp)
	}
	return c.forwardComplete(ctx, s, resp)
}

func (c *call) recordRefusal(s fleet.Server, resp *upstream.Response) attemptResult {
	c.runOver = true
	c.refusals++
	c.rejected = true
	c.last = &upstream.Error{Step: "offer", Server: s.ID, Err: errRefused}
	resp.Drain()
	r := c.router.recordRefusal(s.ID, resp)
	if r.brittle {
		c.router.opt.TellRejection(r.owners, s.ID, r.shownRoom)
		c.logEntry().WithFields(log.Fields{"step": "offer", "server": s.ID, "pool": c.pool.Name, "slots": r.expected.Slots, "owned": r.expected.Owned, "own_running": r.expected.Own,
			"all_running": r.expected.All, "server_calls": r.calls, "abandoned": r.expected.Abandoned, "rejections": r.expected.Rejections,
			"owners": r.expected.Owners, "unheard": r.expected.Unheard}).Warn("brittle server had no room for the call")
		c.router.opt.Metrics.BrittleRejection(c.pool.Name)
	}
	return notRun
}

// refusal is what a refusal by a server has shown.
type refusal struct {
	// brittle is set if the server is brittle and had no room, expected what this instance knew of
	// its room, the call itself included.
	brittle  bool
	expected balance.RoomState
	// calls is the number of calls that the server says to have, unknownCalls if it does not.
	calls int
	// owners are the other owners of the server's slots, which get a message, and shownRoom the room
	// that the refusal shows, 0 for none.
	shownRoom int
	owners    []string
}

// recordRefusal records that a server did not run a call.
func (r *Router) recordRefusal(id string, resp *upstream.Response) (out refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case resp.Answer.WrongServer:
		r.balancer.RecordFailure(now, id, true)
		return out
	case resp.Status != http.StatusServiceUnavailable:
		r.balancer.RecordBusy(now, id)
		return out
	}
	out.expected, out.brittle = r.balancer.RoomState(now, id)
	out.calls = unknownCalls
	if l := resp.Answer.Load; l != nil {
		out.calls = l.Running + l.Waiting
	}
	out.shownRoom = r.balancer.RecordFull(now, id, out.calls)
	if out.brittle {
		out.owners = r.balancer.OtherSlotOwners(id)
	}
	return out
}

// unknownCalls is passed to the balancer if a server does not say how many calls it has.
const unknownCalls = -1

var errRefused = errors.New("the server did not run the call")

// countRun counts the attempt in its customer's usage, as a run that began the given time ago.
func (c *call) countRun(ago time.Duration) {
	if c.customer != nil {
		c.router.opt.Usage.Began(c.customer.Name, ago)
	}
}

// forwardComplete reads the answer and sends it to the caller: a short one once it is whole, a long
// one part by part.
func (c *call) forwardComplete(ctx context.Context, s fleet.Server, resp *upstream.Response) attemptResult {
	if c.route.Semantics != routing.Stream {
		c.countRun(time.Since(c.attemptStart))
	}
	holding := membudget.Holding{Pool: c.router.opt.AnswerMemory}
	defer holding.Release()
	begin, whole, err := readBegin(resp, &holding)
	if err != nil {
		return c.recordBrokenAnswer(ctx, s, err)
	}
	c.runOver = whole
	serverFailed := resp.Status >= http.StatusInternalServerError
	if serverFailed {
		c.serverFailed = true
		c.router.recordFailure(s.ID, false)
		if c.mayRetry(failed) {
			c.retryReserved = true
			return failed
		}
	} else if resp.Status < http.StatusMultipleChoices {
		c.answerBegan = time.Now()
	}
	if whole && !serverFailed {
		c.recordWholeAnswer(s)
	}
	if c.stream != nil && c.stream.started {
		return failed
	}
	if whole {
		c.sendComplete(resp.Status, resp.Header, begin)
	} else if err := c.sendLong(resp, begin, &holding); err != nil {
		return c.recordBrokenAnswer(ctx, s, err)
	} else {
		c.runOver = true
		if !serverFailed {
			c.recordWholeAnswer(s)
		}
	}
	c.logAnswer(s, resp.Status)
	return answered
}

// recordWholeAnswer records an answer that is no failure.
func (c *call) recordWholeAnswer(s fleet.Server) {
	c.router.recordSuccess(s.ID)
	c.reportSuccess(s)
}

// recordBrokenAnswer records an answer whose body could not be read to its end.
func (c *call) recordBrokenAnswer(ctx context.Context, s fleet.Server, err error) attemptResult {
	if errors.Is(err, errCallerLeft) {
		return callerGone
	}
	c.last = &upstream.Error{MayHaveRun: true, Reached: true, Step: "read answer", Server: s.ID, Err: err}
	c.countFailure(c.last)
	c.reportBroken(ctx, s, c.last)
	if time.Now().Before(c.deadline) && c.req.Context().Err() == nil {
		c.router.recordFailure(s.ID, false)
	}
	return failed
}

// readBegin reads as much of a body as may be held; whole is set if that is all of it.
func readBegin(resp *upstream.Response, h *membudget.Holding) (begin [][]byte, whole bool, err error) {
	if resp.Length > maxAnswerBytes {
		return nil, false, errAnswerTooLarge
	}
	return heldbody.Read(resp.Body, resp.Length, maxHeldBytes, h)
}

// sendLong sends an answer to the caller that is too long to be held. On an error the caller has a
// part of it, and the connection to the caller must be closed.
func (c *call) sendLong(resp *upstream.Response, begin [][]byte, h *membudget.Holding) error {
	c.beginLong(resp.Status, resp.Header, resp.Length)
	if err := c.writeParts(begin); err != nil {
		return errCallerLeft
	}
	rest := &io.LimitedReader{R: resp.Body, N: int64(maxAnswerBytes - heldbody.Length(begin) + 1)}
	begin = nil
	h.Release()
	part := make([]byte, copyBytes)
	for {
		n, err := rest.Read(part)
		if rest.N <= 0 {
			return errAnswerTooLarge
		}
		if _, err := c.w.Write(part[:n]); err != nil {
			return errCallerLeft
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// beginLong sends the head of an answer whose body follows in parts. length is -1 if it is unknown.
func (c *call) beginLong(status int, header http.Header, length int64) {
	copyHeader(c.w.Header(), header)
	if length >= 0 {
		c.w.Header()["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.w.WriteHeader(status)
	c.begun = true
}

// sendComplete sends a complete answer to the caller.
func (c *call) sendComplete(status int, header http.Header, body [][]byte) {
	copyHeader(c.w.Header(), header)
	c.w.Header()["Content-Length"] = []string{strconv.Itoa(heldbody.Length(body))}
	c.w.WriteHeader(status)
	if err := c.writeParts(body); err != nil {
		c.logInfo("caller left during the answer")
	}
}

// writeParts sends parts of a body to the caller.
func (c *call) writeParts(parts [][]byte) error {
	for _, p := range parts {
		if _, err := c.w.Write(p); err != nil {
			return err
		}
	}
	return nil
}
