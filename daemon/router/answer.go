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
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/upstream"
)

// maxAnswerBytes bounds the body of an answer that is not a stream.
const maxAnswerBytes = 8 << 20

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
	c.refusals++
	c.last = &upstream.Error{Step: "offer", Server: s.ID, Err: errRefused}
	_, _ = io.Copy(io.Discard, resp.Body) // drained so that the connection can be reused; on an error it is closed
	if room, brittle := c.router.recordRefusal(s.ID, resp.Answer.WrongServer); brittle {
		c.logEntry().WithFields(log.Fields{"step": "offer", "server": s.ID, "pool": c.pool.Name, "slots": room.Slots, "owned": room.Owned, "own_running": room.Own,
			"all_running": room.All, "owners": room.Owners, "unheard": room.Unheard}).Warn("brittle server had no room for the call")
		c.router.opt.Metrics.BrittleRejection(c.pool.Name)
	}
	return notRun
}

// recordRefusal records that a server did not run a call. If it is brittle and had no room, it
// returns the room that this instance expected, the call itself included.
func (r *Router) recordRefusal(id string, wrongServer bool) (expected balance.RoomState, brittle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if wrongServer {
		r.balancer.RecordFailure(now, id, true)
		return expected, false
	}
	expected, brittle = r.balancer.RoomState(now, id)
	r.balancer.RecordFull(now, id)
	return expected, brittle
}

var errRefused = errors.New("the server did not run the call")

// countRun counts the attempt in its customer's usage, as a run that began the given time ago.
func (c *call) countRun(ago time.Duration) {
	if c.customer != nil {
		c.router.opt.Usage.Began(c.customer.Name, ago)
	}
}

// forwardComplete reads the whole answer and then sends it to the caller.
func (c *call) forwardComplete(ctx context.Context, s fleet.Server, resp *upstream.Response) attemptResult {
	if c.route.Semantics != routing.Stream {
		c.countRun(time.Since(c.attemptStart))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		c.last = &upstream.Error{MayHaveRun: true, Reached: true, Step: "read answer", Server: s.ID, Err: err}
		c.reportBroken(ctx, s, c.last)
		if time.Now().Before(c.deadline) && c.req.Context().Err() == nil {
			c.router.recordFailure(s.ID, false)
		}
		return failed
	}
	serverFailed := resp.Status >= http.StatusInternalServerError
	if serverFailed {
		c.serverFailed = true
		c.router.recordFailure(s.ID, false)
		if c.mayRetry(failed) {
			c.retryReserved = true
			return failed
		}
	} else {
		c.router.recordSuccess(s.ID)
		if resp.Status < http.StatusMultipleChoices {
			c.answerBegan = time.Now()
		}
		c.reportSuccess(s)
	}
	if c.stream != nil && c.stream.started {
		return failed
	}
	c.sendComplete(resp.Status, resp.Header, body)
	c.logAnswer(s, resp.Status)
	return answered
}

// sendComplete sends a complete answer to the caller.
func (c *call) sendComplete(status int, header http.Header, body []byte) {
	copyHeader(c.w.Header(), header)
	c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.logInfo("caller left during the answer")
	}
}
