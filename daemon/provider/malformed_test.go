package provider

import (
	"net/http"
	"testing"

	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/daemon/internal/testserver"
)

// outcome returns the outcome of a call to a provider that answers with some bytes.
func outcome(t *testing.T, answer string) Outcome {
	t.Helper()
	httpbound.BoundDefault()
	req, err := http.NewRequest(http.MethodPost, "http://"+testserver.StartFixed(t, answer)+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	return deliver(req)
}

// Guards against a call that is taken for carried out, or refused, after a malformed response.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	const rest = " X\r\nContent-Length: 0\r\n\r\n"
	for answer, want := range map[string]Outcome{
		"HTTP/1.1 204 None\r\n\r\n":                    Accepted,
		"HTTP/1.1 409" + rest:                          Refused,
		"HTTP/1.1 000" + rest:                          Unanswered,
		"HTTP/1.1 099" + rest + "HTTP/1.1 200" + rest:  Unanswered,
		"HTTP/1.1 204 X\r\nX Y: z\r\n\r\n":             Unanswered,
		"HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n": Unanswered,
		"HTTP/1.1 101" + rest + "HTTP/1.1 200" + rest:  Unanswered,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 999" + rest:    Unanswered,
		"HTTP/1.1 999" + rest:                          Unanswered,
	} {
		if got := outcome(t, answer); got != want {
			t.Errorf("%q: %s, want %s", answer, got, want)
		}
	}
}
