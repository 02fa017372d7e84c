package router

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are not forwarded: they apply to one connection only. The client
// sets Content-Length and Host itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host"}

// endToEndHeaders returns a copy of h without the hop-by-hop headers, including those
// that its Connection headers name.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies a server's end-to-end headers into an answer. For an answer without
// a content type it disables net/http's detection, which would add one.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}
