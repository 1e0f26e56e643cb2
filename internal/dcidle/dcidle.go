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

// ConnCloser closes idle connections. Set the exported fields before the first
// call. It is safe for concurrent use.
type ConnCloser struct {
	// Timeout returns the current idle timeout. It is called each time that a
	// connection becomes idle.
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
	var timer clockwork.Timer
	timer = c.Clock.AfterFunc(c.Timeout(), func() { c.expire(conn, &timer) })
	c.timers[conn] = timer
}

// expire closes a connection if it is still idle since timer was started. A
// connection whose request has been read is never closed.
func (c *ConnCloser) expire(conn net.Conn, timer *clockwork.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[conn] != *timer {
		return
	}
	delete(c.timers, conn)
	// The server detects the closed connection; an error of Close has no
	// consequence.
	_ = conn.Close()
}
