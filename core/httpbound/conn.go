package httpbound

import (
	"bytes"
	"net"
	"sync"

	"cardamomwick.example/core/httpresponse"
)

// conn checks the heads of the responses to a client's requests, before net/http parses them and
// drops what it does not understand.
type conn struct {
	net.Conn
	mu sync.Mutex
	// inHead is set from a request until the end of its final head. head is the part of the current
	// head that was read, an informational or the final one.
	inHead bool
	head   []byte
	// invalid is the error of an invalid head.
	invalid error
}

// expectHead is called before a request is written.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.head = true, nil
}

// invalidHead returns the *httpresponse.Error of an invalid head, nil for none. net/http reports
// another error if it has parsed a part of the head.
func (c *conn) invalidHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read implements net.Conn. It returns an error instead of the bytes that complete an invalid head, and
// of all bytes after it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid == nil {
		c.invalid = c.checkHeads(p[:n])
	}
	if c.invalid != nil {
		return 0, c.invalid
	}
	return n, err
}

// checkHeads checks the heads that end in the next bytes. The caller holds c.mu.
func (c *conn) checkHeads(next []byte) error {
	for c.inHead && len(next) > 0 {
		before := len(c.head)
		c.head = append(c.head, next[:min(len(next), MaxHeadBytes+1-before)]...)
		length := headLength(c.head, before)
		if length == 0 {
			c.inHead = len(c.head) <= MaxHeadBytes // a longer head is refused by net/http
			return nil
		}
		status, err := httpresponse.CheckHead(c.head[:length])
		if err != nil {
			return err
		}
		next = next[length-before:]
		c.inHead, c.head = httpresponse.IsInformational(status), nil
	}
	return nil
}

// headLength returns the length of the head at the beginning of a text, 0 if it does not end there.
// It did not end within the first before bytes.
func headLength(text []byte, before int) int {
	for i := max(0, before-len("\n\r")); ; {
		n := bytes.IndexByte(text[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		switch rest := text[i:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\r\n")
		}
	}
}
