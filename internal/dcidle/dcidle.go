// Package dcidle closes the connections of callers that send no request for
// longer than the configuration allows. net/http has one such limit for the
// life of a listener, but configurations change it.
package dcidle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ConnCloser closes idle connections. Set the exported fields before the first
// call.
type ConnCloser struct {
	// Timeout returns how long a connection may be idle from now on.
	Timeout func() time.Duration
	Clock   clockwork.Clock

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

// OnStateChange is the ConnState hook of an http.Server. A connection without a first
// request counts as idle.
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

// expire closes a connection that is still waiting with the same timer. A
// connection whose request has been read is never closed.
func (c *ConnCloser) expire(conn net.Conn, timer *clockwork.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[conn] != *timer {
		return
	}
	delete(c.timers, conn)
	// The server notices the end of the connection; there is nobody to tell.
	_ = conn.Close()
}
