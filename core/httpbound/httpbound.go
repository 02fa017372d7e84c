// Package httpbound bounds what net/http's default client accepts from a server in trouble.
package httpbound

import "net/http"

// MaxHeadBytes bounds the head of an answer.
const MaxHeadBytes = 64 << 10

// BoundHeads applies MaxHeadBytes to the default transport, whose own bound is 10 MiB for each
// answer. Call it before the first request.
func BoundHeads() {
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.MaxResponseHeaderBytes = MaxHeadBytes
	}
}
