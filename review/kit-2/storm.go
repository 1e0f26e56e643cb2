package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	// manyRoutes is the number of routes by which big_config grows a configuration.
	manyRoutes = 1400
	// stormGap and stormTime are the gap_s and the for_s of config_storm.
	stormGap  = 60 * time.Millisecond
	stormTime = 1500 * time.Millisecond
	// applyTime is configuration_apply_ms.
	applyTime = 3 * time.Second
	// maxValue is value_bytes.
	maxValue = 1 << 20
)

// storm grows the configuration and then writes versions of it in quick succession,
// the last of which moves a route to another service.
func storm(trouble bool) {
	s := newStore()
	var mu sync.Mutex
	ranBy := map[string]string{}
	run := func(server *server, x *exchange) {
		note("server %s of %s runs %s %s", x.serverID, server.service, x.target, x.id)
		mu.Lock()
		ranBy[x.id] = server.service
		mu.Unlock()
		x.succeed([]byte("bytes of " + x.id))
	}
	startServers(s, "kafi81c", 3, run)
	startServers(s, "nylo40d", 3, run)
	names := []string{"kafi81c", "nylo40d"}
	var shards []string
	for i := range 10 {
		shards = append(shards, fmt.Sprintf("huvo%d1a", i))
		startServers(s, shards[i], 1, run)
	}
	names = append(names, shards...)
	version := 7
	write := func(service string, idle int) {
		routes := []route{yieldRoute(service)}
		for i := range idle {
			routes = append(routes, route{
				Name: fmt.Sprintf("r-idle%04d", i), Host: "leno12.example", Prefix: fmt.Sprintf("/rany%04d/", i), Kind: "safe",
				Timeout: 2000, Target: 200, Priority: 1, FanOut: shards, Top: 20, Coverage: 0.89, Attempts: 2,
			})
		}
		document := configuration(version, routes, names...)
		content, _ := json.Marshal(document)
		if len(content) > maxValue {
			unable("the configuration takes %d bytes", len(content))
		}
		s.put("op/config", document)
		note("the operator writes version %d: %d routes, %d bytes, /goka902/ goes to %s", version, len(routes), len(content), service)
		version++
	}
	write("kafi81c", 8)
	startHosts(s, false)
	write("kafi81c", manyRoutes)
	time.Sleep(6 * time.Second)
	if trouble {
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			write("kafi81c", manyRoutes)
		}
	}
	write("nylo40d", manyRoutes)
	acked := time.Now()
	time.Sleep(applyTime + 200*time.Millisecond)
	old, all, last := 0, 0, time.Duration(0)
	for range 30 {
		for _, h := range hosts {
			sentAt := time.Since(acked)
			a := send(h, "GET", yieldHost, "/goka902/2f", newID(), 8*time.Second, nil)
			mu.Lock()
			all++
			if ranBy[a.id] == "kafi81c" {
				old++
				last = sentAt
			}
			mu.Unlock()
		}
		time.Sleep(time.Second)
	}
	verdict(old > 0, "CONFIG: %d of %d requests, sent %s or later after the ack, were run by the service of an older version, the last one %.1f s after it", old, all, applyTime, last.Seconds())
}

func init() { cases["storm"] = storm }
