package router

import (
	"net/http"
	"strings"
)

// hopByHop concern one connection only. Content-Length and Host are written
// anew.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host"}

// endToEnd returns a copy of the headers without those of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// copyHeader puts a server's headers into an answer. An answer without a
// content type gets none: guessing would change it.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}
