package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beat = 1200 * time.Millisecond
	// healthPath is the health_path of all services.
	healthPath = "/health"
)

// serverIP is the address of all servers. Outgoing connections do not come from it, so
// that they do not take the port of a server that is about to start again.
var serverIP = fmt.Sprintf("127.%d.%d.100", 2+rand.IntN(200), 1+rand.IntN(250))

// server stands in for a server of a service. It keeps its address when it starts
// again, with a new ID, as a process that crashed does.
type server struct {
	service, zone, address string
	// run answers a request that has arrived and names this server. It is called in
	// the goroutine of its connection.
	run   func(s *server, x *exchange)
	store *store

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	lifetime int
}

// exchange is a request on a connection, with what is needed to answer it.
type exchange struct {
	id       string
	request  *http.Request
	body     []byte
	conn     net.Conn
	reader   *bufio.Reader
	serverID string
	// target is the request target as it was received.
	target string
	close  bool
}

func newServer(s *store, service, zone string, run func(*server, *exchange)) *server {
	created := &server{service: service, zone: zone, store: s, run: run}
	created.start()
	return created
}

// start begins a lifetime of the server.
func (s *server) start() {
	address := s.address
	if address == "" {
		address = serverIP + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		unable("a server cannot listen: %v", err)
	}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	s.born, s.state, s.listener, s.conns = time.Now().UnixMilli(), "ready", listener, map[net.Conn]bool{}
	s.lifetime++
	lifetime := s.lifetime
	s.mu.Unlock()
	note("server %s of %s starts at %s", s.id, s.service, s.address)
	s.register()
	go s.accept(listener, lifetime)
}

// register writes the entry of the server.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": 20,
		"state": s.state, "warmup_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	key := "servers/" + s.id
	s.mu.Unlock()
	s.store.put(key, entry)
}

func (s *server) accept(listener net.Listener, lifetime int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		current := s.lifetime == lifetime && s.conns != nil
		if current {
			s.conns[conn] = true
		}
		s.mu.Unlock()
		if !current {
			conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// readExchange reads a request with its body and its target as it was sent.
func readExchange(reader *bufio.Reader) (*exchange, error) {
	line, err := peekLine(reader)
	if err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var method, target string
	fmt.Sscanf(line, "%s %s", &method, &target)
	return &exchange{id: request.Header.Get("X-Request-Attempt-Id"), request: request, body: body, target: target}, nil
}

// peekLine returns the request line without taking it.
func peekLine(reader *bufio.Reader) (string, error) {
	if _, err := reader.Peek(1); err != nil {
		return "", err
	}
	for size := 64; size <= reader.Size(); size *= 2 {
		content, err := reader.Peek(size)
		for i, b := range content {
			if b == '\n' {
				return string(content[:i]), nil
			}
		}
		if err != nil {
			return "", err
		}
	}
	return "", io.ErrShortBuffer
}

func (s *server) serve(conn net.Conn) {
	defer s.drop(conn)
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		x, err := readExchange(reader)
		if err != nil {
			return
		}
		x.conn, x.reader, x.serverID = conn, reader, s.currentID()
		switch expected := x.request.Header.Get("X-Expected-Instance"); {
		case x.request.URL.Path == healthPath:
			x.answer(200, "X-Instance-Id: "+x.serverID+"\r\n", nil)
		case x.id == "":
			x.answer(400, "X-Not-Executed: 1\r\n", nil)
		case expected != "" && expected != x.serverID:
			x.answer(421, "X-Instance-Id: "+x.serverID+"\r\n", nil)
		default:
			s.run(s, x)
		}
		if x.close {
			return
		}
	}
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// answer writes an answer with a body of known length. The head ends with CRLF.
func (x *exchange) answer(status int, head string, body []byte) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), x.id, head, len(body))
	if _, err := x.conn.Write(append([]byte(text), body...)); err != nil {
		x.close = true
	}
}

// stamp returns the proof of an answer of this server to the request.
func (x *exchange) stamp() string { return x.serverID + "." + x.id }

func (x *exchange) succeed(body []byte) {
	x.answer(200, "X-Response-Stamp: "+x.stamp()+"\r\n", body)
}

func (s *server) drop(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// crash ends the process of the server: its connections are reset, and its entry
// disappears after three check-in intervals. It starts again after some seconds.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if s.conns == nil {
		s.mu.Unlock()
		return
	}
	id, conns := s.id, s.conns
	s.conns = nil
	s.lifetime++
	s.listener.Close()
	s.mu.Unlock()
	note("server %s of %s crashes", id, s.service)
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	time.AfterFunc(3*beat, func() { s.store.remove("servers/" + id) })
	if down > 0 {
		time.AfterFunc(down, s.start)
	}
}
