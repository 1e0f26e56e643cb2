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

func (c *fakeConn) Close() error {
	c.closed.Store(true)
	return nil
}

// TestOnStateChange guards against connections that stay open past the idle
// timeout, and against connections that are closed during a request or by the
// timeout of an earlier configuration.
func TestOnStateChange(t *testing.T) {
	const limit = 10 * time.Second
	type step struct {
		state http.ConnState
		wait  time.Duration
		limit time.Duration
	}
	for name, c := range map[string]struct {
		steps  []step
		closed bool
	}{
		"idle too long":          {[]step{{http.StateNew, 0, limit}, {http.StateActive, 0, limit}, {http.StateIdle, limit + 1, limit}}, true},
		"never a request":        {[]step{{http.StateNew, limit + 1, limit}}, true},
		"idle within limit":      {[]step{{http.StateNew, 0, limit}, {http.StateIdle, limit - 1, limit}}, false},
		"long request":           {[]step{{http.StateNew, 0, limit}, {http.StateActive, 3 * limit, limit}}, false},
		"used again":             {[]step{{http.StateIdle, limit - 1, limit}, {http.StateActive, limit, limit}, {http.StateIdle, limit - 1, limit}}, false},
		"closed by its peer":     {[]step{{http.StateIdle, 0, limit}, {http.StateClosed, 2 * limit, limit}}, false},
		"limit has risen":        {[]step{{http.StateIdle, 1, limit}, {http.StateActive, 1, limit}, {http.StateIdle, limit + 1, 2 * limit}}, false},
		"limit has been lowered": {[]step{{http.StateIdle, 1, limit}, {http.StateActive, 1, limit}, {http.StateIdle, limit / 2, limit / 2}}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var current atomic.Int64
			closer := &ConnCloser{Timeout: func() time.Duration { return time.Duration(current.Load()) }, Clock: clockwork.NewRealClock()}
			conn := &fakeConn{}
			for _, step := range c.steps {
				current.Store(int64(step.limit))
				closer.OnStateChange(conn, step.state)
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
