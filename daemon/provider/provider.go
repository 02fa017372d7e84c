// Package provider calls whoever provides the machines, on behalf of the holders of
// duties.
package provider

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/usage"
	"cardamomwick.example/daemon/duties"
)

// Protocol is how a provider is spoken to. An adapter provides it.
type Protocol interface {
	// UsageReport is the call that reports a window.
	UsageReport(call Call, r usage.Record) (*http.Request, error)
	// ServerOrder is the call that orders backend servers.
	ServerOrder(call Call, o capacity.Order) (*http.Request, error)
	// Duties reads which duties the provider gives, by its own words for them.
	Duties(words []string) Duties
}

// Duties says what a provider asks for and takes.
type Duties struct{ Usage, Servers bool }

// Call is what all calls to the provider have.
type Call struct {
	Address string
	// Holder is the instance that holds the duty.
	Holder string
	Fence  uint64
}

// Outcome tells what became of a call.
type Outcome string

// Outcomes of a call.
const (
	// Accepted calls have been carried out.
	Accepted Outcome = "accepted"
	// Refused calls have not: a higher fence was seen, or there is nothing to be had.
	Refused Outcome = "refused"
	// Busy: the provider takes no more calls at the moment.
	Busy Outcome = "busy"
	// Failed: the provider answers that it can't.
	Failed Outcome = "failed"
	// Unreachable: there was no connection; the call has not arrived.
	Unreachable Outcome = "unreachable"
	// Unanswered calls may be carried out later.
	Unanswered Outcome = "unanswered"
)

// OutOfReach is why a holder gives its duty away that the provider does not answer.
const OutOfReach = "the provider does not answer here"

// Client makes the calls of the holders of duties. The zero value has no provider.
type Client struct {
	Address  string
	Protocol Protocol
}

// Report reports a window.
func (c Client) Report(ctx context.Context, t *duties.Tenure, fence uint64, r usage.Record) Outcome {
	req, err := c.Protocol.UsageReport(c.call(t, fence), r)
	return send(ctx, t, req, err)
}

// Order orders backend servers.
func (c Client) Order(ctx context.Context, t *duties.Tenure, fence uint64, o capacity.Order) Outcome {
	req, err := c.Protocol.ServerOrder(c.call(t, fence), o)
	return send(ctx, t, req, err)
}

func (c Client) call(t *duties.Tenure, fence uint64) Call {
	return Call{Address: c.Address, Holder: t.Instance(), Fence: fence}
}

// callTimeout bounds a call. It is shorter than a lease is valid, so that a holder whose
// call has no answer still knows that it is the holder.
const callTimeout = 1500 * time.Millisecond

// maxAnswer bounds what is read of an answer.
const maxAnswer = 64 << 10

// send makes one call of a holder, never twice; encoding is what went wrong before.
func send(ctx context.Context, t *duties.Tenure, req *http.Request, encoding error) Outcome {
	if encoding != nil {
		log.WithError(encoding).WithField("step", "encode call to provider").Error("it can't be sent")
		return Failed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req = req.WithContext(ctx)
	req.GetBody = nil // a library would send the call again on another connection
	if !t.BeginSend() {
		return Unreachable
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return Unreachable
		}
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "call provider", "peer": req.URL.Host}).Debug("no answer")
		return Unanswered
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)) // only to keep the connection
	return outcome(resp.StatusCode)
}

func outcome(status int) Outcome {
	switch {
	case status >= 200 && status < 300:
		return Accepted
	case status == http.StatusConflict:
		return Refused
	case status == http.StatusTooManyRequests:
		return Busy
	}
	return Failed
}
