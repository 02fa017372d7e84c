package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/upstream"
)

// maxAnswer bounds a plain answer's body.
const maxAnswer = 8 << 20

// pass passes a server's answer on, or says why there is none to pass on.
func (c *call) pass(ctx context.Context, s fleet.Server, resp *upstream.Response) verdict {
	if resp.Answer.WrongServer || resp.Answer.NotRun {
		return c.noteRefusal(s, resp)
	}
	c.runs++
	success := resp.Status >= 200 && resp.Status < 300
	if success && (!resp.Answer.Signed || resp.Answer.CallID != c.said.ID || resp.Header.Get("Content-Encoding") != "") {
		c.last = &upstream.Error{Sent: true, Step: "check answer", Server: s.ID, Err: errors.New("the answer is not this call's")}
		c.router.bad(s.ID, false)
		return failed
	}
	if success && c.route.Semantics == routing.Stream {
		return c.passStream(ctx, s, resp)
	}
	return c.passWhole(ctx, s, resp)
}

func (c *call) noteRefusal(s fleet.Server, resp *upstream.Response) verdict {
	c.refusals++
	c.last = &upstream.Error{Step: "offer", Server: s.ID, Err: errRefused}
	_, _ = io.Copy(io.Discard, resp.Body) // only to keep the connection; a broken one is closed
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if resp.Answer.WrongServer {
		r.balancer.RecordFailure(now, s.ID, true)
		return notRun
	}
	r.balancer.RecordFull(now, s.ID)
	return notRun
}

var errRefused = errors.New("the server did not run the call")

// countRun counts the attempt for its customer, as a run that began some time ago.
func (c *call) countRun(ago time.Duration) {
	if c.customer != nil {
		c.router.opt.Usage.Began(c.customer.Name, ago)
	}
}

// passWhole passes a whole answer on, once all of it is there.
func (c *call) passWhole(ctx context.Context, s fleet.Server, resp *upstream.Response) verdict {
	if c.route.Semantics != routing.Stream {
		c.countRun(time.Since(c.began))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		c.last = &upstream.Error{Sent: true, Reached: true, Step: "read answer", Server: s.ID, Err: err}
		c.noteBroken(ctx, s, c.last)
		if time.Now().Before(c.until) && c.req.Context().Err() == nil {
			c.router.bad(s.ID, false)
		}
		return failed
	}
	serverFailed := resp.Status >= http.StatusInternalServerError
	if serverFailed {
		c.router.bad(s.ID, false)
		if c.mayTryAgain(failed) {
			c.paid = true
			return failed
		}
	} else {
		c.router.good(s.ID)
		c.noteSuccess(s)
	}
	if c.stream != nil && c.stream.started {
		return failed
	}
	copyHeader(c.w.Header(), resp.Header)
	c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.w.WriteHeader(resp.Status)
	if _, err := c.w.Write(body); err != nil {
		c.logEnd("caller left during the answer")
	}
	c.logAnswer(s, resp.Status)
	return answered
}
