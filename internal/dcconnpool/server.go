package dcconnpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// serverShards is the number of locks over which servers are spread.
const serverShards = 64

// server holds the limits and the open connections of one upstream server.
type server struct {
	// requests limits the requests in flight, connections the open connections
	// and dials in progress. Both have the same limit.
	requests    semaphore
	connections semaphore
	dials       atomic.Int64

	mu sync.Mutex
	// open maps each open connection to whether it is idle.
	open map[*connection]bool
}

// connection is a connection that releases its permit when it is first closed.
type connection struct {
	net.Conn
	server *server
	once   sync.Once
	// writes counts the calls of Write that may have sent any byte.
	writes atomic.Int64
}

// Write writes to the connection. It counts the write beforehand, because a
// write can be interrupted at any point, and takes the count back only if the
// write failed without sending a byte.
func (c *connection) Write(data []byte) (int, error) {
	c.writes.Add(1)
	count, err := c.Conn.Write(data)
	if count == 0 && err != nil {
		c.writes.Add(-1)
	}
	return count, err
}

// Close closes the connection and releases its permit. It may be called more
// than once.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.server.mu.Lock()
		delete(c.server.open, c)
		c.server.mu.Unlock()
		c.server.connections.release()
	})
	return err
}

// setIdle records whether an open connection is idle.
func (s *server) setIdle(conn *connection, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[conn]; open {
		s.open[conn] = idle
	}
}

// setLimit changes the connection limit and closes idle connections above it.
// A request that is assigned to a connection while it is being closed fails with
// nothing written, so it is known not to have run.
func (s *server) setLimit(limit int) {
	s.requests.setLimit(limit)
	s.connections.setLimit(limit)
	for _, conn := range s.excessIdle(limit) {
		_ = conn.Close()
	}
}

// excessIdle returns idle connections to close so that at most limit
// connections stay open, as far as there are idle ones.
func (s *server) excessIdle(limit int) (excess []*connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	surplus := len(s.open) - limit
	for conn, idle := range s.open {
		if len(excess) >= surplus {
			break
		}
		if idle {
			excess = append(excess, conn)
		}
	}
	return excess
}

// overLimit reports whether more connections are open than the limit allows, in
// which case the next request closes its connection when it ends.
func (s *server) overLimit() bool {
	used, limit := s.connections.usage()
	return used > limit
}

// serverShard holds the servers of one shard of serverTable.
type serverShard struct {
	mu      sync.Mutex
	servers map[dcid.ServerAddr]*server
}

// serverTable maps addresses to servers. It is sharded to reduce lock
// contention; its zero value is empty.
type serverTable [serverShards]serverShard

// get returns the state of a server. If there is none, it creates one with the
// given limit.
func (t *serverTable) get(addr dcid.ServerAddr, limit int) *server {
	shard := &t[xxhash.Sum64String(string(addr))%serverShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found, ok := shard.servers[addr]; ok {
		return found
	}
	if shard.servers == nil {
		shard.servers = map[dcid.ServerAddr]*server{}
	}
	created := &server{open: map[*connection]bool{}}
	created.requests.limit = limit
	created.connections.limit = limit
	shard.servers[addr] = created
	return created
}

// dial opens a connection to a server within its connection limit. While the
// limit is reached, by connections that are about to be closed, it waits until
// one is closed, the dial times out or ctx is done.
func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	target := p.server(dcid.ServerAddr(address))
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	if err := target.connections.acquire(ctx); err != nil {
		return nil, err
	}
	target.dials.Add(1)
	conn, err := p.Dialer.DialContext(ctx, network, address)
	if err != nil {
		target.connections.release()
		return nil, err
	}
	tracked := &connection{Conn: conn, server: target}
	target.mu.Lock()
	target.open[tracked] = false
	target.mu.Unlock()
	return tracked, nil
}
