package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// resetWait is how long a peer that ended its side has to receive what was written, or to reset the connection:
// several times the longest round trip within a region. resetPoll is the time between two looks.
const (
	resetWait = 150 * time.Millisecond
	resetPoll = time.Millisecond
)

// tcpConn is a TCP connection whose reads end with io.EOF only if the connection was not reset.
//
// The system alone does not ensure that. It reports the failure of a connection, such as a reset, to one call
// only: if that is a write, the next read returns io.EOF, as if the peer had ended its side in order. And a peer
// that closes a connection without having received all of a request ends its side first, and resets the connection
// when more of the request arrives. In both cases a body that ends with its connection would count as complete.
type tcpConn struct {
	systemConn

	// writing is held during a write. It guards failure.
	writing sync.Mutex
	// failure is the failure that a write received, or that the state of the connection shows.
	failure error
}

// systemConn is what tcpConn uses of a net.TCPConn. It leaves out the methods that write past tcpConn.Write.
type systemConn interface {
	net.Conn
	syscall.Conn
	lingerer
}

// Read implements net.Conn. At the end of the peer's side it waits for at most resetWait.
func (c *tcpConn) Read(b []byte) (int, error) {
	n, err := c.systemConn.Read(b)
	if err == io.EOF {
		err = c.endOfReads()
	}
	return n, err
}

// endOfReads returns the failure of a connection whose reads have ended, or io.EOF if there is none. It does not
// wait for more than resetWait for a peer that receives the rest slowly or not at all: that is no reset.
func (c *tcpConn) endOfReads() error {
	until := time.Now().Add(resetWait)
	if !c.writing.TryLock() {
		// It fails only on a closed connection, whose writes have ended.
		_ = c.SetWriteDeadline(until)
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	for c.failure == nil && hasUndelivered(c) && time.Now().Before(until) {
		time.Sleep(resetPoll)
	}
	if c.failure == nil && isReset(c) {
		c.failure = syscall.ECONNRESET
	}
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *tcpConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.systemConn.Write(b)
	if isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a write is a failure of the connection, and not our own doing.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// hasUndelivered reports whether bytes were written that the peer's system has not acknowledged, sent or not. It
// reports false if that is not known.
func hasUndelivered(c syscall.Conn) bool {
	info, err := tcpInfo(c)
	return err == nil && (info.Unacked > 0 || info.Notsent_bytes > 0)
}

// isReset reports whether the system has given up a connection that we have not closed.
func isReset(c syscall.Conn) bool {
	info, err := tcpInfo(c)
	return err == nil && info.State == unix.BPF_TCP_CLOSE
}

// tcpInfo returns what the system knows about a connection.
func tcpInfo(c syscall.Conn) (*unix.TCPInfo, error) {
	rc, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = rc.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, infoErr
}
