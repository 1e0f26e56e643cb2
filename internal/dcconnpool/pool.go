// Package dcconnpool is an HTTP/1.1 connection pool for upstream servers. It
// limits the connections to each server to this host's share, and records for
// each request whether any of it was written and whether a response arrived.
package dcconnpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	defaultConnectionLimit = 1
	defaultDialTimeout     = 2 * time.Second
	defaultIdleTimeout     = 60 * time.Second
	// maxIdleConnsPerServer is higher than any share of connections, so that
	// only the share limits the idle connections to a server.
	maxIdleConnsPerServer = 1 << 16
	// bufferBytes is the size of the read and write buffers of a connection.
	// The header and the body of a usual request or response fit into it.
	bufferBytes = 2 << 10
)

// MaxResponseHeaderBytes is the maximum size of the head of a response,
// including interim responses. The connection of a larger one is closed.
const MaxResponseHeaderBytes = 64 << 10

// Pool sends requests over persistent connections. Set the exported fields
// before the first call. It is safe for concurrent use.
type Pool struct {
	// Clock is also used by clients that embed the pool.
	Clock clockwork.Clock
	// DefaultLimit is the maximum number of connections to a server for which
	// SetLimit was not called; 1 when 0.
	DefaultLimit int
	// DialTimeout limits the time to open a connection, including the wait for
	// a free connection slot; 2 s when 0.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open; 60 s when 0.
	IdleTimeout time.Duration
	// Dialer opens connections.
	Dialer net.Dialer

	once      sync.Once
	transport *http.Transport
	servers   serverTable
}

// ConnectionStats describes the connections to one server.
type ConnectionStats struct {
	// Open is the number of connections that are open or being dialled; Limit
	// is the maximum.
	Open, Limit int
	// Dials counts the attempts to open a connection since the start of the
	// process, including failed ones.
	Dials int64
}

// SetLimit sets the maximum number of connections to a server, which is this
// host's share. If more are open, idle ones above the limit are closed at once,
// and each request that starts while there are too many closes its connection
// when it ends.
func (p *Pool) SetLimit(addr dcid.ServerAddr, limit int) {
	p.server(addr).setLimit(limit)
}

// ConnectionStats returns the current connection counts of a server.
func (p *Pool) ConnectionStats(addr dcid.ServerAddr) ConnectionStats {
	target := p.server(addr)
	open, limit := target.connections.usage()
	return ConnectionStats{Open: open, Limit: limit, Dials: target.dials.Load()}
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.roundTripper().CloseIdleConnections()
}

// Acquire waits until one more request may be in flight to the server, of which
// there are at most as many as connections. It fails with the error of ctx. The
// caller must call release when its request has ended.
func (p *Pool) Acquire(ctx context.Context, addr dcid.ServerAddr) (release func(), err error) {
	target := p.server(addr)
	if err := target.requests.acquire(ctx); err != nil {
		return nil, err
	}
	return target.requests.release, nil
}

// RoundTrip sends a request. The caller must have called Acquire. net/http
// retries a request on a new connection if a reused connection is closed before
// a response arrives; RoundTrip prevents that retry once any part of the request
// was written. The request is not sent on a connection of used, which RoundTrip
// closes instead; used may be nil. The Exchange is never nil.
func (p *Pool) RoundTrip(addr dcid.ServerAddr, request *http.Request, used *Connections) (*http.Response, *Exchange, error) {
	target := p.server(addr)
	ctx, cancel := context.WithCancelCause(request.Context())
	exchange := &Exchange{server: target, cancel: cancel, used: used, clock: p.Clock, startedAt: p.Clock.Now()}
	request = request.WithContext(exchange.trace(ctx))
	request.Close = target.overLimit()
	response, err := p.roundTripper().RoundTrip(request)
	return response, exchange, err
}

// Connections is the set of connections on which a request was sent. Two sends of a
// request have the same ID, so that on one connection a late copy of the answer to
// the first is not told from the answer to the second. The zero value is empty. It
// is safe for concurrent use.
type Connections struct {
	mu    sync.Mutex
	conns []*connection
}

// add adds a connection, or returns false if the set has it already. A nil set has
// no connections.
func (c *Connections) add(conn *connection) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.conns, conn) {
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// errAlreadySent cancels a request that net/http would otherwise send a second
// time.
var errAlreadySent = errors.New("the request was sent before")

var (
	// errInterimWithBody fails a request whose answer has a status below 200, but a
	// body.
	errInterimWithBody = errors.New("an answer with an interim status has a body")
	// errTooManyInterim fails a request with more interim answers than
	// MaxResponseHeaderBytes.
	errTooManyInterim = errors.New("the interim answers exceed the size limit")
)

// interimStatusBytes is the size of a status line and of the end of a head.
const interimStatusBytes = len("HTTP/1.1 102 \r\n\r\n")

// checkInterim returns a function that fails the request if an interim answer announces
// a body, which only final answers have (RFC 9110, section 15.2). The final answer would
// otherwise be waited for until the deadline. With such a function net/http does not
// limit the size of all interim answers, so that it does.
func checkInterim() func(int, textproto.MIMEHeader) error {
	size := 0
	return func(_ int, header textproto.MIMEHeader) error {
		if header.Get("Content-Length") != "" || header.Get("Transfer-Encoding") != "" {
			return errInterimWithBody
		}
		size += interimStatusBytes
		for name, values := range header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		if size > MaxResponseHeaderBytes {
			return errTooManyInterim
		}
		return nil
	}
}

// Exchange records the progress of one request and its response. It is safe for
// concurrent use.
type Exchange struct {
	server *server
	cancel context.CancelCauseFunc
	// conn is the connection that the request was assigned to; nil before that.
	conn atomic.Pointer[connection]
	// writesBefore is the number of writes of conn before this request.
	writesBefore atomic.Int64
	// used holds the connections that the request must not be assigned to, and
	// usedBefore is set if it was assigned to one.
	used            *Connections
	usedBefore      atomic.Bool
	dialled         atomic.Bool
	responseStarted atomic.Bool
	clock           clockwork.Clock
	startedAt       time.Time
	// waited is the time, in nanoseconds, until the request was assigned to conn.
	waited atomic.Int64
}

// Waited returns how long the request waited for a connection, 0 if it got none.
func (e *Exchange) Waited() time.Duration { return time.Duration(e.waited.Load()) }

// UsedBefore reports whether the request was assigned to a connection on which it
// had been sent before. That connection is closed, and a request for which Written
// is false may be sent again.
func (e *Exchange) UsedBefore() bool { return e.usedBefore.Load() }

// Dialled reports whether the request was sent on a new connection.
func (e *Exchange) Dialled() bool { return e.dialled.Load() }

// Written reports whether any part of the request may have been written. The
// transport closes the connection of a cancelled request before RoundTrip
// returns, so a request for which Written is false by then is never written.
func (e *Exchange) Written() bool {
	conn := e.conn.Load()
	return conn != nil && conn.writes.Load() > e.writesBefore.Load()
}

// ResponseStarted reports whether the first byte of a response was received.
func (e *Exchange) ResponseStarted() bool { return e.responseStarted.Load() }

// Discard closes the connection of the request, so that it is not reused.
func (e *Exchange) Discard() {
	if conn := e.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// trace returns a context whose client trace updates e.
func (e *Exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: checkInterim(),
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*connection)
			// A second connection after a write means a retry by net/http.
			if !ok || e.Written() {
				e.cancel(errAlreadySent)
				_ = info.Conn.Close()
				return
			}
			if !e.used.add(conn) {
				e.usedBefore.Store(true)
				_ = conn.Close()
				return
			}
			e.writesBefore.Store(conn.writes.Load())
			e.waited.Store(int64(e.clock.Since(e.startedAt)))
			e.conn.Store(conn)
			e.dialled.Store(!info.Reused)
			e.server.setIdle(conn, false)
		},
		PutIdleConn: func(err error) {
			if conn := e.conn.Load(); conn != nil && err == nil {
				e.server.setIdle(conn, true)
			}
		},
		GotFirstResponseByte: func() { e.responseStarted.Store(true) },
	})
}

// server returns the state of a server.
func (p *Pool) server(addr dcid.ServerAddr) *server {
	return p.servers.get(addr, positiveOr(p.DefaultLimit, defaultConnectionLimit))
}

func (p *Pool) dialTimeout() time.Duration { return positiveOr(p.DialTimeout, defaultDialTimeout) }

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// roundTripper returns the transport and creates it on the first call.
func (p *Pool) roundTripper() *http.Transport {
	p.once.Do(func() {
		p.transport = &http.Transport{
			DialContext:            p.dial,
			MaxIdleConnsPerHost:    maxIdleConnsPerServer,
			IdleConnTimeout:        positiveOr(p.IdleTimeout, defaultIdleTimeout),
			DisableCompression:     true,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
			MaxResponseHeaderBytes: MaxResponseHeaderBytes,
		}
	})
	return p.transport
}
