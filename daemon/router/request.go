package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/httpresponse"
	core "cardamomwick.example/core/quarantine"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/upstream"
)

// request builds the request to the server: the caller's body and end-to-end headers,
// with the headers that only the system may set replaced.
func (c *call) request(s fleet.Server) *upstream.Request {
	h := endToEndHeaders(c.req.Header)
	c.router.opt.Protocol.StripReserved(h)
	headers := upstream.CallHeaders{TimeLeft: time.Until(c.deadline), ServerName: s.StableName(), LastEventID: c.info.LastEventID}
	if c.customer != nil {
		headers.Customer = c.customer.Name
	}
	if c.pool.Engine != nil {
		priority := c.priority()
		headers.Priority = &priority
	}
	if c.stream != nil && c.stream.lastID != "" {
		headers.LastEventID = c.stream.lastID
	}
	c.router.opt.Protocol.SetCallHeaders(h, headers)
	hasBody := len(c.body) > 0 || c.req.Method == http.MethodPost || c.req.Method == http.MethodPut
	return &upstream.Request{CallID: c.info.ID, Method: c.req.Method, URI: requestURI(c.req), Host: c.req.Host,
		Header: h, Body: c.body, HasBody: hasBody}
}

// requestURI returns path and query as the caller sent them.
func requestURI(req *http.Request) string {
	if req.URL.Host == "" {
		return req.RequestURI
	}
	return req.URL.RequestURI() // RequestURI is in absolute form and includes the host
}

// digest identifies the request for the quarantine. It is computed on first use, since
// most refused calls don't need it.
func (c *call) digest() core.Digest {
	if c.identity == nil {
		r := core.Request{Method: c.req.Method, Host: c.req.Host, URI: requestURI(c.req), Body: c.body}
		if c.customer != nil {
			r.Customer = c.customer.Name
		}
		d := r.Digest()
		c.identity = &d
	}
	return *c.identity
}

// reportBroken reports a run that the server broke off to the quarantine. Runs that this
// instance or the caller ended are no evidence about the server.
func (c *call) reportBroken(ctx context.Context, s fleet.Server, e *upstream.Error) {
	startedAgain := errors.Is(context.Cause(ctx), errServerRestarted)
	if e.MayHaveRun && (startedAgain || ctx.Err() == nil && isConnectionError(e)) {
		run := c.run(s)
		run.Reached = e.Reached
		c.runBroke = true
		c.router.opt.Quarantine.RecordBroken(run, c.digest())
	}
}

// reportSuccess reports an answered run to the quarantine.
func (c *call) reportSuccess(s fleet.Server) {
	c.router.opt.Quarantine.RecordSuccess(c.run(s), c.digest())
	c.reportAnswerBegun(s)
}

// answerProofTime is how long a server must go on with an answer to show that no part of its
// prompt crashes it. Servers crash when they begin to write.
const answerProofTime = 300 * time.Millisecond

// reportAnswerBegun reports an answer to the quarantine that shows that no part of its prompt
// crashes the server.
func (c *call) reportAnswerBegun(s fleet.Server) {
	if c.answerProven || c.answerBegan.IsZero() {
		return
	}
	run := c.run(s)
	c.answerProven = true
	c.router.opt.Quarantine.RecordAnswerBegun(run)
}

// recordEventForProof notes the first event of an attempt, and reports the answer once the server
// has gone on with it for long enough.
func (c *call) recordEventForProof(s fleet.Server) {
	switch now := time.Now(); {
	case c.answerBegan.IsZero():
		c.answerBegan = now
	case now.Sub(c.answerBegan) >= answerProofTime:
		c.reportAnswerBegun(s)
	}
}

// recordSurvival reports an attempt to the quarantine that ended without an answer while its server
// lived on. What broke off at once may never have reached the server's process.
func (c *call) recordSurvival(result attemptResult) {
	if result == notRun || c.runBroke || !c.answerBegan.IsZero() {
		return
	}
	if c.serverFailed || result != answered && time.Since(c.attemptStart) >= answerProofTime {
		c.router.opt.Quarantine.RecordSurvival(c.digest(), c.prompt())
	}
}

// run describes the call's last attempt to the quarantine.
func (c *call) run(s fleet.Server) quarantine.Run {
	r := quarantine.Run{Server: s.ID, Address: s.Address, Began: c.attemptStart, AnswerBegan: c.answerBegan}
	if !c.answerProven {
		r.Prompt = c.prompt()
	}
	return r
}

// prompt returns what the call's prompt shares with other calls, nil if it shares nothing.
func (c *call) prompt() *quarantine.Prompt {
	shared := c.info.Prompt.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	if c.sharedPrompt == nil {
		var customer string
		if c.customer != nil {
			customer = c.customer.Name
		}
		var parts []string
		for _, part := range shared {
			parts = append(parts, part.ID)
		}
		c.sharedPrompt = quarantine.NewPrompt(c.pool.Name, customer, parts)
	}
	return c.sharedPrompt
}

// refuseQuarantined sends the final answer if the request or a part of its prompt is in
// quarantine, and reports whether it is.
func (c *call) refuseQuarantined() bool {
	if c.isTrial && len(c.tried) == 0 {
		return false
	}
	hold, held := c.router.opt.Quarantine.Held(c.digest, c.prompt())
	c.isTrial = hold.Trial
	if held {
		c.heldPart, c.retryAfter = hold.Part, hold.Left
		c.giveUp(hold.Message())
	}
	return held
}

// isConnectionError reports whether an attempt failed because its connection broke, or can't be used
// any more after a malformed answer, and not because of an answer that is unusable for this call.
func isConnectionError(err error) bool {
	var malformed *httpresponse.Error
	if errors.As(err, &malformed) {
		return true
	}
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}
