package dclistener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func newServer(t *testing.T, handler http.HandlerFunc) (server *Server, accepted *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = &atomic.Int64{}
	server = &Server{
		Server: &http.Server{Handler: handler, ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted.Add(1)
			}
		}},
		Listener: listener.(*net.TCPListener),
		Clock:    clockwork.NewRealClock(),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Errorf("Serve returned %v", err)
		}
	})
	return server, accepted
}

// TestDrainUnderLoad guards against requests that are cut off by a stop although
// their connection was accepted. Callers open a connection for each request
// until the server accepts no more; each accepted connection must have brought
// an answer.
func TestDrainUnderLoad(t *testing.T) {
	const (
		callers = 32
		rounds  = 10
	)
	for range rounds {
		server, accepted := newServer(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})
		var answered atomic.Int64
		var running sync.WaitGroup
		for range callers {
			running.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				for {
					response, err := client.Get("http://" + server.Listener.Addr().String())
					if err != nil {
						return
					}
					response.Body.Close()
					answered.Add(1)
				}
			})
		}
		for answered.Load() < callers {
			time.Sleep(time.Millisecond)
		}
		if err := server.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		server.Close()
		running.Wait()
		if accepted.Load() != answered.Load() {
			t.Fatalf("%d connections were accepted, %d requests were answered", accepted.Load(), answered.Load())
		}
	}
}

// TestDrainConnections guards against a stop that cuts off a running request,
// that waits for connections without a request, or that does not end at its
// time limit.
func TestDrainConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server, _ := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
	})
	address := "http://" + server.Listener.Addr().String()
	unused, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	kept := &http.Client{}
	response, err := kept.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	status := make(chan int, 1)
	go func() {
		response, err := http.Get(address + "/slow")
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	<-started
	short, cancel := context.WithTimeout(t.Context(), 2*newConnectionTime)
	defer cancel()
	if err := server.Drain(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained with %v while a request runs", err)
	}
	close(release)
	if err := server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d of the running request", got)
	}
}

// TestDrainPartialHead guards against a stop that closes a connection on which a
// request has begun to arrive: the connection counts as idle for net/http until
// the whole head has been read, and the request ends without an answer.
func TestDrainPartialHead(t *testing.T) {
	const head, rest = "GET / HTTP/1.1\r\nHost: a", "\r\n\r\n"
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			server, _ := newServer(t, func(http.ResponseWriter, *http.Request) {})
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if kept {
				exchange(t, conn, reader, head+rest)
			}
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			drained := make(chan error, 1)
			go func() { drained <- server.Drain(t.Context()) }()
			awaitListenerClosed(server)
			if response := exchange(t, conn, reader, rest); !response.Close {
				t.Error("the answer does not close the connection")
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDrainKeptConnection guards against a stop that closes a kept connection while
// another request still runs: a request that arrives on it must be answered.
func TestDrainKeptConnection(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server, _ := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
	})
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 2 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns, readers = append(conns, conn), append(readers, bufio.NewReader(conn))
	}
	exchange(t, conns[0], readers[0], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := io.WriteString(conns[1], "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	awaitListenerClosed(server)
	if response := exchange(t, conns[0], readers[0], "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); !response.Close {
		t.Error("the answer during the stop does not close the connection")
	}
	close(release)
	if response := exchange(t, conns[1], readers[1], ""); response.StatusCode != http.StatusOK {
		t.Errorf("status %d of the running request", response.StatusCode)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// awaitListenerClosed waits until the server accepts no more connections, which is
// after Drain has begun.
func awaitListenerClosed(server *Server) {
	for {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			return
		}
		conn.Close()
	}
}

// exchange writes text to a connection and returns the response that follows.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// connPair returns a Conn and its peer.
func connPair(t *testing.T) (conn *Conn, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn = &Conn{TCPConn: accepted.(*net.TCPConn), clock: clockwork.NewRealClock()}
	t.Cleanup(func() {
		conn.Close()
		peer.Close()
	})
	return conn, peer
}

// TestCloseIdle guards against a connection that is closed as idle although bytes
// of a request have arrived, also while the process has not read them.
func TestCloseIdle(t *testing.T) {
	buffer := make([]byte, 64)
	for name, c := range map[string]struct {
		prepare func(conn *Conn, peer net.Conn)
		closed  bool
	}{
		"unused": {func(*Conn, net.Conn) {}, true},
		"bytes not read": {func(conn *Conn, peer net.Conn) {
			_, _ = io.WriteString(peer, "G")
			for !conn.hasUnreadBytes() {
				time.Sleep(time.Millisecond)
			}
		}, false},
		"bytes read": {func(conn *Conn, peer net.Conn) {
			_, _ = io.WriteString(peer, "G")
			_, _ = conn.Read(buffer)
		}, false},
		"answered": {func(conn *Conn, peer net.Conn) {
			_, _ = io.WriteString(peer, "GET")
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte("HTTP"))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connPair(t)
			c.prepare(conn, peer)
			if closed := conn.CloseIdle(); closed != c.closed {
				t.Errorf("closed %v", closed)
			}
			if !c.closed {
				return
			}
			if count, err := conn.Read(buffer); count != 0 || !errors.Is(err, net.ErrClosed) {
				t.Errorf("read %d bytes after the close, error %v", count, err)
			}
		})
	}
}
