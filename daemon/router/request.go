package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	keeper "cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/upstream"
)

// request builds what the server gets: the caller's bytes and headers, less
// what concerns one connection or is the system's to set.
func (c *call) request(s fleet.Server) *upstream.Request {
	h := endToEnd(c.req.Header)
	c.router.opt.Protocol.Strip(h)
	stamp := upstream.Stamp{TimeLeft: time.Until(c.until), ServerName: s.StableName(), After: c.said.After}
	if c.customer != nil {
		stamp.Customer = c.customer.Name
	}
	if c.pool.Engine != nil {
		urgency := c.urgency()
		stamp.Priority = &urgency
	}
	if c.stream != nil && c.stream.lastID != "" {
		stamp.After = c.stream.lastID
	}
	c.router.opt.Protocol.Stamp(h, stamp)
	hasBody := len(c.body) > 0 || c.req.Method == http.MethodPost || c.req.Method == http.MethodPut
	return &upstream.Request{CallID: c.said.ID, Method: c.req.Method, URI: requestURI(c.req), Host: c.req.Host,
		Header: h, Body: c.body, HasBody: hasBody}
}

// requestURI returns path and query as they came.
func requestURI(req *http.Request) string {
	if req.URL.Host == "" {
		return req.RequestURI
	}
	return req.URL.RequestURI() // the absolute form names the host as well
}

// digest identifies the request. It is made when it is first asked for: calls that are
// refused don't need it.
func (c *call) digest() quarantine.Digest {
	if c.identity == nil {
		r := quarantine.Request{Method: c.req.Method, Host: c.req.Host, URI: requestURI(c.req), Body: c.body}
		if c.customer != nil {
			r.Customer = c.customer.Name
		}
		d := r.Digest()
		c.identity = &d
	}
	return *c.identity
}

// noteBroken tells the quarantine of a run that the server broke off. Runs that this
// instance or the caller ended say nothing of the server.
func (c *call) noteBroken(ctx context.Context, s fleet.Server, e *upstream.Error) {
	startedAgain := errors.Is(context.Cause(ctx), errStartedAgain)
	if e.Sent && (startedAgain || ctx.Err() == nil && connectionBroke(e)) {
		run := c.run(s)
		run.Reached = e.Reached
		c.router.opt.Quarantine.RecordBroken(run, c.digest())
	}
}

// noteSuccess tells the quarantine that a server has answered.
func (c *call) noteSuccess(s fleet.Server) {
	c.router.opt.Quarantine.RecordSuccess(c.run(s), c.digest())
}

// run is the call's last attempt.
func (c *call) run(s fleet.Server) keeper.Run {
	return keeper.Run{Server: s.ID, Address: s.Address, Began: c.began}
}

// keptBack gives the final answer of a request in quarantine, and reports whether it
// is there.
func (c *call) keptBack() bool {
	left, held := c.router.opt.Quarantine.Held(c.digest)
	if held {
		c.comeBack = left
		c.giveUp(keeper.HeldMessage)
	}
	return held
}

// connectionBroke reports whether an attempt ended with its connection, and not by
// an answer that can't be passed on.
func connectionBroke(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}
