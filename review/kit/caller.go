package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Caller is a consumer, as PROTOCOL.md describes it: it asks the directory where
// to connect, and keeps its connections.
type Caller struct {
	World *World
	Name  string
	Zone  string
	// Keep is how many times ttl_s the caller keeps a response, 1 or 3.
	Keep float64
	// Fresh is set if the caller opens a new connection for each request.
	Fresh bool

	mu    sync.Mutex
	addrs []string
	until time.Time
	idle  []*callerConn
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
	host   string
	// idleSince is the time of the last answer.
	idleSince time.Time
}

// maxIdle is how long a caller keeps an unused connection: four fifths of
// idle_timeout_ms.
const maxIdle = 12 * time.Second

// Result is what a caller saw of one attempt.
type Result struct {
	ID, Host string
	Status   int
	Header   http.Header
	Body     []byte
	// Err is set if there was no complete answer.
	Err error
	// Sent is set once the whole request was written, at SentAt.
	Sent          bool
	SentAt, Ended time.Time
}

// addresses returns the addresses to connect to, after a new response if the last
// one has expired.
func (c *Caller) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addrs
	}
	hosts := slices.Clone(c.World.Hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b *Host) int {
		if (a.Zone == c.Zone) == (b.Zone == c.Zone) {
			return 0
		} else if a.Zone == c.Zone {
			return -1
		}
		return 1
	})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, host := range hosts[:min(3, len(hosts))] {
		response, err := client.Get("http://" + host.Directory() + "/resolution?name=a.example&region=region-a&zone=" + c.Zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(answer.Addrs) == 0 {
			continue
		}
		c.addrs = answer.Addrs
		c.until = time.Now().Add(time.Duration(min(answer.TTL, 5) * c.Keep * float64(time.Second)))
		// Connections to addresses that are missing are no longer used.
		c.idle = slices.DeleteFunc(c.idle, func(conn *callerConn) bool {
			if slices.Contains(c.addrs, conn.host) {
				return false
			}
			conn.Close()
			return true
		})
		break
	}
	return c.addrs
}

// connection returns an idle connection, or a new one to a random address.
func (c *Caller) connection() (*callerConn, error) {
	addrs := c.addresses()
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.idleSince) < maxIdle {
			c.mu.Unlock()
			return conn, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	if len(addrs) == 0 {
		return nil, fmt.Errorf("no address")
	}
	for _, i := range rand.Perm(len(addrs)) {
		conn, err := net.DialTimeout("tcp", addrs[i], time.Second)
		if err == nil {
			return &callerConn{Conn: conn, reader: bufio.NewReader(conn), host: addrs[i]}, nil
		}
	}
	return nil, fmt.Errorf("no connection")
}

// Do sends one attempt with a new id, to the given host or, if it is empty, to one
// of the directory's. Retries are the caller's business.
func (c *Caller) Do(host, method, name, target, body string, left time.Duration) Result {
	result := Result{ID: c.World.NewID()}
	var conn *callerConn
	var err error
	if host == "" {
		conn, err = c.connection()
	} else {
		var plain net.Conn
		if plain, err = net.DialTimeout("tcp", host, time.Second); err == nil {
			conn = &callerConn{Conn: plain, reader: bufio.NewReader(plain), host: host}
		}
	}
	if err != nil {
		result.Err = err
		return result
	}
	result.Host = conn.host
	_ = conn.SetDeadline(time.Now().Add(left))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", method, target, name, result.ID, left.Milliseconds())
	if method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	request += "\r\n" + body
	if _, result.Err = io.WriteString(conn, request); result.Err != nil {
		conn.Close()
		return result
	}
	result.Sent, result.SentAt = true, time.Now()
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err == nil {
		result.Status, result.Header = response.StatusCode, response.Header
		result.Body, err = io.ReadAll(response.Body)
	}
	result.Ended = time.Now()
	if result.Err = err; err != nil || response.Close || host != "" {
		conn.Close()
		return result
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	if slices.Contains(c.addrs, conn.host) && !c.Fresh {
		conn.idleSince = time.Now()
		c.idle = append(c.idle, conn)
	} else {
		conn.Close()
	}
	c.mu.Unlock()
	return result
}
