// Command review-kit runs one case of the review: it starts the hosts of the
// deploy file, with stand-ins for the platform, the servers and the callers, and
// judges what these have seen.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

var cases = map[string]func(w *World) (int, error){
	"twice": twice,
	"stop":  stop,
	"entry": entry,
	"watch": watch,
	"path":  path,
	"crash": crash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE RECORD")
		os.Exit(cannot)
	}
	w, err := NewWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.Log("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannot
	}
	w.Log("case", "exit code %d", code)
	if directory := os.Getenv("REVIEW_LOGS"); directory != "" {
		for _, host := range w.Hosts {
			content, _ := os.ReadFile(host.Log())
			_ = os.WriteFile(directory+"/"+host.Name+".log", content, 0o600)
		}
	}
	w.Close()
	os.Exit(code)
}

// configuration returns a configuration in the operator's format.
func configuration(version int, routes []map[string]any, services ...string) []byte {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "maximum_connections": 96, "protocol": "h1", "tls": false})
	}
	return mustJSON(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maximum_header_bytes": 16384, "maximum_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// route returns a route to one service.
func route(name, prefix, kind, service string, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 1, "service": service, "maximum_attempts": 2,
	}
}

// every calls f in the background at random times, rate times a second, until the
// end, and waits for all calls.
func every(rate float64, end time.Time, f func()) {
	var calls sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		calls.Add(1)
		go func() { defer calls.Done(); f() }()
	}
	calls.Wait()
}

// callers returns callers of all zones, half of which keep a response three
// times as long. Half of either open a new connection for each request.
func (w *World) callers(count int) (list []*Caller) {
	for i := range count {
		keep := 1.0
		if i%2 == 0 {
			keep = 3
		}
		list = append(list, &Caller{World: w, Name: fmt.Sprintf("caller-%d", i), Zone: zones[i%len(zones)], Keep: keep, Fresh: i/2%2 == 1})
	}
	return list
}
