package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// twice: a server refuses requests because it is full, and now and then sends an
// answer a second time, before the next answer on the connection.
func twice(w *World) (int, error) {
	const (
		length = 90 * time.Second
		// The largest doses of the pages for such answers (garble, extra late): 0.5 of
		// the servers, 0.04 of the answers, for 5 s.
		episode = 5 * time.Second
		pause   = 2 * time.Second
		share   = 0.04
	)
	began := time.Now()
	copyAnswer := func(conn *ServerConn, request *ServerRequest, answer []byte) (bool, bool) {
		faulty := w.Trouble && time.Since(began)%(episode+pause) < episode
		if faulty && rand.Float64() < share {
			conn.Extra = append([]byte(nil), answer...)
		}
		return false, false
	}
	var routes []map[string]any
	var services []string
	for i := range twiceServices {
		name := fmt.Sprintf("mill-orders-%d", i+1)
		server := &Server{World: w, ID: fmt.Sprintf("i-mill-%d", i+1), Service: name, Zone: zones[i%3], Slots: 2, Queue: 2, Work: 100 * time.Millisecond}
		if i%2 == 0 {
			server.Broken = copyAnswer
		}
		if err := server.Start(); err != nil {
			return cannot, err
		}
		services = append(services, name)
		routes = append(routes, route("orders-"+name, "/"+name+"/", "unsafe", name, 4000, 800))
	}
	w.Store.Put("op/config", configuration(3, routes, services...))
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(11 * time.Second)
	callers := w.callers(30)
	var mu sync.Mutex
	results := map[string]Result{}
	every(twiceServices*twiceRate, time.Now().Add(length), func() {
		caller := callers[rand.IntN(len(callers))]
		target := fmt.Sprintf("/mill-orders-%d/new", 1+rand.IntN(twiceServices))
		result := caller.Do("", http.MethodPost, "a.example", target, "flour 20 kg", 4*time.Second)
		mu.Lock()
		results[result.ID] = result
		mu.Unlock()
		w.Log("caller", "%s: status %d, error %v", result.ID, result.Status, result.Err)
	})
	time.Sleep(time.Second)
	return w.judgeOnce(results), nil
}

// judgeOnce checks TWICE and REFUSED for requests that are not idempotent.
func (w *World) judgeOnce(results map[string]Result) int {
	runs := map[string]int{}
	for _, run := range w.Runs() {
		runs[run.ID]++
	}
	twice, refused, served := 0, 0, 0
	for id, count := range runs {
		if count > 1 {
			twice++
			w.Log("judge", "TWICE: %s ran %d times; its caller got status %d, error %v", id, count, results[id].Status, results[id].Err)
		}
	}
	for id, result := range results {
		switch result.Status {
		case 200:
			served++
		case 429, 503, 408, 421:
			if runs[id] > 0 {
				refused++
				w.Log("judge", "REFUSED: %s was answered %d and ran %d times", id, result.Status, runs[id])
			}
		}
	}
	w.Log("judge", "%d requests, %d served, %d ran; TWICE %d, REFUSED %d", len(results), served, len(runs), twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}

const (
	// twiceServices is the number of services, with a server each.
	twiceServices = 30
	// twiceRate is the number of orders a second for each service. Its server can run
	// 20 a second.
	twiceRate = 18
)

// stop: hosts are stopped and started in turn while callers send requests that
// take some seconds.
func stop(w *World) (int, error) {
	const (
		grace = 6 * time.Second
		left  = 8 * time.Second
		// stopCount is the number of planned stops, one host after the other.
		stopCount = 9
		// gap is the time from the start of a host to the SIGTERM of the next one.
		gap = 3400 * time.Millisecond
	)
	for i := range 40 {
		server := &Server{World: w, ID: fmt.Sprintf("i-calc-%d", i+1), Service: "scale-calc", Zone: zones[i%3], Slots: 40, Queue: 20, Work: 2700 * time.Millisecond}
		if err := server.Start(); err != nil {
			return cannot, err
		}
	}
	w.Store.Put("op/config", configuration(3, []map[string]any{route("calc", "/calc/", "unsafe", "scale-calc", 8000, 800)}, "scale-calc"))
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(10 * time.Second)
	callers := w.callers(60)
	var mu sync.Mutex
	results := map[string]Result{}
	type stopped struct {
		host string
		at   time.Time
	}
	var stops []stopped
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(4 * time.Second)
		for i := range stopCount {
			host := w.Hosts[i%len(w.Hosts)]
			if !w.Trouble {
				time.Sleep(grace + gap)
				continue
			}
			mu.Lock()
			stops = append(stops, stopped{host.Caller(), time.Now()})
			mu.Unlock()
			host.Signal(syscall.SIGTERM)
			select {
			case <-host.Ended():
			case <-time.After(grace):
				host.Signal(syscall.SIGKILL)
				<-host.Ended()
			}
			if err := host.Start(); err != nil {
				w.Log("case", "start: %v", err)
			}
			time.Sleep(gap)
		}
	}()
	every(450, time.Now().Add(stopCount*(grace+gap)+4*time.Second), func() {
		caller := callers[rand.IntN(len(callers))]
		result := caller.Do("", http.MethodPost, "a.example", "/calc/yield", "dough 40 kg", left)
		mu.Lock()
		results[result.ID] = result
		mu.Unlock()
		w.Log("caller", "%s to %s: status %d, error %v", result.ID, result.Host, result.Status, result.Err)
	})
	<-done
	ran := map[string]Run{}
	for _, run := range w.Runs() {
		ran[run.ID] = run
	}
	lost, served := 0, 0
	for id, result := range results {
		if result.Err == nil {
			if result.Status == http.StatusOK {
				served++
			}
			continue
		}
		run, passedOn := ran[id]
		if !passedOn || result.Ended.Sub(result.SentAt) >= left {
			continue
		}
		for _, stop := range stops {
			since, ended := result.SentAt.Sub(stop.at), result.Ended.Sub(stop.at)
			if stop.host != result.Host || ended < 0 || since > grace+time.Second {
				continue
			}
			// Excused: sent at most 3 s after the SIGTERM, and the server was still at
			// work in the last sixth of the grace period.
			excused := since <= 3*time.Second && run.At.Add(2700*time.Millisecond).Sub(stop.at) > grace*5/6
			w.Log("judge", "%s was sent %.3f s after the SIGTERM of %s, ran at %s from %.3f s on, and its connection ended at %.3f s without an answer (%v); excused %t",
				id, since.Seconds(), result.Host, run.Server, run.At.Sub(stop.at).Seconds(), ended.Seconds(), result.Err, excused)
			if !excused {
				lost++
			}
		}
	}
	w.Log("judge", "%d requests, %d served; LOST %d", len(results), served, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// entry: another writer writes the entry of a server, with fields missing.
func entry(w *World) (int, error) {
	var billing *Server
	for _, service := range []string{"mill-orders", "coop-accounts"} {
		for i := range 3 {
			server := &Server{World: w, ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zones[i], Slots: 5, Queue: 30, Work: 30 * time.Millisecond}
			if err := server.Start(); err != nil {
				return cannot, err
			}
			billing = server
		}
	}
	w.Store.Put("op/config", configuration(3, []map[string]any{
		route("orders", "/orders/", "unsafe", "mill-orders", 4000, 800), route("accounts", "/accounts/", "safe", "coop-accounts", 4000, 800),
	}, "mill-orders", "coop-accounts"))
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(10 * time.Second)
	callers := w.callers(30)
	end := time.Now().Add(30 * time.Second)
	if w.Trouble {
		go func() {
			for time.Now().Before(end) {
				time.Sleep(3 * time.Second)
				// Zone, version, warmup_remaining_ms and sequence are missing.
				foreign := mustJSON(map[string]any{"service": "mill-orders", "address": billing.Address, "capacity": 5, "state": "ready"})
				w.Store.Put("servers/"+billing.ID, foreign)
				w.Log("store", "another writer writes servers/%s: %s", billing.ID, foreign)
			}
		}()
	}
	every(80, end, func() {
		caller := callers[rand.IntN(len(callers))]
		result := caller.Do("", http.MethodPost, "a.example", "/orders/new", "flour 20 kg", 4*time.Second)
		w.Log("caller", "%s: status %d, error %v, body %q", result.ID, result.Status, result.Err, result.Body)
	})
	wrong := 0
	for _, run := range w.Runs() {
		if strings.HasPrefix(run.Target, "/orders/") && run.Service != "mill-orders" {
			wrong++
			w.Log("judge", "ROUTE: %s %s was run by %s of %s", run.ID, run.Target, run.Server, run.Service)
		}
	}
	w.Log("judge", "%d runs; ROUTE %d", len(w.Runs()), wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// watch: the configuration grows, and configurations come in quick succession.
func watch(w *World) (int, error) {
	const (
		bound  = 3 * time.Second
		drain  = 3 * time.Second
		storm  = 25
		gap    = 60 * time.Millisecond
		growth = 1400
	)
	// The pages name no limit for an answer of a watch. With WATCH_BYTES set, the
	// answers are limited.
	w.Store.WatchBytes, _ = strconv.Atoi(os.Getenv("WATCH_BYTES"))
	var drained *Server
	for _, service := range []string{"scale-calc", "coop-accounts"} {
		for i := range 3 {
			server := &Server{World: w, ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zones[i], Slots: 5, Queue: 30, Work: 30 * time.Millisecond}
			if err := server.Start(); err != nil {
				return cannot, err
			}
			if drained == nil {
				drained = server
			}
		}
	}
	idle := 0
	version := 2
	put := func(service string) time.Time {
		version += 1 + rand.IntN(3)
		routes := []map[string]any{route("r-moved", "/moved/", "safe", service, 4000, 800), route("r-calc", "/calc/", "safe", "scale-calc", 4000, 800)}
		for i := range idle {
			routes = append(routes, route(fmt.Sprintf("r-idle-%04d", i), fmt.Sprintf("/idle%04d/", i), "safe", "coop-accounts", 4000, 800))
		}
		value := configuration(version, routes, "scale-calc", "coop-accounts")
		ack := w.Store.Put("op/config", value)
		w.Log("store", "version %d written: %d routes, %d bytes; /moved/ goes to %s", version, len(routes), len(value), service)
		return ack
	}
	put("scale-calc")
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(10 * time.Second)
	callers := w.callers(30)
	end := time.Now().Add(35 * time.Second)
	var moved, leaving time.Time
	var mu sync.Mutex
	go func() {
		if w.Trouble {
			for range 3 {
				idle += growth
				put("scale-calc")
				time.Sleep(3 * time.Second)
			}
			began := time.Now()
			for i := range storm {
				time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
				put("scale-calc")
			}
		}
		time.Sleep(time.Second)
		at := put("coop-accounts")
		gone := drained.Register("draining")
		w.Log("server", "%s reports draining", drained.ID)
		mu.Lock()
		moved, leaving = at, gone
		mu.Unlock()
		time.Sleep(drain + time.Second)
		drained.Crash()
		w.Store.Delete("servers/" + drained.ID)
		w.Log("server", "%s has left", drained.ID)
	}()
	results := map[string]Result{}
	every(60, end, func() {
		caller := callers[rand.IntN(len(callers))]
		target := []string{"/moved/x", "/calc/x"}[rand.IntN(2)]
		result := caller.Do("", http.MethodGet, "a.example", target, "", 4*time.Second)
		mu.Lock()
		results[result.ID] = result
		mu.Unlock()
		w.Log("caller", "%s %s: status %d, error %v", result.ID, target, result.Status, result.Err)
	})
	stale, late := 0, 0
	var lastStale time.Duration
	for _, run := range w.Runs() {
		sent := results[run.ID].SentAt
		if run.Target == "/moved/x" && run.Service == "scale-calc" && sent.Sub(moved) > bound {
			stale++
			lastStale = max(lastStale, sent.Sub(moved))
		}
		if run.Server == drained.ID && run.At.Sub(leaving) > drain {
			late++
		}
	}
	w.Log("judge", "%d runs; CONFIG %d, the last sent %.3f s after the ack; DRAIN %d", len(w.Runs()), stale, lastStale.Seconds(), late)
	if stale+late > 0 {
		return broken, nil
	}
	return held, nil
}

// path: callers send paths that begin with two slashes.
func path(w *World) (int, error) {
	for i := range 3 {
		server := &Server{World: w, ID: fmt.Sprintf("i-mill-%d", i+1), Service: "mill-orders", Zone: zones[i], Slots: 5, Queue: 30, Work: 20 * time.Millisecond}
		if err := server.Start(); err != nil {
			return cannot, err
		}
	}
	w.Store.Put("op/config", configuration(3, []map[string]any{route("orders", "/", "unsafe", "mill-orders", 4000, 800)}, "mill-orders"))
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(10 * time.Second)
	caller := &Caller{World: w, Name: "caller", Zone: zones[0], Keep: 1}
	sent := map[string]string{}
	for i := range 40 {
		target := []string{"/orders/flour%20rye?kg=20", "/orders/a%2Fb", "/orders/caf%C3%A9/", "/orders/new"}[i%4]
		if w.Trouble {
			target = "/" + target
		}
		result := caller.Do("", http.MethodPost, "a.example", target, "flour 20 kg", 4*time.Second)
		sent[result.ID] = target
		w.Log("caller", "%s %s: status %d, error %v", result.ID, target, result.Status, result.Err)
	}
	changed := 0
	for _, run := range w.Runs() {
		if run.Target != sent[run.ID] {
			changed++
			w.Log("judge", "UNASKED: %s was sent with %s and run with %s", run.ID, sent[run.ID], run.Target)
		}
	}
	w.Log("judge", "%d sent, %d runs; UNASKED %d", len(sent), len(w.Runs()), changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// crash: a request crashes each server that begins to run it, which has sent a part
// of its answer by then.
func crash(w *World) (int, error) {
	const (
		back   = 3 * time.Second
		window = 4 * time.Second
	)
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	for i := range 6 {
		server := &Server{World: w, ID: fmt.Sprintf("i-calc-%d", i+1), Service: "scale-calc", Zone: zones[i%3], Slots: 5, Queue: 30, Work: 100 * time.Millisecond}
		server.Broken = func(conn *ServerConn, request *ServerRequest, answer []byte) (bool, bool) {
			if request.Target != "/calc/poison" || !request.Ran {
				return false, false
			}
			mu.Lock()
			arrivals, crashes = append(arrivals, time.Now()), append(crashes, time.Now())
			mu.Unlock()
			if !crashBeforeAnswer {
				_, _ = conn.Write(answer[:len(answer)-10])
			}
			w.Log("server", "%s crashes while it answers %s", server.ID, request.ID)
			server.Crash()
			time.AfterFunc(back, func() { _ = server.Start() })
			return true, true
		}
		if err := server.Start(); err != nil {
			return cannot, err
		}
	}
	w.Store.Put("op/config", configuration(3, []map[string]any{route("calc", "/calc/", "unsafe", "scale-calc", 4000, 800)}, "scale-calc"))
	if err := w.StartHosts(4); err != nil {
		return cannot, err
	}
	time.Sleep(10 * time.Second)
	callers := w.callers(30)
	end := time.Now().Add(50 * time.Second)
	if w.Trouble {
		go func() {
			for time.Now().Before(end) {
				time.Sleep(2 * time.Second)
				result := callers[0].Do("", http.MethodPost, "a.example", "/calc/poison", "dough 0 kg", 4*time.Second)
				w.Log("caller", "%s /calc/poison: status %d, error %v", result.ID, result.Status, result.Err)
			}
		}()
	}
	var lost int
	every(40, end, func() {
		caller := callers[rand.IntN(len(callers))]
		result := caller.Do("", http.MethodPost, "a.example", fmt.Sprintf("/calc/yield?n=%d", rand.IntN(1000)), "dough 40 kg", 4*time.Second)
		w.Log("caller", "%s: status %d, error %v", result.ID, result.Status, result.Err)
		if result.Status != http.StatusOK {
			mu.Lock()
			lost++
			mu.Unlock()
		}
	})
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) > 2 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > window {
				late++
			}
		}
	}
	w.Log("judge", "%d crashes; %d arrivals of the request later than %s after the third; %d other requests not served", len(crashes), late, window, lost)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}

// crashBeforeAnswer, for a comparison, makes servers crash before they answer.
const crashBeforeAnswer = false
