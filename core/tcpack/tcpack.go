// Package tcpack tells what the peer of a TCP connection has received (Linux).
package tcpack

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PollInterval is a suitable time between two calls of Complete.
const PollInterval = 2 * time.Millisecond

// ErrNotReceived means that a connection is closed, and its peer has not received all that was
// written to it.
var ErrNotReceived = fmt.Errorf("the peer has closed the connection before it received everything: %w", io.ErrUnexpectedEOF)

// closed is Linux's state of a connection that was reset.
const closed = 7

// Complete reports whether the peer has acknowledged all that was written to a connection. The error
// is ErrNotReceived if it never will, or tells why that is not known. Complete does not take the
// connection's pending error, which only one reader or writer gets.
func Complete(c net.Conn) (bool, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, nil // not a socket: nothing is known about its peer
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return false, err
	case failed != nil:
		return false, failed
	case info.State == closed:
		return false, ErrNotReceived
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
