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
	// leastRest is the rest from which a reset tells that the server forgets idle
	// connections, restShare of it is used from then on, for restMemory.
	leastRest  = 100 * time.Millisecond
	restShare  = 0.5
	restMemory = 15 * time.Second
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
	// restedSince is when the last call on the connection ended; zero before its
	// first.
	restedSince time.Time
}

// used reports whether the connection has carried an answer.
func (c *conn) used() bool { return !c.restedSince.IsZero() }

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

// rest is how long connections may rest. It answers servers, or what stands
// before them, that forget idle connections without a word: the next call on such
// a connection is lost, and may not be sent again where it might have run.
type rest struct {
	most  time.Duration
	until time.Time
}

// note takes the failure of a call on a connection that had rested.
func (r *rest) note(now time.Time, rested time.Duration) {
	if rested < leastRest {
		return
	}
	most := time.Duration(restShare * float64(rested))
	if r.most == 0 || now.After(r.until) || most < r.most {
		r.most = most
	}
	r.until = now.Add(restMemory)
}

// allows reports whether a connection that has rested so long may be used.
func (r *rest) allows(now time.Time, rested time.Duration) bool {
	return r.most == 0 || now.After(r.until) || rested <= r.most
}
