package dclistener

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcintake"
)

const (
	// bodyStallTime is how long no byte of a body may arrive. It exceeds the time for
	// which callers keep an idle connection, and TCP sends lost segments again
	// meanwhile.
	bodyStallTime = 20 * time.Second
	// maxBodyTime limits the time in which a body arrives. It exceeds the time for
	// which callers wait for an answer.
	maxBodyTime = 2 * time.Minute
	// unreadBodyTime is how long the rest of a body that the handler does not need is
	// read, so that the connection can be used again.
	unreadBodyTime = 500 * time.Millisecond
	// bodyCost is the memory for each byte of a body: its buffer grows by doubling.
	bodyCost = 2
	// maxSentAhead is the number of successive requests that one connection may send
	// before the answer to the one before. The answer to the last one closes the
	// connection. HTTP clients do not send requests ahead.
	maxSentAhead = 16
	// maxAheadSlots is the number of requests that run at the same time although they
	// were sent ahead.
	maxAheadSlots = 4
	// refusalRetryAfter is the Retry-After of refused requests in seconds.
	refusalRetryAfter = "1"
)

// ErrNoRoom is the error of a body for which there is no memory.
var ErrNoRoom = errors.New("no memory for the body of the request")

// ErrSlow is the error of a body that does not arrive in time.
var ErrSlow = errors.New("the body of the request did not arrive in time")

// interruptedDeadline is a deadline that has passed.
var interruptedDeadline = time.Unix(1, 0)

// connKey is the context key of the connection of a request.
type connKey struct{}

// serveLimited runs the handler of a request within the limits on clients.
func (s *Server) serveLimited(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || conn.client == nil {
		handler.ServeHTTP(w, r)
		return
	}
	limited := &limitedBody{ReadCloser: r.Body, conn: conn, started: conn.clock.Now(), ended: r.ContentLength == 0}
	if !limited.ended {
		// net/http looks at the body of the original request.
		r = r.WithContext(r.Context())
		r.Body = limited
		limited.setDeadline(bodyStallTime)
	}
	ahead := conn.beginRequest()
	if !limited.ended {
		conn.receive(true, limited.started)
	}
	defer func() {
		if !limited.ended {
			// The server reads the rest of the body.
			limited.setDeadline(unreadBodyTime)
		}
		if conn.interrupted() || !limited.ended && conn.client.Crowded() {
			// net/http would wait before it closes the connection.
			_ = http.NewResponseController(w).Flush()
			if conn.interrupted() || !limited.hasEnded() {
				panic(http.ErrAbortHandler)
			}
		}
	}()
	if conn.interrupted() {
		refuse(w, "no memory or connections for the request")
		return
	}
	if ahead >= maxSentAhead {
		w.Header().Set("Connection", "close")
	}
	if ahead > 0 {
		defer s.aheadSlots.Add(-1)
		if s.aheadSlots.Add(1) > maxAheadSlots {
			refuse(w, "too many requests were sent ahead")
			return
		}
	}
	handler.ServeHTTP(w, r)
}

// refuse refuses a request that was not run, and closes its connection.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", refusalRetryAfter)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// beginRequest records that a handler begins, and returns how many successive
// requests, up to this one, were sent ahead.
func (c *Conn) beginRequest() int {
	c.client.SetPhase(dcintake.Working, c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests > 0 && (c.ahead || !c.fresh) {
		c.sentAhead++
	} else {
		c.sentAhead = 0
	}
	c.requests++
	c.serving, c.written, c.ahead, c.fresh = true, false, false, false
	return c.sentAhead
}

// endRequest records that the connection waits for the next request.
func (c *Conn) endRequest() {
	if c.client == nil {
		return
	}
	c.client.Release()
	c.client.SetPhase(dcintake.Idle, c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.receiving = false, false
}

// limitedBody is a body for which memory is reserved as its bytes arrive, and which
// must arrive in time.
type limitedBody struct {
	io.ReadCloser
	conn    *Conn
	started time.Time
	// ended is set once the body was read to its end.
	ended bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (count int, err error) {
	if b.conn.clock.Since(b.started) > maxBodyTime {
		return 0, ErrSlow
	}
	b.setDeadline(bodyStallTime)
	count, err = b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		b.ended = true
		// A deadline would end the connection while the handler runs.
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	reserved := b.conn.client.Reserve(int64(count)*bodyCost, b.conn.clock.Now())
	if b.ended {
		// Only then the request may run, and the client is not interrupted any more.
		b.conn.receive(false, b.conn.clock.Now())
	}
	switch {
	case !reserved || b.conn.interrupted():
		return 0, ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return count, ErrSlow
	}
	return count, err
}

// hasEnded reports whether the server has read the rest of the body.
func (b *limitedBody) hasEnded() bool {
	count, err := b.ReadCloser.Read(make([]byte, 1))
	return count == 0 && (errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyReadAfterClose))
}

// setDeadline limits the time until the next bytes arrive, unless the connection has
// to make room. The deadline is one of the system, not of the clock of the server.
func (b *limitedBody) setDeadline(left time.Duration) {
	_ = b.conn.SetReadDeadline(time.Now().Add(left))
	if b.conn.interrupted() {
		// The interruption may have set its deadline before this one.
		_ = b.conn.SetReadDeadline(interruptedDeadline)
	}
}

// receive records whether the body is still arriving.
func (c *Conn) receive(receiving bool, since time.Time) {
	phase := dcintake.Working
	if receiving {
		phase = dcintake.Receiving
	}
	c.client.SetPhase(phase, since)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = receiving
}
