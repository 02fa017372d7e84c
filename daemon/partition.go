package daemon

import (
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/upstream"
)

// partitionReloadInterval is how long the rules of a partition file are cached.
const partitionReloadInterval = 100 * time.Millisecond

// newPartitionFilter returns a filter that simulates network partitions by dropping the
// frames that the file names, nil without a file; see settings.Faults.
func newPartitionFilter(path string) frame.Filter {
	if path == "" {
		return nil
	}
	p := &partitionFile{path: path}
	return p.drops
}

// newPartitionDialer returns a dialer that simulates partitions from all backend servers,
// nil without a file; see settings.Faults.
func newPartitionDialer(path string) upstream.Dialer {
	if path == "" {
		return nil
	}
	p := &partitionFile{path: path}
	return p.dialServer
}

// partitionFile holds the rules of a file with one rule per line: "in ADDRESS" or
// "out ADDRESS", where the address * matches all peers, or "servers FAULT" with one of the
// faults below.
type partitionFile struct {
	path   string
	mu     sync.Mutex
	loaded time.Time
	rules  map[string]bool
}

// Rules for the connections to backend servers.
const (
	// serversHang loses all packets, of open connections too.
	serversHang = "servers hang"
	// serversReset resets open connections and refuses new ones.
	serversReset = "servers reset"
	// serversRefuse refuses new connections; open ones live on.
	serversRefuse = "servers refuse"
)

func (p *partitionFile) has(rule string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.loaded) > partitionReloadInterval {
		p.loaded = time.Now()
		p.rules = map[string]bool{}
		data, _ := os.ReadFile(p.path)
		for _, line := range strings.Split(string(data), "\n") {
			p.rules[strings.TrimSpace(line)] = true
		}
	}
	return p.rules[rule]
}

func (p *partitionFile) drops(peer string, incoming bool) bool {
	direction := "out "
	if incoming {
		direction = "in "
	}
	return p.has(direction+peer) || p.has(direction+"*")
}

func (p *partitionFile) dialServer(address string, timeout time.Duration) (net.Conn, error) {
	switch {
	case p.has(serversHang):
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case p.has(serversReset), p.has(serversRefuse):
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	c, err := upstream.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &partitionedConn{TCPConn: tcp, rules: p}, nil
}

// partitionedConn is a connection to a backend server that can be partitioned. What the
// server has sent meanwhile is read afterwards.
type partitionedConn struct {
	*net.TCPConn
	rules *partitionFile
	// closed is set by Close; a partitioned Read or Write ends then.
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		if err := c.blocked("read"); err != nil {
			return 0, err
		}
		// The short deadline lets a connection without traffic notice a reset.
		if err := c.SetReadDeadline(time.Now().Add(partitionReloadInterval)); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if err := c.blocked("read"); err != nil {
				return 0, err
			}
			return n, c.SetReadDeadline(time.Time{})
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.rules.has(serversReset) {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	}
	// A write to a lost path is buffered by the kernel.
	if c.rules.has(serversHang) {
		go func() {
			if c.blocked("write") == nil {
				_, _ = c.TCPConn.Write(b) // a lost connection shows in Read
			}
		}()
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// blocked waits until a partition that loses packets has ended, and returns an error if the
// connection is reset or closed meanwhile.
func (c *partitionedConn) blocked(op string) error {
	for !c.closed.Load() {
		if c.rules.has(serversReset) {
			_ = c.TCPConn.Close() // it is lost
			return &net.OpError{Op: op, Net: "tcp", Err: syscall.ECONNRESET}
		}
		if !c.rules.has(serversHang) {
			return nil
		}
		time.Sleep(partitionReloadInterval / 10)
	}
	return net.ErrClosed
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}
