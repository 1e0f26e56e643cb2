// Package dclistener runs an HTTP/1.1 server that can stop under load without
// cutting off a request. http.Server.Shutdown closes a connection without an
// answer when it reads a request after the shutdown has begun, which hits the
// requests of connections that were just accepted. It also closes connections that
// it takes for idle because the head of their request has not arrived whole.
package dclistener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcintake"
)

const (
	// acceptTime is how long connections are still accepted after Drain was
	// called, so that those waiting to be accepted at that time are.
	acceptTime = 20 * time.Millisecond
	// newConnectionTime is how long Drain waits for the first request on a
	// connection.
	newConnectionTime = time.Second
	// pollInterval is the time between two checks of whether all connections have
	// ended.
	pollInterval = 5 * time.Millisecond
)

// Server is an HTTP server with its listener. Set the exported fields before
// Serve.
type Server struct {
	*http.Server
	Listener *net.TCPListener
	Clock    clockwork.Clock
	// Intake limits what the clients may take; no limit if nil.
	Intake *dcintake.Listener

	// aheadSlots is the number of requests that run although they were sent ahead.
	aheadSlots atomic.Int64
	draining   atomic.Bool
	// acceptEnded is closed when Serve accepts no more connections.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once

	mu    sync.Mutex
	conns map[*Conn]*connState
}

// connState is the state of an open connection.
type connState struct {
	http.ConnState
	acceptedAt time.Time
}

// Serve accepts connections until Drain or Close is called, and then returns
// http.ErrServerClosed. It must be called once.
func (s *Server) Serve() error {
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		s.track(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		s.serveLimited(handler, w, r)
	})
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	defer close(s.acceptEnd())
	return s.Server.Serve(acceptor{TCPListener: s.Listener, draining: &s.draining, clock: s.Clock, intake: s.Intake})
}

func (s *Server) acceptEnd() chan struct{} {
	s.acceptEndedOnce.Do(func() { s.acceptEnded = make(chan struct{}) })
	return s.acceptEnded
}

// Drain stops to accept connections, answers the requests of those that were
// accepted, each with a request to close the connection, and returns when all are
// answered and the connections are closed. Connections without a request stay open
// until then, so that a request that arrives meanwhile is answered. Drain fails
// with the error of ctx if that ends first, and may be called again then.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	// The deadline is one of the system, not of the clock of the server.
	if err := s.Listener.SetDeadline(time.Now().Add(acceptTime)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	// Until then a connection may be accepted that is not tracked yet.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.acceptEnd():
	}
	ticker := s.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.hasRequests() || !s.closeIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
	return nil
}

// track records the state of a connection.
func (s *Server) track(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns == nil {
			s.conns = make(map[*Conn]*connState)
		}
		s.conns[conn] = &connState{state, s.Clock.Now()}
	case http.StateActive, http.StateIdle:
		s.conns[conn].ConnState = state
		if state == http.StateIdle {
			conn.endRequest()
		}
	default:
		delete(s.conns, conn)
	}
}

// hasRequests reports whether a request is in progress or arriving, or may still
// arrive on a connection that was accepted lately.
func (s *Server) hasRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		switch {
		case state.ConnState == http.StateActive, conn.Arriving():
			return true
		case state.ConnState == http.StateNew && s.Clock.Since(state.acceptedAt) < newConnectionTime:
			return true
		}
	}
	return false
}

// closeIdle closes the connections without a request, and reports whether all
// connections are closed.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := true
	for conn, state := range s.conns {
		closed = state.ConnState != http.StateActive && conn.CloseIdle() && closed
	}
	return closed
}

// acceptor accepts connections until the deadline that Drain sets.
type acceptor struct {
	*net.TCPListener
	draining *atomic.Bool
	clock    clockwork.Clock
	intake   *dcintake.Listener
}

// Accept implements net.Listener. While the listener has too many connections and none
// of them can be ended, it waits, and the system keeps further ones.
func (a acceptor) Accept() (net.Conn, error) {
	accepted, err := a.AcceptTCP()
	if err != nil {
		if a.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	conn := &Conn{TCPConn: accepted, clock: a.clock}
	if a.intake == nil {
		return conn, nil
	}
	conn.client = a.intake.Add(a.clock.Now(), conn.interrupt)
	for !conn.client.MakeRoom(a.clock.Now()) && !a.draining.Load() {
		a.clock.Sleep(pollInterval)
	}
	return conn, nil
}
