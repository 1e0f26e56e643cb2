// Program review-2 runs the cases of the second review that are scripts. It starts the
// hosts of a small deployment as processes, with stand-ins for the platform's store, the
// servers and the consumers, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scriptTime is the longest time that a script may run.
const scriptTime = 115 * time.Second

var cases = map[string]func(trouble bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitUnable)
	}
	openRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			unable("stopped by a signal")
		case <-time.After(scriptTime):
			unable("the script took too long")
		}
	}()
	cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	unable("the case has no verdict")
}

// route, service and configuration are what the operator writes.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Kind     string   `json:"route_kind"`
	Timeout  int      `json:"timeout_ms"`
	Target   int      `json:"target_latency_ms"`
	Priority int      `json:"priority"`
	Service  string   `json:"service,omitempty"`
	FanOut   []string `json:"fan_out,omitempty"`
	Top      int      `json:"top_results,omitempty"`
	Coverage float64  `json:"minimum_coverage,omitempty"`
	Attempts int      `json:"maximum_attempts"`
}

type service struct {
	Name        string `json:"name"`
	Health      string `json:"health_path"`
	Connections int    `json:"maximum_connections"`
	Protocol    string `json:"protocol"`
	TLS         bool   `json:"tls"`
}

func configuration(version int, routes []route, names ...string) map[string]any {
	services := []service{}
	for _, name := range names {
		services = append(services, service{name, healthPath, 96, "h1", false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maximum_header_bytes": 16384, "maximum_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
