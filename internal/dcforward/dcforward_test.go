package dcforward

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcconnpool"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// fakeCodec uses short header names in place of those of the servers' protocol.
type fakeCodec struct{}

func (fakeCodec) Encode(header http.Header, request *Request, server dcbalance.Server, left time.Duration) {
	header.Set("Id", string(request.ID))
	header.Set("Server-Id", string(server.ID))
	header.Set("Left", left.String())
}

func (fakeCodec) Decode(response *http.Response, request *Request) ResponseMetadata {
	return ResponseMetadata{
		WrongRequest: response.Header.Get("Id") != string(request.ID),
		NotRun:       response.Header.Get("Not-Run") != "",
		Misdirected:  response.StatusCode == http.StatusMisdirectedRequest,
		Proof:        response.Header.Get("Proof"),
		RateLimit:    dcratelimit.ParseStatement(response.Header["Limit"]),
	}
}

// rawServer starts a server that writes the given answers, byte for byte, in
// response to its requests in turn; the last answer repeats. An answer that ends
// with "close" closes the connection, and "reset" resets it. requests counts the
// requests received.
func rawServer(t *testing.T, answers ...string) (server dcbalance.Server, requests *atomic.Int32) {
	t.Helper()
	requests = &atomic.Int32{}
	return listen(t, func(conn net.Conn) { serveRaw(conn, answers, requests) }), requests
}

// listen starts a server that calls serve for each connection.
func listen(t *testing.T, serve func(conn net.Conn)) dcbalance.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return dcbalance.Server{ID: "s1", Addr: dcid.ServerAddr(listener.Addr().String())}
}

func serveRaw(conn net.Conn, answers []string, requests *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		index := int(requests.Add(1)) - 1
		answer := answers[min(index, len(answers)-1)]
		if answer == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		text, closing := strings.CutSuffix(answer, "close")
		_, _ = io.WriteString(conn, text)
		if closing {
			return
		}
	}
}

// testTimeout ends a test that hangs. No verdict depends on it.
const testTimeout = time.Minute

func newClient(t *testing.T) *Client {
	t.Helper()
	client := &Client{Pool: &dcconnpool.Pool{Clock: clockwork.NewRealClock(), DefaultLimit: 4, DialTimeout: testTimeout}, Codec: fakeCodec{}}
	t.Cleanup(client.Pool.Close)
	return client
}

func newRequestFor(method, target string, body string) *Request {
	return &Request{ID: "r1", Method: method, Target: target, Host: "a.example", Header: http.Header{}, Body: []byte(body)}
}

func send(t *testing.T, client *Client, server dcbalance.Server, request *Request) Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return client.Send(ctx, server, request, time.Second)
}

const validResponse = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 2\r\n\r\nok"

// TestOutcomes guards against delivering a response that is incomplete, encoded
// or for another request, and against classifying a request as not run although
// it may have run.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   dcbalance.Outcome
	}{
		"complete":             {validResponse, dcbalance.Answered},
		"chunked":              {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", dcbalance.Answered},
		"ends with close":      {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\nokclose", dcbalance.Answered},
		"truncated":            {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 9\r\n\r\nokclose", dcbalance.Lost},
		"truncated chunks":     {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nokclose", dcbalance.Lost},
		"other request":        {"HTTP/1.1 200 OK\r\nId: r2\r\nProof: p\r\nContent-Length: 2\r\n\r\nok", dcbalance.Lost},
		"encoded":              {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", dcbalance.Lost},
		"no proof":             {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok", dcbalance.Lost},
		"not HTTP":             {"nonsense\r\n\r\nclose", dcbalance.Lost},
		"closed":               {"close", dcbalance.Lost},
		"reset":                {"reset", dcbalance.Lost},
		"failure":              {"HTTP/1.1 500 Oops\r\nId: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n", dcbalance.Failed},
		"refusal":              {"HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", dcbalance.Refused},
		"refusal, but may run": {"HTTP/1.1 503 Full\r\nId: r1\r\nContent-Length: 0\r\n\r\n", dcbalance.Failed},
		"too many, may run":    {"HTTP/1.1 429 Slow\r\nId: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n", dcbalance.Lost},
		"another server":       {"HTTP/1.1 421 Other\r\nId: r1\r\nContent-Length: 0\r\n\r\n", dcbalance.Misdirected},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := rawServer(t, c.answer)
			answer := send(t, newClient(t), server, newRequestFor(http.MethodGet, "/a", ""))
			if answer.Outcome != c.want {
				t.Errorf("outcome %d (%s, %v), want %d", answer.Outcome, answer.Code, answer.Err, c.want)
			}
			if c.want == dcbalance.Answered && string(answer.Body) != "ok" {
				t.Errorf("body %q, want \"ok\"", answer.Body)
			}
		})
	}
}

// TestRateLimit guards against a rate limit that is taken from a response of
// another server or to another request, and against one that is overlooked in a
// refusal or in a response that is cut short.
func TestRateLimit(t *testing.T) {
	named, none := dcratelimit.Statement{Kind: dcratelimit.Named, Rate: 20}, dcratelimit.Statement{}
	for name, c := range map[string]struct {
		answer string
		want   dcratelimit.Statement
	}{
		"complete":       {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nLimit: 20\r\nContent-Length: 2\r\n\r\nok", named},
		"failure":        {"HTTP/1.1 500 Oops\r\nId: r1\r\nProof: p\r\nLimit: 20\r\nContent-Length: 0\r\n\r\n", named},
		"refusal":        {"HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nLimit: 20\r\nContent-Length: 0\r\n\r\n", named},
		"cut short":      {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nLimit: 20\r\nContent-Length: 9\r\n\r\nokclose", named},
		"head cut short": {"HTTP/1.1 200 OK\r\nId: r1\r\nLimit: 20\r\nclose", none},
		"absent":         {validResponse, dcratelimit.Statement{Kind: dcratelimit.Absent}},
		"twice":          {"HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nLimit: 20\r\nLimit: 30\r\nContent-Length: 2\r\n\r\nok", dcratelimit.Statement{Kind: dcratelimit.Malformed}},
		"other request":  {"HTTP/1.1 200 OK\r\nId: r2\r\nProof: p\r\nLimit: 20\r\nContent-Length: 2\r\n\r\nok", none},
		"another server": {"HTTP/1.1 421 Other\r\nId: r1\r\nLimit: 20\r\nContent-Length: 0\r\n\r\n", none},
		"no answer":      {"close", none},
	} {
		server, _ := rawServer(t, c.answer)
		if answer := send(t, newClient(t), server, newRequestFor(http.MethodGet, "/a", "")); answer.RateLimit != c.want {
			t.Errorf("%s: %+v, want %+v", name, answer.RateLimit, c.want)
		}
	}
}

// TestSentOnce guards against net/http resending a request by itself after a
// reused connection broke. The budget of extra sends does not count such a
// resend, and a non-idempotent request would run twice.
func TestSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, broken := range []string{"reset", "close"} {
			server, requests := rawServer(t, validResponse, broken, validResponse)
			client := newClient(t)
			if first := send(t, client, server, newRequestFor(method, "/a", "")); first.Outcome != dcbalance.Answered {
				t.Fatalf("first answer: %v", first.Err)
			}
			second := send(t, client, server, newRequestFor(method, "/a", ""))
			if second.Outcome != dcbalance.Lost || requests.Load() != 2 {
				t.Errorf("%s, %s: outcome %d after %d requests", method, broken, second.Outcome, requests.Load())
			}
			if third := send(t, client, server, newRequestFor(method, "/a", "")); third.Outcome != dcbalance.Answered {
				t.Errorf("%s, %s: no answer afterwards: %v", method, broken, third.Err)
			}
		}
	}
}

// TestExtraResponse guards against a late response, which follows another one on
// the connection, being taken for the response to the next request.
func TestExtraResponse(t *testing.T) {
	late := strings.Replace(validResponse, "r1", "r0", 1)
	server, _ := rawServer(t, validResponse+late, validResponse)
	client := newClient(t)
	for i := range 4 {
		answer := send(t, client, server, newRequestFor(http.MethodGet, "/a", ""))
		if answer.Outcome == dcbalance.Answered && answer.Header.Get("Id") != "r1" {
			t.Errorf("request %d got the response to another request", i)
		}
	}
}

// TestLateCopyOfRefusal guards against taking the late copy of a refusal for the
// answer to the next send of the same request, which has the same ID: the request
// would be sent once more, or called not run, although it has run.
func TestLateCopyOfRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var ran atomic.Int32
		var refused atomic.Bool
		server := listen(t, func(conn net.Conn) {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for late := ""; ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, late)
				if refused.CompareAndSwap(false, true) {
					late = refusal
					_, _ = io.WriteString(conn, refusal)
					continue
				}
				ran.Add(1)
				_, _ = io.WriteString(conn, validResponse)
			}
		})
		client, request := newClient(t), newRequestFor(method, "/a", "body")
		if first := send(t, client, server, request); first.Outcome != dcbalance.Refused {
			t.Fatalf("%s: first outcome %d (%v), want refused", method, first.Outcome, first.Err)
		}
		second := send(t, client, server, request)
		if second.Outcome != dcbalance.Answered || ran.Load() != 1 {
			t.Errorf("%s: second outcome %d (%s, %v), want answered; the server ran it %d times", method, second.Outcome, second.Code, second.Err, ran.Load())
		}
	}
}

// TestUnreachable guards against classifying a request as run although no
// connection was opened.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	answer := send(t, newClient(t), dcbalance.Server{Addr: dcid.ServerAddr(addr)}, newRequestFor(http.MethodPost, "/a", "x"))
	if answer.Outcome != dcbalance.Unreachable {
		t.Errorf("outcome %d (%v), want unreachable", answer.Outcome, answer.Err)
	}
}

// TestForwardedUnchanged guards against changes to the method, target, host,
// header or body of a request.
func TestForwardedUnchanged(t *testing.T) {
	got := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				line, _ := reader.ReadString('\n')
				request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(line), reader)))
				if err != nil {
					got <- err.Error()
					return
				}
				body, _ := io.ReadAll(request.Body)
				_, agent := request.Header["User-Agent"]
				got <- strings.TrimSpace(line) + "|" + request.Host + "|" + request.Header.Get("X-Own") + "|" + string(body)
				if agent {
					got <- "a user agent was added"
				}
				// The connection is closed after this response, which the client
				// must know before it sends the next request.
				_, _ = io.WriteString(conn, strings.Replace(validResponse, "Id:", "Connection: close\r\nId:", 1))
			}()
		}
	}()
	client := newClient(t)
	server := dcbalance.Server{ID: "s1", Addr: dcid.ServerAddr(listener.Addr().String())}
	for _, target := range []string{"/a/%2Fb/../c;d?x=%20&&y", "/a//b", "//a/b?q", "/?"} {
		request := newRequestFor("PUT", target, "body")
		request.Header.Set("X-Own", "v")
		if answer := send(t, client, server, request); answer.Outcome != dcbalance.Answered {
			t.Fatalf("%s: %v", target, answer.Err)
		}
		if want := "PUT " + target + " HTTP/1.1|a.example|v|body"; want != <-got {
			t.Errorf("the request for %s was changed", target)
		}
	}
}

// floodServer starts a server that answers each request with prefix and then
// with filler without end. sent counts the bytes that it wrote, and closed
// receives a value each time that its peer has closed the connection.
func floodServer(t *testing.T, prefix, filler string, pause time.Duration) (server dcbalance.Server, sent *atomic.Int64, closed chan struct{}) {
	t.Helper()
	sent, closed = &atomic.Int64{}, make(chan struct{}, 64)
	return listen(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for chunk := prefix; ; chunk = filler {
			count, err := io.WriteString(conn, chunk)
			sent.Add(int64(count))
			if err != nil {
				closed <- struct{}{}
				return
			}
			time.Sleep(pause)
		}
	}), sent, closed
}

// socketBufferBytes is more than the sockets of both ends hold on loopback.
const socketBufferBytes = 8 << 20

// TestEndlessBytes guards against a server that sends bytes without end, in a
// head or in a body: a host must close the connection after a bounded number of
// bytes, must not keep them, and must not take them for an answer.
func TestEndlessBytes(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
	line := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct {
		prefix, filler string
		// limit is the number of bytes after which the host stops reading.
		limit int64
	}{
		"status line":         {"", line, dcconnpool.MaxResponseHeaderBytes},
		"header field":        {okHead + "Long: ", line, dcconnpool.MaxResponseHeaderBytes},
		"header fields":       {okHead, "F: " + line + "\r\n", dcconnpool.MaxResponseHeaderBytes},
		"interim responses":   {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), dcconnpool.MaxResponseHeaderBytes},
		"body to the close":   {okHead + "\r\n", line, maxResponseBytes},
		"body in chunks":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + line + "\r\n", maxResponseBytes},
		"chunk extension":     {okHead + "Transfer-Encoding: chunked\r\n\r\n8;", line, dcconnpool.MaxResponseHeaderBytes},
		"body with a length":  {okHead + "Content-Length: 9000000000000\r\n\r\n", line, 0},
		"trailer":             {okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: ", line, dcconnpool.MaxResponseHeaderBytes},
		"unread refused body": {"HTTP/1.1 200 OK\r\nId: r2\r\n\r\n", line, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, sent, closed := floodServer(t, c.prefix, c.filler, 0)
			answer := send(t, newClient(t), server, newRequestFor(http.MethodGet, "/a", ""))
			if answer.Outcome != dcbalance.Lost {
				t.Errorf("outcome %d (%s), want lost", answer.Outcome, answer.Code)
			}
			<-closed
			if got := sent.Load(); got > c.limit+socketBufferBytes {
				t.Errorf("the server sent %d bytes before the connection was closed, limit %d", got, c.limit)
			}
		})
	}
}

// TestEndlessBytesAfterResponse guards against a server that goes on sending
// after a complete response: the connection must be closed and not be used for
// the next request.
func TestEndlessBytesAfterResponse(t *testing.T) {
	// net/http logs the beginning of the bytes.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	server, sent, closed := floodServer(t, validResponse, strings.Repeat("x", 32<<10), 0)
	client := newClient(t)
	if answer := send(t, client, server, newRequestFor(http.MethodGet, "/a", "")); answer.Outcome != dcbalance.Answered || string(answer.Body) != "ok" {
		t.Errorf("outcome %d, body %q", answer.Outcome, answer.Body)
	}
	<-closed
	if got := sent.Load(); got > socketBufferBytes {
		t.Errorf("the server sent %d bytes before the connection was closed", got)
	}
	if answer := send(t, client, server, newRequestFor(http.MethodGet, "/a", "")); answer.Outcome != dcbalance.Answered {
		t.Errorf("second request: outcome %d (%v)", answer.Outcome, answer.Err)
	}
}

// TestSlowEndlessBytes guards against a server that sends a few bytes at a time
// without end: the time limit of the request must close the connection.
func TestSlowEndlessBytes(t *testing.T) {
	for _, prefix := range []string{"HTTP/1.1 200 OK\r\nLong: ", "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\n"} {
		server, sent, closed := floodServer(t, prefix, "x", time.Millisecond)
		// The time limit passes once the server has begun to send without end.
		ctx, cancel := context.WithCancelCause(t.Context())
		go func() {
			for sent.Load() <= int64(len(prefix)) && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel(context.DeadlineExceeded)
		}()
		answer := newClient(t).Send(ctx, server, newRequestFor(http.MethodGet, "/a", ""), time.Second)
		if answer.Outcome != dcbalance.Lost || answer.Code != dcreason.DeadlineExceeded {
			t.Errorf("outcome %d (%s), want lost at the deadline", answer.Outcome, answer.Code)
		}
		<-closed
	}
}

// TestEndlessBytesMemory guards against many endless bodies at the same time
// that take the memory of a host: together they may hold the limit of the client
// only, while small answers are still delivered.
func TestEndlessBytesMemory(t *testing.T) {
	const (
		requests  = 40
		heldLimit = 4 << 20
	)
	flood, _, _ := floodServer(t, "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\n", strings.Repeat("x", 32<<10), 0)
	sound, _ := rawServer(t, validResponse)
	client := newClient(t)
	client.Pool.SetLimit(flood.Addr, requests)
	client.MaxHeldBytes = heldLimit
	var floods sync.WaitGroup
	for range requests {
		floods.Go(func() {
			if answer := send(t, client, flood, newRequestFor(http.MethodGet, "/a", "")); answer.Outcome != dcbalance.Lost {
				t.Errorf("flood: outcome %d (%s, %v), want lost", answer.Outcome, answer.Code, answer.Err)
			}
		})
	}
	for range 20 {
		if answer := send(t, client, sound, newRequestFor(http.MethodGet, "/a", "")); answer.Outcome != dcbalance.Answered {
			t.Errorf("sound server: outcome %d (%v)", answer.Outcome, answer.Err)
		}
		if held := client.HeldBytes(); held > heldLimit {
			t.Errorf("%d bytes are held, limit %d", held, heldLimit)
		}
	}
	floods.Wait()
	if held := client.HeldBytes(); held != 0 {
		t.Errorf("%d bytes are held after the last answer", held)
	}
}
