// Package dcidle closes server-side connections that have been idle for longer
// than the configuration allows. The IdleTimeout of net/http is fixed for the
// lifetime of a server, but here the timeout changes with the configuration.
package dcidle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// retryPause is the time after which a connection that was not closed, because a
// request was arriving, is checked again.
const retryPause = time.Second

// IdleConn is a connection that can tell whether a request is arriving, although it
// still counts as idle.
type IdleConn interface {
	// CloseIdle closes the connection unless a request is arriving, and reports
	// whether it is closed.
	CloseIdle() bool
}

// ConnCloser closes idle connections. Those that implement IdleConn are not closed
// while a request is arriving. Set the exported fields before the first
// call. It is safe for concurrent use.
type ConnCloser struct {
	// Timeout returns the current idle timeout. It is called each time that a
	// connection becomes idle, and before it is closed, so that a longer timeout
	// applies to connections that are already idle.
	Timeout func() time.Duration
	Clock   clockwork.Clock

	mu sync.Mutex
	// timers holds the running timer of each idle connection.
	timers map[net.Conn]clockwork.Timer
}

// OnStateChange starts and stops the idle timer of a connection. It is to be set
// as the ConnState hook of an http.Server. A new connection that has not sent its
// first request counts as idle.
func (c *ConnCloser) OnStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.timers[conn]; timer != nil {
		timer.Stop()
		delete(c.timers, conn)
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if c.timers == nil {
		c.timers = make(map[net.Conn]clockwork.Timer)
	}
	c.start(conn, c.Clock.Now(), c.Timeout())
}

// start starts the timer of a connection. The caller holds the lock.
func (c *ConnCloser) start(conn net.Conn, idleSince time.Time, pause time.Duration) {
	var timer clockwork.Timer
	timer = c.Clock.AfterFunc(pause, func() { c.expire(conn, idleSince, &timer) })
	c.timers[conn] = timer
}

// expire closes a connection if it is still idle since timer was started. A
// connection whose request has been read is never closed.
func (c *ConnCloser) expire(conn net.Conn, idleSince time.Time, timer *clockwork.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[conn] != *timer {
		return
	}
	if left := c.Timeout() - c.Clock.Since(idleSince); left > 0 {
		c.start(conn, idleSince, left)
		return
	}
	if idle, ok := conn.(IdleConn); ok {
		if !idle.CloseIdle() {
			c.start(conn, idleSince, retryPause)
			return
		}
	} else {
		// The server detects the closed connection; an error of Close has no
		// consequence.
		_ = conn.Close()
	}
	delete(c.timers, conn)
}
