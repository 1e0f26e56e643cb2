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

// Closer closes idle connections. Set the exported fields before the first
// call.
type Closer struct {
	// Limit returns how long a connection may be idle from now on.
	Limit func() time.Duration
	Clock clockwork.Clock

	mu   sync.Mutex
	idle map[net.Conn]clockwork.Timer
}

// Track is the ConnState hook of an http.Server. A connection without a first
// request counts as idle.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.idle[conn]; timer != nil {
		timer.Stop()
		delete(c.idle, conn)
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if c.idle == nil {
		c.idle = make(map[net.Conn]clockwork.Timer)
	}
	var timer clockwork.Timer
	timer = c.Clock.AfterFunc(c.Limit(), func() { c.expire(conn, &timer) })
	c.idle[conn] = timer
}

// expire closes a connection that is still waiting with the same timer. A
// connection whose request has been read is never closed.
func (c *Closer) expire(conn net.Conn, timer *clockwork.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[conn] != *timer {
		return
	}
	delete(c.idle, conn)
	// The server notices the end of the connection; there is nobody to tell.
	_ = conn.Close()
}
