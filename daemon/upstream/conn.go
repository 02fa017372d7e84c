package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"cardamomwick.example/core/httpresponse"
	"cardamomwick.example/core/membudget"
)

// Timing of connections.
const (
	// dialTimeout bounds a TCP handshake, which usually takes a few milliseconds. After
	// a timeout another server can be asked, since nothing was sent.
	dialTimeout = 400 * time.Millisecond
	// maxServerSilence is how long a sound server may acknowledge nothing and go on. The
	// calls in flight there are not given up for it.
	maxServerSilence = 2500 * time.Millisecond
	// keepAliveIdle is the time without traffic until a connection is probed.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	// userTimeout closes a connection whose peer acknowledges nothing, for example in a
	// network partition, where no reset ever arrives. On Linux it also replaces the count of
	// keep-alive probes, and then includes the time before the first one.
	userTimeout    = keepAliveIdle + maxServerSilence + keepAliveInterval
	keepAliveCount = int((userTimeout - keepAliveIdle) / keepAliveInterval)
	// defaultKeepAlive is assumed for servers that send no keep-alive time.
	defaultKeepAlive = 4 * time.Second
	// keepAliveShare is the fraction of the server's keep-alive time within which an idle
	// connection is reused, so that a call does not race with the server's close.
	keepAliveShare = 0.75
	// A reset after at least minResetIdle of idle time is taken as a sign that idle
	// connections are dropped. For idleLimitTTL after it, connections are reused only
	// within resetIdleShare of that idle time.
	minResetIdle   = 100 * time.Millisecond
	resetIdleShare = 0.5
	idleLimitTTL   = 15 * time.Second
	// readBufferBytes fits an answer's headers and some events.
	readBufferBytes = 8 << 10
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT socket option.
const tcpUserTimeout = 18

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil is when the idle connection expires.
	usableUntil time.Time
	// idleSince is when the connection was last put aside; zero before that.
	idleSince time.Time
	// used is set once the connection has carried an answer.
	used bool
	// headBytes is how many more bytes of heads may be read; it applies while readingHead is set.
	headBytes   int
	readingHead bool
	// head collects what is read while readingHead is set. headLength is the length of the head, 0 as
	// long as it is not known, and headLines the number of its lines so far.
	head                  []byte
	headLength, headLines int
	// memory is what the heads of an answer hold, from the call to its end.
	memory membudget.Holding
	// readErr is the error that ended reading. It is nil as long as only the bytes that were read can
	// be the cause of a failure.
	readErr error
}

// Read implements io.Reader for the buffered reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.readNetwork(p)
	}
	if c.headBytes <= 0 {
		c.readErr = errHeadTooLong
		return 0, errHeadTooLong
	}
	n, err := c.readNetwork(p[:min(len(p), c.headBytes)])
	c.headBytes -= n
	if !c.addToHead(p[:n]) {
		c.readErr = ErrAnswerMemory
		return 0, ErrAnswerMemory
	}
	return n, err
}

// What a parsed head takes, and how much of that a call may hold anyway.
const (
	headByteCost  = 2
	headLineCost  = 256
	freeHeadBytes = 24 << 10
)

// addToHead adds bytes to the head, and reports whether there is memory for them.
func (c *conn) addToHead(next []byte) bool {
	before := len(c.head)
	c.head = append(c.head, next...)
	if c.headLength > 0 {
		return true // they follow the head
	}
	c.headLength = httpresponse.HeadLength(c.head, before)
	inHead := next
	if c.headLength > 0 {
		inHead = next[:c.headLength-before]
	}
	c.headLines += bytes.Count(inHead, []byte("\n"))
	cost := headByteCost*(before+len(inHead)) + headLineCost*c.headLines
	return cost <= freeHeadBytes || c.memory.GrowTo(int64(cost))
}

func (c *conn) readNetwork(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// readResponse reads a valid head. It waits for the first byte for as long as the connection is open.
func (c *conn) readResponse(method string) (*http.Response, error) {
	begin, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.readingHead, c.headLength, c.headLines = true, 0, 0
	defer func() { c.head, c.readingHead = nil, false }()
	if !c.addToHead(begin) {
		return nil, ErrAnswerMemory
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(maxHeadTime)); err != nil {
		return nil, err
	}
	resp, err := c.parseHead(method)
	if err != nil {
		return nil, err
	}
	return resp, c.SetReadDeadline(time.Time{})
}

// parseHead parses a head and checks its bytes, since http.ReadResponse accepts, repairs and drops
// invalid ones.
func (c *conn) parseHead(method string) (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil && c.readErr != nil {
		return nil, err
	}
	if _, err := httpresponse.CheckHead(c.head[:len(c.head)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	if err != nil {
		return nil, httpresponse.Unreadable(err)
	}
	return resp, nil
}

// bodyError returns the error for a body that could not be read, given that of its reader.
func (c *conn) bodyError(err error) error {
	if c.readErr != nil {
		return err
	}
	return httpresponse.Unreadable(err)
}

// drain reads a body to its end. It returns an error if the body is long or does not end soon.
func (c *conn) drain(body io.Reader) error {
	if err := c.SetReadDeadline(time.Now().Add(maxDrainTime)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes+1))
	switch {
	case err != nil:
		return c.bodyError(err)
	case n > maxDrainBytes:
		return errBodyTooLong
	}
	return c.SetReadDeadline(time.Time{})
}

// putAside sets how long the connection may be reused, for a server that keeps idle connections
// for the given time.
func (c *conn) putAside(keepAlive time.Duration) {
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(time.Duration(float64(keepAlive) * keepAliveShare))
}

// Dialer opens a connection to a backend server.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// Dial is the default Dialer.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	return d.Dial("tcp", address)
}

func newConn(raw net.Conn, memory *membudget.Pool) *conn {
	c := &conn{Conn: raw, memory: membudget.Holding{Pool: memory}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// isSilent reports whether nothing has arrived on an idle connection: neither its end
// nor bytes that belong to no call.
func (c *conn) isSilent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// idleLimit is a learned limit on connections' idle time. It covers servers, or network
// devices before them, that drop idle connections without closing them: the next call on
// such a connection is lost, and may not be retried where it might have run.
type idleLimit struct {
	limit time.Duration
	until time.Time // when the limit expires
}

// recordReset lowers the limit after a reset of a connection that had been idle.
func (r *idleLimit) recordReset(now time.Time, idle time.Duration) {
	if idle < minResetIdle {
		return
	}
	limit := time.Duration(resetIdleShare * float64(idle))
	if r.limit == 0 || now.After(r.until) || limit < r.limit {
		r.limit = limit
	}
	r.until = now.Add(idleLimitTTL)
}

// allows reports whether a connection may be used after this idle time.
func (r *idleLimit) allows(now time.Time, idle time.Duration) bool {
	return r.limit == 0 || now.After(r.until) || idle <= r.limit
}
