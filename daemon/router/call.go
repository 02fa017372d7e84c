package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/upstream"
)

// Limits of one call's attempts.
const (
	// maxRefusals bounds the servers that are asked in vain by one call, where
	// each has certainly not run it.
	maxRefusals = 4
	// refusalPause is when a caller may come back after a refusal for want of
	// room, and its spread, so that not all come back at once.
	refusalPause  = 400 * time.Millisecond
	refusalSpread = 600 * time.Millisecond
	// leastTime is the least time left that a second attempt is worth.
	leastTime = 30 * time.Millisecond
	// mostPause and pauseShare (of the target) bound the wait before a second
	// attempt: two exchanges of load counts, and never much of the target.
	mostPause  = 200 * time.Millisecond
	pauseShare = 0.15
	// maxAnswer bounds a plain answer's body.
	maxAnswer = 8 << 20
)

// call is one attempt of a caller, from its arrival to its final answer.
type call struct {
	router   *Router
	w        http.ResponseWriter
	req      *http.Request
	arrived  time.Time
	said     upstream.Call
	body     []byte
	route    *routing.Route
	customer *routing.Customer
	pool     *routing.Pool
	// version is that of the declaration that decided.
	version uint64
	until   time.Time
	// size is what placement knows of the call, the same for all attempts.
	size balance.Call

	// runs counts the attempts that may have run, refusals those that certainly
	// have not.
	runs     int
	refusals int
	tried    []string
	ticket   balance.Ticket
	choice   balance.Choice
	dog      *watchdog
	// forecast is what was expected of the call when it came.
	forecast balance.Forecast
	// comeBack is when the caller may come back after a refusal; zero for the
	// usual pause.
	comeBack time.Duration
	// paid: the next attempt is already taken from the retry budget.
	paid   bool
	stream *stream
	last   *upstream.Error
	// began is when the last attempt began.
	began time.Time
	// identity is the request's digest; nil until it is asked for.
	identity *quarantine.Digest
}

// verdict tells how an attempt ended.
type verdict uint8

const (
	// answered: the caller has its final answer.
	answered verdict = iota
	// notRun: the server certainly has not run the call.
	notRun
	// failed: the call may have run and there is no answer to pass on.
	failed
	// gone: the caller has left.
	gone
)

func (c *call) serve() {
	c.until = c.arrived.Add(c.route.Timeout)
	if c.said.Patience > 0 {
		c.until = minTime(c.until, c.arrived.Add(c.said.Patience))
	}
	ctx, cancel := context.WithDeadline(c.req.Context(), c.until)
	defer cancel()
	// A call is forgotten with its final answer: without this, the repeats of one that
	// ends its servers end one after the other, with the calls of everybody else there.
	if c.keptBack() {
		return
	}
	c.size = c.placement()
	c.router.arrive(c)
	if !c.admitted() {
		c.giveUp("can't be answered in time")
		return
	}
	for {
		server, ok := c.router.choose(c)
		if !ok {
			c.giveUp("no backend server")
			return
		}
		v := c.attempt(ctx, server.Server)
		if v == answered {
			return
		}
		if c.req.Context().Err() != nil {
			c.logCallerLeft(server.Server)
			panic(http.ErrAbortHandler)
		}
		if !c.mayTryAgain(v) {
			c.giveUp("attempts used up")
			return
		}
		if v == failed && !c.pause(ctx) {
			c.giveUp("time is over")
			return
		}
		// The servers that ended under the attempts before count too.
		if c.keptBack() {
			return
		}
	}
}

// pause waits a little before a second attempt. When a server dies, all its
// calls come back at once, and every instance would place them by the same
// counts.
func (c *call) pause(ctx context.Context) bool {
	most := min(mostPause, time.Duration(pauseShare*float64(c.route.TargetLatency)))
	select {
	case <-time.After(time.Duration(rand.Float64() * float64(most))):
		return true
	case <-ctx.Done():
		return false
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// placement returns what placement needs to know of the call.
func (c *call) placement() balance.Call {
	p := &c.said.Prompt
	out := balance.Call{Tokens: p.Tokens, Unshared: p.Tokens, MaxOutput: p.MaxOutput, Target: c.route.TargetLatency, Gap: c.route.TargetGap, Tier: c.route.Tier}
	if n := len(p.Parts); n > 0 {
		out.Unshared = p.Parts[n-1].Tokens
		if n > 1 {
			out.Home = p.Parts[n-2].ID
			for _, part := range p.Parts[:n-1] {
				out.Chain = append(out.Chain, balance.Part{ID: part.ID, Tokens: part.Tokens})
			}
		}
	}
	return out
}

func (r *Router) arrive(c *call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Arrive(now, c.pool.Name, c.size)
	r.budget(c.pool.Name).Call(now)
}

// choose returns the server for the call's next attempt and accounts for it.
func (r *Router) choose(c *call) (balance.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tried := func(id string) bool { return slices.Contains(c.tried, id) }
	now := time.Now()
	s, ok := r.balancer.Choose(now, c.pool.Name, c.size, tried, rand.Float64)
	if ok {
		c.ticket = r.balancer.Start(now, s.ID, c.size)
		c.choice = s
	}
	return s, ok
}

// attempt sends the call to one server and passes its answer on.
func (c *call) attempt(ctx context.Context, s fleet.Server) verdict {
	c.tried = append(c.tried, s.ID)
	defer c.router.end(c)
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer c.router.attempts.add(s.ID, end)()
	c.began = time.Now()
	c.dog = c.watch(func() { end(nil) })
	v := c.send(ctx, s)
	if c.dog.stop() && v == failed {
		c.paid = true
	}
	return v
}

// send sends the call and passes the answer on.
func (c *call) send(ctx context.Context, s fleet.Server) verdict {
	target := upstream.Target{ID: s.ID, Address: s.Address, MaxConnections: c.router.share(c.pool.MaxConnections)}
	resp, err := c.router.upstream.Send(ctx, target, c.request(s))
	if err != nil {
		return c.noteError(ctx, s, err)
	}
	defer resp.Close()
	return c.pass(ctx, s, resp)
}

// share is this instance's part of the connections that one server takes.
func (r *Router) share(all int) int {
	if all == 0 {
		return 0
	}
	return max(1, all/max(1, r.opt.Entries()))
}

func (r *Router) end(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(c.ticket)
}

// began notes that the server has read the call's prompt.
func (r *Router) began(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Began(time.Now(), &c.ticket)
}

// request builds what the server gets: the caller's bytes and headers, less
// what concerns one connection or is the system's to set.
func (c *call) request(s fleet.Server) *upstream.Request {
	h := endToEnd(c.req.Header)
	c.router.opt.Protocol.Strip(h)
	stamp := upstream.Stamp{TimeLeft: time.Until(c.until), ServerName: s.OwnName(), After: c.said.After}
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

func (c *call) noteError(ctx context.Context, s fleet.Server, err error) verdict {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Sent: true, Step: "send", Server: s.ID, Err: err}
	}
	c.last = e
	c.noteBroken(ctx, s, e)
	callerLeft := c.req.Context().Err() != nil
	inTime := time.Now().Before(c.until)
	if !errors.Is(e.Err, upstream.ErrConnections) && !callerLeft && inTime {
		c.router.bad(s.ID, !c.dog.hasFired())
	}
	if e.Sent {
		c.runs++
		return failed
	}
	c.refusals++
	return notRun
}

func (r *Router) bad(id string, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Bad(time.Now(), id, unreachable)
}

func (r *Router) good(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Good(time.Now(), id)
}

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
		r.balancer.Bad(now, s.ID, true)
		return notRun
	}
	r.balancer.Full(now, s.ID)
	return notRun
}

var errRefused = errors.New("the server did not run the call")

// passWhole passes a whole answer on, once all of it is there.
func (c *call) passWhole(ctx context.Context, s fleet.Server, resp *upstream.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		c.last = &upstream.Error{Sent: true, Step: "read answer", Server: s.ID, Err: err}
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

// mayTryAgain reports whether another attempt is allowed and worth it.
func (c *call) mayTryAgain(v verdict) bool {
	if time.Until(c.until) < leastTime {
		return false
	}
	switch v {
	case notRun:
		if c.refusals >= maxRefusals {
			return false
		}
		if c.last != nil && c.last.Step == "connect" {
			return true // nothing arrived there
		}
	case failed:
		if !c.route.Repeatable() || c.runs >= c.route.MaxAttempts {
			return false
		}
	default:
		return false
	}
	if c.paid {
		c.paid = false
		return true
	}
	return c.router.takeRepeat(c.pool.Name)
}

func (r *Router) takeRepeat(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(pool).Take(time.Now(), r.opt.Entries())
}

// giveUp gives the final answer of a call that has none from a server.
func (c *call) giveUp(reason string) {
	if c.stream != nil && c.stream.started {
		c.logFailure(0, "stream broken: "+reason)
		panic(http.ErrAbortHandler) // the stream must not look complete
	}
	switch {
	case c.runs == 0:
		if c.comeBack == 0 {
			c.comeBack = refusalPause + time.Duration(rand.Float64()*float64(refusalSpread))
		}
		c.refuse(http.StatusServiceUnavailable, reason, c.comeBack)
	case !time.Now().Before(c.until):
		c.refuse(http.StatusGatewayTimeout, "time is over", 0)
	default:
		c.refuse(http.StatusBadGateway, "the server's answer is lost", 0)
	}
}

// refuse answers the call with a failure of this system's own.
func (c *call) refuse(status int, reason string, after time.Duration) {
	if after > 0 {
		c.router.opt.Protocol.SetRetryAfter(c.w.Header(), after)
	}
	c.logFailure(status, reason)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	_, err := io.WriteString(c.w, `{"error":"`+reason+`"}`+"\n")
	if err != nil {
		c.logEnd("caller left during the answer")
	}
}
