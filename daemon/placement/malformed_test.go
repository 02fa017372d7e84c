package placement

import (
	"net/http"
	"testing"

	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/daemon/internal/testserver"
)

// order sends an order to an engine that answers with some bytes.
func order(t *testing.T, answer string) error {
	t.Helper()
	httpbound.BoundDefault()
	req, err := http.NewRequest(http.MethodPost, "http://"+testserver.StartFixed(t, answer)+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	return deliver(req, "s")
}

// Guards against an order that is taken for sent after a malformed response.
func TestMalformedResponseFailsTheOrder(t *testing.T) {
	const rest = " X\r\nContent-Length: 0\r\n\r\n"
	for answer, ok := range map[string]bool{
		"HTTP/1.1 200" + rest:                                   true,
		"HTTP/1.1 000" + rest:                                   false,
		"HTTP/1.1 099" + rest + "HTTP/1.1 200" + rest:           false,
		"HTTP/1.1 200 X\r\nX Y: z\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n":          false,
		"HTTP/1.1 101" + rest + "HTTP/1.1 200" + rest:           false,
	} {
		if err := order(t, answer); (err == nil) != ok {
			t.Errorf("%q: %v", answer, err)
		}
	}
}
