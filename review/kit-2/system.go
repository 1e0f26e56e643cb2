package main

import "time"

// lead is the time from the start of the hosts to the first request. It exceeds
// budget_window_s, and the 10 s after which traffic starts.
const lead = 12 * time.Second

const yieldHost = "hufi27.example"

// yieldRoute is a route of the kind yield-fetch.
func yieldRoute(service string) route {
	return route{Name: "r-xmibw6k", Host: yieldHost, Prefix: "/goka902/", Kind: "safe", Timeout: 8000, Target: 800, Priority: 2, Service: service, Attempts: 2}
}

// ordersPrefix is the prefix of ordersRoute.
const ordersPrefix = "/goka903/"

// ordersRoute is a route of orders, which may run once.
func ordersRoute(service string) route {
	return route{Name: "r-orders", Host: yieldHost, Prefix: ordersPrefix, Kind: "unsafe", Timeout: 8000, Target: 800, Priority: 1, Service: service, Attempts: 2}
}

func startServers(s *store, service string, count int, run func(*server, *exchange)) {
	for i := range count {
		newServer(s, service, zones[1+i%3], run)
	}
}

// startHosts starts four hosts and waits until they are in touch.
func startHosts(s *store, staleSeeds bool) {
	createHosts(4, s.address, staleSeeds)
	for _, h := range hosts {
		h.start()
	}
	awaitReady(hosts...)
	time.Sleep(lead)
}
