package main

import (
	"crypto/sha256"
	"sync"
	"time"
)

// changedPath sends requests to a route with the prefix "/", and compares what the
// servers run with what was sent.
func changedPath(trouble bool) {
	s := newStore()
	type sent struct {
		method, target string
		body           [sha256.Size]byte
	}
	var mu sync.Mutex
	byID := map[string]sent{}
	ran, changed := 0, 0
	startServers(s, "kafi81c", 6, func(server *server, x *exchange) {
		note("server %s of %s runs %s %s %s", x.serverID, server.service, x.request.Method, x.target, x.id)
		mu.Lock()
		ran++
		if got := (sent{x.request.Method, x.target, sha256.Sum256(x.body)}); got != byID[x.id] {
			changed++
			note("%s was sent as %s %s", x.id, byID[x.id].method, byID[x.id].target)
		}
		mu.Unlock()
		x.succeed([]byte("bytes of " + x.target))
	})
	whole := yieldRoute("kafi81c")
	whole.Prefix, whole.Kind = "/", "unsafe"
	s.put("op/config", configuration(7, []route{whole}, "kafi81c"))
	startHosts(s, false)
	targets := []string{"/orders/flour%20rye/2f", "/orders/2f?unit=50%20kg", "/orders/mill%2Fnorth/2f"}
	if trouble {
		for i := range targets {
			targets[i] = "/" + targets[i]
		}
	}
	for i := range 24 {
		method, target, id := "POST", targets[i%len(targets)], newID()
		body := []byte("order " + id)
		mu.Lock()
		byID[id] = sent{method, target, sha256.Sum256(body)}
		mu.Unlock()
		send(hosts[i%len(hosts)], method, yieldHost, target, id, 8*time.Second, body)
	}
	if ran == 0 {
		unable("no request has run")
	}
	verdict(changed > 0, "UNASKED: %d of %d requests ran with another path than the consumer sent", changed, ran)
}

func init() { cases["changed-path"] = changedPath }
