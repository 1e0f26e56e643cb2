package dclistener

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcintake"
)

const (
	// arrivalTime is how long a request whose first bytes have arrived is waited for
	// after its last bytes.
	arrivalTime = 3 * time.Second
	// fieldBytes is the memory for a header field beside its bytes, in the maps and
	// slices of the request and of its copy for a server. 2,400 fields took 100 bytes
	// each in a head, and 190 together with the copy.
	fieldBytes = 256
	// answerStallTime is how long a peer may take nothing of an answer. It exceeds the
	// time for which callers wait, and TCP sends lost segments again meanwhile.
	answerStallTime = 30 * time.Second
	// writePieceBytes is the size of the pieces of an answer, after each of which
	// answerStallTime begins again.
	writePieceBytes = 64 << 10
	// uncountedWriteBytes is the size of a write that does not count towards the memory
	// for clients. It is the size of the buffer of net/http, which larger writes pass.
	uncountedWriteBytes = 4 << 10
	// refusalTime limits the time to write a refusal to a connection that makes room.
	refusalTime = time.Second
)

// Conn is a connection of a caller. It tells whether a request is arriving, which
// net/http reports only once the whole head has been read.
type Conn struct {
	*net.TCPConn
	clock clockwork.Clock
	// client is the part of the connection in the limits on clients, nil if the server
	// has none.
	client *dcintake.Client
	// lingering is set once the server only waits before it closes the connection.
	lingering atomic.Bool

	mu sync.Mutex
	// serving is set from the start of a handler until the whole answer was written,
	// and receiving while a body is read.
	serving, receiving bool
	// written is set once an answer to the request has begun. ahead is set if bytes
	// arrived before that which are not of the request, and fresh if bytes arrived
	// after it.
	written, ahead, fresh bool
	// requests is the number of requests so far, and sentAhead the number of
	// successive ones that were sent before the answer to the one before.
	requests, sentAhead int
	// unanswered is set if bytes have been read since the last write, and readAt is
	// the time of the last read.
	unanswered bool
	readAt     time.Time
	// closedIdle is set by CloseIdle.
	closedIdle bool
}

// Read implements io.Reader. Bytes that are read while CloseIdle closes the
// connection are dropped, since their request could not be answered. So are those of
// a connection that has to make room.
func (c *Conn) Read(data []byte) (int, error) {
	if c.interrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	count, err := c.TCPConn.Read(data)
	if count > 0 && !c.admit(data[:count]) {
		return 0, os.ErrDeadlineExceeded
	}
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

// admit records that bytes were read, and reserves the memory for those of a head. It
// reports false if there is none.
func (c *Conn) admit(data []byte) bool {
	c.mu.Lock()
	switch {
	case c.receiving:
	case c.serving && !c.written:
		c.ahead = true
	default:
		c.fresh = true
	}
	head, first := !c.serving, c.requests == 0 && !c.unanswered
	c.mu.Unlock()
	if c.client == nil || !head {
		return true
	}
	now := c.clock.Now()
	if first {
		c.client.SetPhase(dcintake.Receiving, now)
	} else {
		c.client.ChangePhase(dcintake.Idle, dcintake.Receiving, now)
	}
	fields, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	return c.client.Reserve(int64(len(data)+bytes.Count(fields, []byte("\n"))*fieldBytes), now)
}

func (c *Conn) interrupted() bool { return c.client != nil && c.client.Interrupted() }

// interrupt ends what the server does with the connection to make room for others.
func (c *Conn) interrupt(phase dcintake.Phase) {
	// Errors mean that the connection is closed already.
	switch {
	case c.lingering.Load() || phase == dcintake.Answering || phase == dcintake.Idle:
		_ = c.TCPConn.Close()
	default:
		_ = c.SetReadDeadline(interruptedDeadline)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	}
}

// Write implements io.Writer. It fails if the peer takes nothing for answerStallTime.
func (c *Conn) Write(data []byte) (written int, err error) {
	c.answer()
	if c.client == nil {
		return c.TCPConn.Write(data)
	}
	if len(data) > uncountedWriteBytes {
		c.client.ReserveAnswer(int64(len(data)), c.clock.Now())
		defer c.client.ReleaseAnswer(int64(len(data)))
	}
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		c.client.ChangePhase(dcintake.Working, dcintake.Answering, c.clock.Now())
		// The deadlines are of the system, not of the clock of the server.
		_ = c.SetWriteDeadline(time.Now().Add(answerStallTime))
		if c.interrupted() {
			_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		}
		count, err := c.TCPConn.Write(piece)
		c.client.ChangePhase(dcintake.Answering, dcintake.Working, c.clock.Now())
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(reader io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, reader)
}

// CloseWrite closes the writing side. net/http calls it before it waits for a while
// and closes the connection, which a connection that has to make room does not get.
func (c *Conn) CloseWrite() error {
	c.lingering.Store(true)
	if c.interrupted() {
		return c.Close()
	}
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.client != nil {
		c.client.Remove()
	}
	return c.TCPConn.Close()
}

func (c *Conn) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered, c.written = false, true
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
