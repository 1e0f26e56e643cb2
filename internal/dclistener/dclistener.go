// Package dclistener runs an HTTP/1.1 server that can stop under load without
// cutting off a request. http.Server.Shutdown closes a connection without an
// answer when it reads a request after the shutdown has begun, which hits the
// requests of connections that were just accepted.
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

	draining atomic.Bool
	// acceptEnded is closed when Serve accepts no more connections.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once

	mu sync.Mutex
	// busy holds the connections with a request in progress, and those without a
	// first request together with the time at which they were accepted.
	busy map[net.Conn]time.Time
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
	defer close(s.acceptEnd())
	return s.Server.Serve(acceptor{TCPListener: s.Listener, draining: &s.draining})
}

func (s *Server) acceptEnd() chan struct{} {
	s.acceptEndedOnce.Do(func() { s.acceptEnded = make(chan struct{}) })
	return s.acceptEnded
}

// Drain stops to accept connections, answers the requests of those that were
// accepted, each with a request to close the connection, and returns when all
// are answered. It fails with the error of ctx if that ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	// The deadline is one of the system, not of the clock of the server.
	if err := s.Listener.SetDeadline(time.Now().Add(acceptTime)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.SetKeepAlivesEnabled(false)
	// Until then a connection may be accepted that is not tracked yet.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.acceptEnd():
	}
	ticker := s.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.hasRequests() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
	return nil
}

// track records the state of a connection.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.busy == nil {
			s.busy = make(map[net.Conn]time.Time)
		}
		s.busy[conn] = s.Clock.Now()
	case http.StateActive:
		s.busy[conn] = time.Time{}
	default:
		delete(s.busy, conn)
	}
}

// hasRequests reports whether a request is in progress or may still arrive on a
// connection that was accepted lately.
func (s *Server) hasRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, accepted := range s.busy {
		if accepted.IsZero() || s.Clock.Since(accepted) < newConnectionTime {
			return true
		}
	}
	return false
}

// acceptor accepts connections until the deadline that Drain sets.
type acceptor struct {
	*net.TCPListener
	draining *atomic.Bool
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	conn, err := a.TCPListener.Accept()
	if err != nil && a.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, http.ErrServerClosed
	}
	return conn, err
}
