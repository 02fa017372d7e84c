package httpbound

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"cardamomwick.example/core/httpresponse"
	"cardamomwick.example/core/tcpack"
)

// conn checks the heads of the responses to a client's requests, before net/http parses them and
// drops what it does not understand. It also checks that the server has received a request, before
// net/http takes the end of the connection for the end of the response.
type conn struct {
	net.Conn
	mu sync.Mutex
	// requestHead is the part of the request's head that was written, nil after its end. bodyLeft is
	// the number of bytes of the request's body that are still to be written.
	requestHead []byte
	bodyLeft    int64
	// writeErr is the error of writing.
	writeErr error
	// inHead is set from a request until the end of its final head. head is the part of the current
	// head that was read, an informational or the final one.
	inHead bool
	head   []byte
	// invalid is the error of an invalid head.
	invalid error
}

// begin is called before a request with a body of a length is written, -1 if the length is unknown.
func (c *conn) begin(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestHead, c.bodyLeft = []byte{}, max(0, bodyLength)
	c.inHead, c.head = true, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.writeErr = err
	}
	c.countWritten(p[:n])
	return n, err
}

// countWritten counts bytes of a request that were written. The caller holds c.mu.
func (c *conn) countWritten(p []byte) {
	if c.requestHead != nil {
		before := len(c.requestHead)
		c.requestHead = append(c.requestHead, p...)
		length := httpresponse.HeadLength(c.requestHead, before)
		if length == 0 {
			return
		}
		p, c.requestHead = p[length-before:], nil
	}
	c.bodyLeft -= int64(len(p))
}

// checkEnd returns io.EOF if the end of the connection may be the end of a response: the server has
// received the whole request. A connection reports its reset once, to the reader or the writer, so that
// a reader may see an end instead. Closing the connection ends the wait.
func (c *conn) checkEnd() error {
	for ; ; time.Sleep(tcpack.PollInterval) {
		c.mu.Lock()
		written, err, inHead := c.requestHead == nil && c.bodyLeft <= 0, c.writeErr, c.inHead
		c.mu.Unlock()
		switch {
		case inHead:
			return io.EOF // net/http reports that there is no response
		case err != nil:
			return fmt.Errorf("write the rest of the request: %w", err)
		}
		received, err := tcpack.Complete(c.Conn)
		if err != nil {
			return err
		}
		if written && received {
			return io.EOF
		}
	}
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
	if err == io.EOF {
		err = c.checkEnd()
	}
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
		length := httpresponse.HeadLength(c.head, before)
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
