package dcconnpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const serverShards = 64

// server holds the limits and connections of one upstream server.
type server struct {
	requests    semaphore
	connections semaphore
	dials       atomic.Int64

	mu   sync.Mutex
	open map[*connection]bool // true while idle
}

// connection gives its permit back once when it is closed.
type connection struct {
	net.Conn
	server *server
	once   sync.Once
	// writes counts the writes that may have sent anything.
	writes atomic.Int64
}

// Write counts before it writes, because a write can be cut off at any point.
func (c *connection) Write(content []byte) (int, error) {
	c.writes.Add(1)
	count, err := c.Conn.Write(content)
	if count == 0 && err != nil {
		c.writes.Add(-1)
	}
	return count, err
}

// Close closes the connection and returns its permit.
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

func (s *server) setIdle(conn *connection, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[conn]; open {
		s.open[conn] = idle
	}
}

// setLimit changes the share of connections and closes idle connections above
// it. A request that picks a connection while it is closed has written nothing
// and fails with that proof.
func (s *server) setLimit(limit int) {
	s.requests.setLimit(limit)
	s.connections.setLimit(limit)
	for _, conn := range s.excessIdle(limit) {
		_ = conn.Close()
	}
}

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

// overLimit reports whether more connections are open than the share allows,
// so that the next request closes its connection when it ends.
func (s *server) overLimit() bool {
	used, limit := s.connections.usage()
	return used > limit
}

type serverShard struct {
	mu      sync.Mutex
	servers map[dcid.ServerAddr]*server
}

type serverTable [serverShards]serverShard

// get returns the state of a server and creates it with the given limit.
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

// dial opens a counted connection within the server's share. It waits while
// the share is used up by connections that are about to close.
func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	target := p.server(dcid.ServerAddr(address))
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	if err := target.connections.acquire(ctx); err != nil {
		return nil, err
	}
	target.dials.Add(1)
	raw, err := p.Dialer.DialContext(ctx, network, address)
	if err != nil {
		target.connections.release()
		return nil, err
	}
	tracked := &connection{Conn: raw, server: target}
	target.mu.Lock()
	target.open[tracked] = false
	target.mu.Unlock()
	return tracked, nil
}
