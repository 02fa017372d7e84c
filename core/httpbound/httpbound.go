// Package httpbound bounds what net/http's default client accepts from a server in trouble: only
// valid responses, with heads of a limited size, to requests that the server has received.
package httpbound

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"cardamomwick.example/core/httpresponse"
)

// MaxHeadBytes bounds the head of an answer.
const MaxHeadBytes = 64 << 10

// BoundDefault applies the bounds to the default transport, whose own bound on a head is 10 MiB. Call
// it before the first request.
func BoundDefault() {
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		http.DefaultTransport = NewTransport(t)
	}
}

// Transport is an http.RoundTripper that applies the bounds. A response that is not valid fails its
// request with an *httpresponse.Error.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of another one, which it does not change.
func NewTransport(settings *http.Transport) *Transport {
	base := settings.Clone()
	base.MaxResponseHeaderBytes = MaxHeadBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.begin(req.ContentLength)
			used.Store(c)
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if c := used.Load(); c != nil && err != nil {
		err = cmp.Or(c.invalidHead(), err)
	}
	if err != nil {
		return nil, err
	}
	resp.Body = &body{resp.Body, resp}
	return resp, nil
}

// body checks the trailer at the end of a body.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(httpresponse.CheckFields(b.resp.Trailer), err)
	}
	return n, err
}

// CloseIdleConnections closes the connections that carry no request; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
