package dcstandin

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Server serves a handler on one address. While it is down, connections are
// refused; it comes back on the same address. Set the exported fields before
// Start.
type Server struct {
	Handler http.Handler
	// Address is an IP address and port. The first Start replaces port 0 by the
	// port that the system chose.
	Address string
	// Connections limits the number of open connections; 0 means no limit.
	Connections int
	// ConnectTime delays the first read of each connection.
	ConnectTime time.Duration
	Clock       clockwork.Clock

	connections connections
	mu          sync.Mutex
	// http serves on listener. It is nil while the server is down.
	http     *http.Server
	listener net.Listener
	closed   bool
}

// rebindInterval is the time between attempts to listen on an address that
// another socket on the machine holds for a short time.
const rebindInterval = 50 * time.Millisecond

var errServerClosed = errors.New("server is closed; create a new one")

// Start listens, and serves in the background until Down or Close. It does
// nothing if the server is up.
func (s *Server) Start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { err = eris.Wrapf(err, "listen on %s", s.Address) }()
	if s.closed {
		return errServerClosed
	}
	if s.http != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.Address = listener.Addr().String()
	s.listener = listener
	s.http = &http.Server{Handler: s.Handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func(server *http.Server) { _ = server.Serve(s.newCappedListener(listener)) }(s.http)
	return nil
}

func (s *Server) newCappedListener(listener net.Listener) net.Listener {
	return &cappedListener{
		Listener:    listener,
		limit:       s.Connections,
		connectTime: s.ConnectTime,
		clock:       s.Clock,
		connections: &s.connections,
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Address
}

// Stats returns the connection counters.
func (s *Server) Stats() ConnectionStats {
	return s.connections.snapshot()
}

// Down closes the listener and every connection. It closes the listener itself
// too, because http.Server does not know the listener until Serve has begun.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	_ = s.listener.Close()
	_ = s.http.Close()
	s.http = nil
}

// Up listens again after Down. It retries every rebindInterval until the
// address is free or the server is closed.
func (s *Server) Up() {
	err := s.Start()
	if err == nil || errors.Is(err, errServerClosed) {
		return
	}
	s.Clock.AfterFunc(rebindInterval, s.Up)
}

// Close takes the server down for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Down()
}

// UpstreamServer is an Upstream with its own listener.
type UpstreamServer struct {
	*Upstream
	Server *Server
}

// NewUpstreamServer returns a server for an Upstream with the address,
// connection limit and connect time of its configuration. It does not listen
// yet.
func NewUpstreamServer(upstream *Upstream) *UpstreamServer {
	config := upstream.Config()
	server := &Server{
		Handler:     upstream,
		Address:     string(config.Address),
		Connections: config.Connections,
		ConnectTime: config.ConnectTime,
		Clock:       upstream.clock,
	}
	return &UpstreamServer{Upstream: upstream, Server: server}
}

// Start listens. From then on, going down closes the listener and a restart
// opens it again.
func (s *UpstreamServer) Start() error {
	if err := s.Server.Start(); err != nil {
		return err
	}
	s.attachListener(s.Server.Addr(), s.Server.Down, s.Server.Up)
	return nil
}

// Close ends running requests and closes the listener for good.
func (s *UpstreamServer) Close() {
	s.Upstream.Close()
	s.Server.Close()
}
