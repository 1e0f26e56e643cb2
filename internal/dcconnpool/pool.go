// Package dcconnpool keeps connections to upstream servers within this host's
// share of each server, and records how far a request came.
package dcconnpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// maxIdleConnsPerServer does not restrict anything: the server's share does.
	maxIdleConnsPerServer = 1 << 16
	// bufferBytes holds the head and the body of a usual request or answer.
	bufferBytes = 2 << 10
)

// Pool sends requests over kept connections. Set the exported fields before
// the first call.
type Pool struct {
	Clock clockwork.Clock
	// DefaultLimit is the share of connections to a server for which SetLimit
	// was not called; 1 when 0.
	DefaultLimit int
	// DialTimeout limits the time to open a connection; 2 s when 0.
	DialTimeout time.Duration
	// IdleTimeout closes connections that are not used; 60 s when 0.
	IdleTimeout time.Duration
	// Dialer opens connections.
	Dialer net.Dialer

	once      sync.Once
	transport *http.Transport
	servers   serverTable
}

// ConnectionStats is the use of the share of one server.
type ConnectionStats struct {
	Open, Limit int
	// Dials counts connections opened or refused since the start.
	Dials int64
}

// SetLimit sets this host's share of the connections to a server. Connections
// above a lower share close when their request ends, idle ones at once.
func (p *Pool) SetLimit(addr dcid.ServerAddr, limit int) {
	p.server(addr).setLimit(limit)
}

// ConnectionStats returns the use of a server's share.
func (p *Pool) ConnectionStats(addr dcid.ServerAddr) ConnectionStats {
	target := p.server(addr)
	open, limit := target.connections.usage()
	return ConnectionStats{Open: open, Limit: limit, Dials: target.dials.Load()}
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.roundTripper().CloseIdleConnections()
}

// Acquire waits for a turn to use the server. The caller calls release when
// its request has ended.
func (p *Pool) Acquire(ctx context.Context, addr dcid.ServerAddr) (release func(), err error) {
	target := p.server(addr)
	if err := target.requests.acquire(ctx); err != nil {
		return nil, err
	}
	return target.requests.release, nil
}

// RoundTrip sends a request once Acquire has returned. net/http would send a
// request again by itself if a kept connection ends before an answer. That is
// prevented once any of the request was written.
func (p *Pool) RoundTrip(addr dcid.ServerAddr, request *http.Request) (*http.Response, *Exchange, error) {
	target := p.server(addr)
	ctx, cancel := context.WithCancelCause(request.Context())
	exchange := &Exchange{server: target, cancel: cancel}
	request = request.WithContext(exchange.trace(ctx))
	request.Close = target.overLimit()
	answer, err := p.roundTripper().RoundTrip(request)
	return answer, exchange, err
}

// errAlreadySent ends a request that net/http would send a second time.
var errAlreadySent = errors.New("the request was sent before")

// Exchange records how far one request came.
type Exchange struct {
	server          *server
	cancel          context.CancelCauseFunc
	conn            atomic.Pointer[connection]
	writesBefore    atomic.Int64
	dialled         atomic.Bool
	responseStarted atomic.Bool
}

// Dialled reports whether the request opened a connection.
func (e *Exchange) Dialled() bool { return e.dialled.Load() }

// Written reports whether any of the request may have been written. The
// transport closes a cancelled connection before it returns, so a request that
// is not marked as written by then is never written.
func (e *Exchange) Written() bool {
	conn := e.conn.Load()
	return conn != nil && conn.writes.Load() > e.writesBefore.Load()
}

// ResponseStarted reports whether an answer began to arrive.
func (e *Exchange) ResponseStarted() bool { return e.responseStarted.Load() }

// Discard closes the connection of the request, so that it is not used again.
func (e *Exchange) Discard() {
	if conn := e.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

func (e *Exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*connection)
			if !ok || e.Written() {
				e.cancel(errAlreadySent)
				_ = info.Conn.Close()
				return
			}
			e.writesBefore.Store(conn.writes.Load())
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

func (p *Pool) server(addr dcid.ServerAddr) *server {
	return p.servers.get(addr, positiveOr(p.DefaultLimit, defaultConnectionLimit))
}

func (p *Pool) dialTimeout() time.Duration { return positiveOr(p.DialTimeout, defaultDialTimeout) }

func positiveOr[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

func (p *Pool) roundTripper() *http.Transport {
	p.once.Do(func() {
		p.transport = &http.Transport{
			DialContext:         p.dial,
			MaxIdleConnsPerHost: maxIdleConnsPerServer,
			IdleConnTimeout:     positiveOr(p.IdleTimeout, defaultIdleTimeout),
			DisableCompression:  true,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		}
	})
	return p.transport
}
