package dcstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ConnectionStats holds the connection counters of a server.
type ConnectionStats struct {
	// Open is the number of connections that are open now, Peak the largest so
	// far.
	Open int `json:"open"`
	Peak int `json:"peak"`
	// Accepted counts connections within the limit, Excess those above it,
	// which were closed at once.
	Accepted int `json:"accepted"`
	Excess   int `json:"excess"`
}

// connections counts the connections of all listeners that a server has had.
type connections struct {
	mu    sync.Mutex
	stats ConnectionStats
}

// open counts a new connection and reports whether it is within the limit. A
// limit of 0 means no limit.
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

// cappedListener closes connections above its limit at once.
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
		// A reset shows the refusal to the client at once, without a wait on a
		// half-open connection.
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

// countedConn counts as open until it is closed, and delays its first read
// until the connect time has passed.
type countedConn struct {
	net.Conn
	connections *connections
	// ready fires when the connect time has passed; nil without a connect time.
	ready <-chan time.Time
	// waited is set by the first read.
	waited atomic.Bool
	once   sync.Once
	// closed ends a wait in Read when the connection is closed.
	closed chan struct{}
}

// Read waits for the rest of the connect time before the first read.
func (c *countedConn) Read(buffer []byte) (int, error) {
	if c.ready != nil && !c.waited.Swap(true) {
		select {
		case <-c.ready:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Read(buffer)
}

// Close closes the connection, which then no longer counts as open.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.connections.close()
	})
	return c.Conn.Close()
}
