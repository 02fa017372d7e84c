// Package provider calls the API of the infrastructure provider on behalf of the holders of
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

// Protocol encodes calls for a provider. An adapter implements it.
type Protocol interface {
	// UsageReport returns the request that reports a window.
	UsageReport(call Call, r usage.Record) (*http.Request, error)
	// ServerOrder returns the request that orders backend servers.
	ServerOrder(call Call, o capacity.Order) (*http.Request, error)
	// Duties translates the provider's own names of the duties that it requests.
	Duties(names []string) Duties
}

// Duties states which calls a provider requests and accepts.
type Duties struct{ Usage, Servers bool }

// Call holds the data that all calls to the provider have in common.
type Call struct {
	Address string
	// Holder is the instance that holds the duty.
	Holder string
	Fence  uint64
}

// Outcome is the outcome of a call.
type Outcome string

// Outcomes of a call.
const (
	// Accepted calls have been carried out.
	Accepted Outcome = "accepted"
	// Refused calls have not been carried out: the provider has seen a higher fencing token,
	// or nothing is available.
	Refused Outcome = "refused"
	// Busy: the provider accepts no more calls at the moment.
	Busy Outcome = "busy"
	// Failed: the provider returned an error.
	Failed Outcome = "failed"
	// Unreachable: the call was not delivered: there was no connection, or the duty was no
	// longer held when it was to be sent.
	Unreachable Outcome = "unreachable"
	// Unanswered: there was no response; the call may still be carried out.
	Unanswered Outcome = "unanswered"
)

// ReasonUnreachable is the reason for which a holder releases its duty when it can't reach
// the provider.
const ReasonUnreachable = "the provider does not answer here"

// Client sends the requests of duty holders to the provider. The zero value means that no
// provider is configured.
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

// callTimeout bounds a call. It is shorter than the validity of a lease, so that a holder
// whose call is not answered still knows that it is the holder.
const callTimeout = 1500 * time.Millisecond

// maxResponseBytes bounds the part of a response that is read.
const maxResponseBytes = 64 << 10

// send makes a holder's call at most once. encodeErr is the error from encoding it.
func send(ctx context.Context, t *duties.Tenure, req *http.Request, encodeErr error) Outcome {
	if encodeErr != nil {
		log.WithError(encodeErr).WithField("step", "encode call to provider").Error("call not sent")
		return Failed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req = req.WithContext(ctx)
	req.GetBody = nil // otherwise net/http may send the call again on another connection
	if !t.BeginSend() {
		return Unreachable
	}
	return deliver(req)
}

// deliver sends a call and returns its outcome.
func deliver(req *http.Request) Outcome {
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)) // to reuse the connection
	return outcomeOf(resp.StatusCode)
}

func outcomeOf(status int) Outcome {
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
