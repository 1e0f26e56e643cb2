package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// noLimit is the largest number of 32 bits, by which an operator means that there is
	// no limit.
	noLimit = 2147483647
	// configurationTime is the time after the ack of a version in which cut requests
	// count: configuration_apply_ms and a second.
	configurationTime = 4 * time.Second
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// callersPerHost is the number of consumers of each host, each with a connection.
	callersPerHost = 6
	// work is how long a request of these consumers runs.
	work = 220 * time.Millisecond
	// calmTime is the time before the version, and after its last request.
	calmTime = 5 * time.Second
	// ownEnds is the number of times that a process may not end by itself.
	ownEnds = 3
)

// manyAttempts adds a route with a high maximum_attempts to the configuration.
func manyAttempts(trouble bool) {
	s := newStore()
	var mu sync.Mutex
	ran := map[string]bool{}
	run := func(server *server, x *exchange) {
		mu.Lock()
		ran[x.id] = true
		mu.Unlock()
		if server.service == "kafi81c" {
			note("server %s of %s runs %s %s", x.serverID, server.service, x.target, x.id)
			time.Sleep(work)
		}
		x.succeed(make([]byte, 160))
	}
	startServers(s, "kafi81c", manyServers, run)
	names := []string{"kafi81c"}
	for i := range 10 {
		names = append(names, fmt.Sprintf("huvo%d1a", i))
		startServers(s, names[i+1], 1, run)
	}
	query := route{
		Name: "r-wa5xwyh", Host: "leno12.example", Prefix: "/rany330/", Kind: "safe",
		Timeout: 2000, Target: 200, Priority: 1, FanOut: names[1:], Top: 20, Coverage: 0.89, Attempts: 2,
	}
	added := query
	added.Name, added.Prefix = "r-added", "/rany331/"
	if trouble {
		added.Attempts = noLimit
	}
	s.put("op/config", configuration(7, []route{yieldRoute("kafi81c"), query}, names...))
	startHosts(s, false)

	stop := make(chan struct{})
	type cut struct {
		id, host string
		sentAt   time.Time
	}
	var cuts []cut
	answered := 0
	var group sync.WaitGroup
	for _, h := range hosts {
		for range callersPerHost {
			group.Go(func() {
				keepCalling(h, stop, func(id string, sentAt time.Time, err error) {
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						answered++
					} else if ran[id] {
						cuts = append(cuts, cut{id, h.name, sentAt})
					}
				})
			})
		}
	}
	ends := make(map[string]int)
	for _, h := range hosts {
		go h.restartWhenEnded(stop, func() {
			mu.Lock()
			ends[h.name]++
			mu.Unlock()
		})
	}
	called := time.Now()
	time.Sleep(calmTime)
	written := time.Now()
	note("the operator writes version 9, which adds /rany331/ with maximum_attempts %d", added.Attempts)
	s.put("op/config", configuration(9, []route{yieldRoute("kafi81c"), query, added}, names...))
	time.Sleep(1500 * time.Millisecond)
	for range ownEnds {
		for _, h := range hosts {
			send(h, "GET", query.Host, "/rany331/2f", newID(), 2*time.Second, nil)
		}
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(calmTime)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	// Cuts beside the configuration count at machines where they are over three times as
	// frequent then as at other times.
	beside, otherwise := map[string]int{}, map[string]int{}
	for _, c := range cuts {
		if since := c.sentAt.Sub(written); since >= 0 && since <= configurationTime {
			beside[c.host]++
			note("request %s at %s was passed on and cut, sent %.1f s after the version", c.id, c.host, since.Seconds())
		} else {
			otherwise[c.host]++
		}
	}
	otherTime := time.Since(called) - configurationTime
	lost, often := 0, 0
	for _, h := range hosts {
		then := float64(beside[h.name]) / configurationTime.Seconds()
		usual := float64(otherwise[h.name]) / otherTime.Seconds()
		note("%s cut %.2f requests a second beside the configuration, %.2f at other times; its process has ended %d times by itself", h.name, then, usual, ends[h.name])
		if then > 3*usual {
			lost += beside[h.name]
		}
		if ends[h.name] >= ownEnds {
			often++
		}
	}
	verdict(lost > 0 || often >= 2, "LOST: %d requests cut beside the configuration, %d cut and %d answered in all; Fault: %d of %d processes ended %d times or more", lost, len(cuts), answered, often, len(hosts), ownEnds)
}

// keepCalling sends requests on kept connections until stop is closed.
func keepCalling(h *host, stop chan struct{}, done func(id string, sentAt time.Time, err error)) {
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			opened, err := net.DialTimeout("tcp", h.caller, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		id, sentAt := newID(), time.Now()
		_ = conn.SetDeadline(sentAt.Add(9 * time.Second))
		_, err := fmt.Fprintf(conn, "GET /goka902/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 8000\r\n\r\n", yieldHost, id)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			note("consumer: GET /goka902/2f %s at %s -> %v", id, h.name, err)
		}
		done(id, sentAt, err)
		if err != nil || response.Close {
			conn.Close()
			conn = nil
		}
	}
}

// restartWhenEnded starts the process again after each end, as the platform does.
func (h *host) restartWhenEnded(stop chan struct{}, ended func()) {
	for {
		h.mu.Lock()
		end := h.ended
		h.mu.Unlock()
		select {
		case <-stop:
			return
		case <-end:
		}
		ended()
		time.Sleep(restartDelay)
		select {
		case <-stop:
			return
		default:
			h.start()
		}
	}
}

func init() { cases["many-attempts"] = manyAttempts }
