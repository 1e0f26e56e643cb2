package dcidle

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed atomic.Bool
}

// arrivingConn is a connection on which a request is arriving.
type arrivingConn struct {
	fakeConn
	arriving atomic.Bool
}

func (c *arrivingConn) CloseIdle() bool {
	c.closed.Store(!c.arriving.Load())
	return c.closed.Load()
}

func (c *fakeConn) Close() error {
	c.closed.Store(true)
	return nil
}

// TestOnStateChange guards against connections that stay open past the idle
// timeout, and against connections that are closed during a request or by the
// timeout of an earlier configuration, which a caller follows no more.
func TestOnStateChange(t *testing.T) {
	const (
		timeout = 10 * time.Second
		// unchanged is a step in which only the timeout changes.
		unchanged = http.ConnState(-1)
	)
	type step struct {
		state   http.ConnState
		wait    time.Duration
		timeout time.Duration
	}
	for name, c := range map[string]struct {
		steps  []step
		closed bool
	}{
		"idle too long":       {[]step{{http.StateNew, 0, timeout}, {http.StateActive, 0, timeout}, {http.StateIdle, timeout + 1, timeout}}, true},
		"no request":          {[]step{{http.StateNew, timeout + 1, timeout}}, true},
		"idle within timeout": {[]step{{http.StateNew, 0, timeout}, {http.StateIdle, timeout - 1, timeout}}, false},
		"long request":        {[]step{{http.StateNew, 0, timeout}, {http.StateActive, 3 * timeout, timeout}}, false},
		"used again":          {[]step{{http.StateIdle, timeout - 1, timeout}, {http.StateActive, timeout, timeout}, {http.StateIdle, timeout - 1, timeout}}, false},
		"closed by its peer":  {[]step{{http.StateIdle, 0, timeout}, {http.StateClosed, 2 * timeout, timeout}}, false},
		"timeout was raised":  {[]step{{http.StateIdle, 1, timeout}, {http.StateActive, 1, timeout}, {http.StateIdle, timeout + 1, 2 * timeout}}, false},
		"timeout is raised":   {[]step{{http.StateIdle, timeout / 2, timeout}, {unchanged, timeout, 2 * timeout}}, false},
		"past raised timeout": {[]step{{http.StateIdle, timeout / 2, timeout}, {unchanged, 2 * timeout, 2 * timeout}}, true},
		"timeout was lowered": {[]step{{http.StateIdle, 1, timeout}, {http.StateActive, 1, timeout}, {http.StateIdle, timeout / 2, timeout / 2}}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var current atomic.Int64
			closer := &ConnCloser{Timeout: func() time.Duration { return time.Duration(current.Load()) }, Clock: clockwork.NewRealClock()}
			conn := &fakeConn{}
			for _, step := range c.steps {
				current.Store(int64(step.timeout))
				if step.state != unchanged {
					closer.OnStateChange(conn, step.state)
				}
				time.Sleep(step.wait)
				synctest.Wait()
			}
			if conn.closed.Load() != c.closed {
				t.Errorf("%s: closed %v", name, conn.closed.Load())
			}
			closer.OnStateChange(conn, http.StateClosed)
		})
	}
}

// TestArrivingRequest guards against a connection that is closed while a request is
// arriving, and against one that then stays open for ever.
func TestArrivingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 10 * time.Second
		closer := &ConnCloser{Timeout: func() time.Duration { return timeout }, Clock: clockwork.NewRealClock()}
		conn := &arrivingConn{}
		conn.arriving.Store(true)
		closer.OnStateChange(conn, http.StateIdle)
		time.Sleep(2 * timeout)
		synctest.Wait()
		if conn.closed.Load() {
			t.Error("closed while a request was arriving")
		}
		conn.arriving.Store(false)
		time.Sleep(2 * retryPause)
		synctest.Wait()
		if !conn.closed.Load() {
			t.Error("not closed after the request had not arrived")
		}
	})
}
