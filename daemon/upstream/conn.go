package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// Timing of connections.
const (
	// dialTimeout: a handshake takes a few milliseconds; a server that takes
	// longer is dark, and another one can still be asked, since nothing was sent.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose peer acknowledges nothing, a partition
	// for example, where no reset ever comes.
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdle is how long an idle connection is used when the server does
	// not say.
	defaultIdle = 4 * time.Second
	// idleShare of the time that the server says is used, so that a call never
	// crosses the server's close.
	idleShare = 0.75
	// readBuffer holds an answer's headers and some events.
	readBuffer = 8 << 10
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT socket option.
const tcpUserTimeout = 18

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil bounds the idle time.
	usableUntil time.Time
	// reused: the connection has carried a call before.
	reused bool
}

func dial(address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
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

// quiet reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no call.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
