package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an upstream server, as PROTOCOL.md describes it. Set the exported
// fields before Start.
type Server struct {
	World   *World
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	Work    time.Duration
	Address string
	// Broken, if set, may write an answer itself, instead of the sound one, to a
	// request that has run or was refused. It reports whether the connection ends.
	Broken func(conn *ServerConn, request *ServerRequest, answer []byte) (ends, handled bool)
	// Poison, if set, tells whether a request crashes the server.
	Poison func(request *ServerRequest) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	slots    chan struct{}
	waiting  int
	life     int
	state    string
	born     int64
	Crashes  int
}

// ServerConn is a connection of a server. Extra holds bytes that the server sends
// when it has read the next request, before the answer to that one.
type ServerConn struct {
	net.Conn
	Extra []byte
}

// ServerRequest is a request as a server received it.
type ServerRequest struct {
	ID, Method, Target, Expected, Deadline string
	Body                                   []byte
	Conn                                   string
	// Ran is set once the server has begun to work on it.
	Ran bool
}

// Start listens, and registers the server in the store.
func (s *Server) Start() error {
	address := s.Address
	if address == "" {
		address = s.World.IP(200) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.Address, s.listener, s.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	s.slots = make(chan struct{}, s.Slots)
	s.waiting = 0
	s.life++
	s.mu.Unlock()
	go s.accept(listener, s.life)
	s.state, s.born = "ready", time.Now().UnixMilli()
	s.Register("ready")
	go s.beat(s.life)
	return nil
}

// beatInterval is heartbeat_interval_ms of the settings.
const beatInterval = 1200 * time.Millisecond

// beat writes the entry again when it is not what the server has written.
func (s *Server) beat(life int) {
	for range time.Tick(beatInterval) {
		s.mu.Lock()
		own, alive := mustJSON(s.Entry(s.state)), s.life == life
		s.mu.Unlock()
		if !alive {
			return
		}
		if !bytes.Equal(own, s.World.Store.Value("servers/"+s.ID)) {
			s.World.Store.Put("servers/"+s.ID, own)
		}
	}
}

// Entry is the entry of the server in the store.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "capacity": s.Slots, "state": state, "warmup_remaining_ms": 0, "sequence": 1, "born": s.born}
}

// Register writes the entry of the server.
func (s *Server) Register(state string) time.Time {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	return s.World.Store.Put("servers/"+s.ID, mustJSON(s.Entry(state)))
}

// Crash ends the server process: its connections are closed by the system.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.Crashes++
	s.life++
	s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) alive(life int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life == life
}

func (s *Server) accept(listener net.Listener, life int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.life != life {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(&ServerConn{Conn: conn}, life)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(conn *ServerConn, life int) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := &ServerRequest{
			ID: request.Header.Get("X-Request-Attempt-Id"), Method: request.Method, Target: request.RequestURI, Body: body,
			Expected: request.Header.Get("X-Expected-Instance"), Deadline: request.Header.Get("X-Deadline-Milliseconds"), Conn: conn.RemoteAddr().String(),
		}
		if conn.Extra != nil {
			s.World.Log("server", "%s sends an extra copy of an earlier answer at %s before its answer to %s", s.ID, got.Conn, got.ID)
			extra := conn.Extra
			conn.Extra = nil
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		answer := s.answer(got, life)
		if answer == nil || !s.alive(life) {
			return
		}
		if s.Broken != nil {
			if ends, handled := s.Broken(conn, got, answer); ends {
				return
			} else if handled {
				continue
			}
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer works on a request and returns the answer, nil if the server crashes.
func (s *Server) answer(request *ServerRequest, life int) []byte {
	switch {
	case request.Target == "/health":
		return response(200, request.ID, nil, "X-Instance-Id", s.ID)
	case request.Expected != "" && request.Expected != s.ID:
		return response(421, request.ID, nil, "X-Instance-Id", s.ID)
	case request.ID == "":
		return response(400, request.ID, nil, "X-Not-Executed", "1")
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.mu.Lock()
		if s.waiting >= s.Queue {
			s.mu.Unlock()
			s.World.Log("server", "%s refuses %s on %s (503, X-Not-Executed)", s.ID, request.ID, request.Conn)
			return response(503, request.ID, nil, "X-Not-Executed", "1")
		}
		s.waiting++
		s.mu.Unlock()
		s.slots <- struct{}{}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
	defer func() { <-s.slots }()
	if !s.alive(life) {
		return nil
	}
	request.Ran = true
	s.World.Ran(s, request)
	if s.Poison != nil && s.Poison(request) {
		return nil
	}
	time.Sleep(s.Work)
	body := fmt.Appendf(nil, "%s %s\n", s.ID, request.ID)
	return response(200, request.ID, body, "X-Response-Stamp", Stamp(s.ID, request.ID))
}

// Stamp is the proof of a server for a request.
func Stamp(server, request string) string {
	sum := sha256.Sum256([]byte(server + " " + request))
	return fmt.Sprintf("%x", sum[:8])
}

func response(status int, id string, body []byte, header ...string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nX-Request-Attempt-Id: %s\r\nKeep-Alive: timeout=20\r\nContent-Length: %d\r\n", status, http.StatusText(status), id, len(body))
	for i := 0; i < len(header); i += 2 {
		fmt.Fprintf(&text, "%s: %s\r\n", header[i], header[i+1])
	}
	text.WriteString("\r\n")
	text.Write(body)
	return text.Bytes()
}

func mustJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
