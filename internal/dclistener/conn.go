package dclistener

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// arrivalTime is how long a request whose first bytes have arrived is waited for
// after its last bytes.
const arrivalTime = 3 * time.Second

// Conn is a connection of a caller. It tells whether a request is arriving, which
// net/http reports only once the whole head has been read.
type Conn struct {
	*net.TCPConn
	clock clockwork.Clock

	mu sync.Mutex
	// unanswered is set if bytes have been read since the last write, and readAt is
	// the time of the last read.
	unanswered bool
	readAt     time.Time
	// closedIdle is set by CloseIdle.
	closedIdle bool
}

// Read implements io.Reader. Bytes that are read while CloseIdle closes the
// connection are dropped, since their request could not be answered.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.TCPConn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	if count > 0 {
		c.unanswered, c.readAt = true, c.clock.Now()
	}
	return count, err
}

// Write implements io.Writer.
func (c *Conn) Write(data []byte) (int, error) {
	c.answer()
	return c.TCPConn.Write(data)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(reader io.Reader) (int64, error) {
	c.answer()
	return c.TCPConn.ReadFrom(reader)
}

func (c *Conn) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
}

// Arriving reports whether bytes of a request have been read lately that have not
// been answered. The connection must be without a request in progress.
func (c *Conn) Arriving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arriving()
}

func (c *Conn) arriving() bool {
	return c.unanswered && c.clock.Since(c.readAt) < arrivalTime
}

// CloseIdle closes the connection unless bytes of a request have arrived, read or
// not. It reports whether the connection is closed.
func (c *Conn) CloseIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closedIdle && (c.arriving() || c.hasUnreadBytes()) {
		return false
	}
	c.closedIdle = true
	// The server detects the closed connection; an error of Close has no
	// consequence.
	_ = c.Close()
	return true
}

// hasUnreadBytes reports whether the system holds bytes that were not read. It
// returns false for a closed connection.
func (c *Conn) hasUnreadBytes() (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) {
		count, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0
	})
	return unread
}
