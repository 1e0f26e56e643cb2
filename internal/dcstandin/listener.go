package dcstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ConnectionStats counts the connections of a server.
type ConnectionStats struct {
	// Open is the number of connections now, Peak the largest so far.
	Open int `json:"open"`
	Peak int `json:"peak"`
	// Accepted counts connections within the cap, Excess those closed at once.
	Accepted int `json:"accepted"`
	Excess   int `json:"excess"`
}

// connections counts connections over all listeners that a server had.
type connections struct {
	mu    sync.Mutex
	stats ConnectionStats
}

func (c *connections) open(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.stats.Open >= limit {
		c.stats.Excess++
		return false
	}
	c.stats.Accepted++
	c.stats.Open++
	c.stats.Peak = max(c.stats.Peak, c.stats.Open)
	return true
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Open--
}

func (c *connections) snapshot() ConnectionStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// cappedListener closes connections over the limit at once.
type cappedListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	clock       clockwork.Clock
	connections *connections
}

// Accept returns the next connection within the limit.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.open(l.limit) {
			return l.wrap(conn), nil
		}
		// A reset makes the refusal visible at once, without a half-open wait.
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *cappedListener) wrap(conn net.Conn) net.Conn {
	counted := &countedConn{Conn: conn, connections: l.connections, closed: make(chan struct{})}
	if l.connectTime > 0 {
		counted.ready = l.clock.After(l.connectTime)
	}
	return counted
}

// countedConn gives its place free when it is closed, and delays its first
// read by the connect time.
type countedConn struct {
	net.Conn
	connections *connections
	ready       <-chan time.Time
	waited      atomic.Bool
	once        sync.Once
	closed      chan struct{}
}

// Read waits out the connect time before the first read.
func (c *countedConn) Read(into []byte) (int, error) {
	if c.ready != nil && !c.waited.Swap(true) {
		select {
		case <-c.ready:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Read(into)
}

// Close closes the connection and gives its place free.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.connections.close()
	})
	return c.Conn.Close()
}
