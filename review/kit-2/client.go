package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is a consumer attempt and its answer. Status is 0 if there was none.
type attempt struct {
	id, target, host string
	sentAt           time.Time
	status           int
	header           http.Header
	body             []byte
	err              error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a new connection and waits for its answer.
func send(h *host, method, hostName, target, id string, deadline time.Duration, body []byte) *attempt {
	a := exchangeOnce(h, method, hostName, target, id, deadline, body)
	outcome := strconv.Itoa(a.status)
	if a.err != nil {
		outcome += " " + a.err.Error()
	}
	note("consumer: %s %s %s at %s -> %s", method, target, id, h.name, outcome)
	return a
}

// post is send for an order, which is not noted.
func post(h *host, hostName, target, id string, deadline time.Duration, body []byte) *attempt {
	return exchangeOnce(h, "POST", hostName, target, id, deadline, body)
}

func exchangeOnce(h *host, method, hostName, target, id string, deadline time.Duration, body []byte) *attempt {
	a := &attempt{id: id, target: target, host: h.name, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", method, target, hostName, id, deadline.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = conn.Write(append([]byte(head+"\r\n"), body...)); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
