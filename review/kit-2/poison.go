package main

import (
	"sync"
	"time"
)

const (
	poisonPath = "/goka902/2f"
	// stability is stability_window_ms, after which a crash of the third server counts.
	stability = 4 * time.Second
	// touchSlack is added to stability for the time that a host needs to start.
	touchSlack = 500 * time.Millisecond
	// crashDown is how long a server that has crashed is away.
	crashDown = 3 * time.Second
	// allowedRetries is the number of retries of such a request that may reach servers.
	allowedRetries = 3
	// orderCallers is the number of consumers that send orders, and orderWork how long
	// an order runs.
	orderCallers = 40
	orderWork    = 100 * time.Millisecond
	// manyServers is the number of servers of a service whose servers crash.
	manyServers = 20
)

// order is a request that may run once, beside the one that crashes servers.
type order struct {
	begunAt time.Time
	served  bool
}

// poison follows a request that crashes the servers that run it.
type poison struct {
	mu      sync.Mutex
	crashes int
	// third is the time of the third crash.
	third time.Time
	// reached holds the attempts that reached servers, with the first time.
	reached map[string]time.Time
	sent    []*attempt
	// orders holds what became of the other requests that servers began to run.
	orders map[string]*order
	// inTouch holds, for each attempt, whether its host was in touch.
	inTouch map[string]bool
}

// arrive counts the arrival of an attempt at a server that it crashes.
func (p *poison) arrive(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reached == nil {
		p.reached = map[string]time.Time{}
	}
	if _, ok := p.reached[id]; !ok {
		p.reached[id] = time.Now()
	}
	if p.crashes++; p.crashes == 3 {
		p.third = time.Now()
		note("the request has crashed the third server")
	}
}

// run answers requests, and crashes the server for those to poisonPath.
func (p *poison) run(s *server, x *exchange) {
	if x.target == poisonPath {
		note("server %s of %s runs %s %s", x.serverID, s.service, x.target, x.id)
	}
	if x.target != poisonPath {
		p.mu.Lock()
		if p.orders == nil {
			p.orders = map[string]*order{}
		}
		p.orders[x.id] = &order{begunAt: time.Now()}
		p.mu.Unlock()
		time.Sleep(orderWork)
		x.succeed([]byte("bytes of " + x.id))
		return
	}
	p.arrive(x.id)
	x.close = true
	s.crash(crashDown)
}

// come sends the request once, as one consumer attempt.
func (p *poison) come(h *host) {
	id := newID()
	h.mu.Lock()
	inTouch := time.Since(h.startedAt) > stability+touchSlack
	h.mu.Unlock()
	a := send(h, "GET", yieldHost, poisonPath, id, 8*time.Second, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inTouch == nil {
		p.inTouch = map[string]bool{}
	}
	p.sent, p.inTouch[id] = append(p.sent, a), inTouch
}

// sendOrders sends orders to the servers until the script ends.
func (p *poison) sendOrders() {
	for i := range orderCallers {
		go func() {
			for {
				a := post(hosts[i%len(hosts)], yieldHost, ordersPrefix+"2f", newID(), 8*time.Second, []byte("an order"))
				p.mu.Lock()
				if begun := p.orders[a.id]; begun != nil && a.status/100 == 2 {
					begun.served = true
				} else if begun != nil {
					note("order %s was begun by a server and not answered: %d %v", a.id, a.status, a.err)
				}
				p.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
}

// lostOrders returns the number of orders that servers began later than stability after
// the third crash, and that were not served. Those that still run are left out.
func (p *poison) lostOrders() (lost int) {
	for _, o := range p.orders {
		if !o.served && o.begunAt.Sub(p.third) > stability && time.Since(o.begunAt) > time.Second {
			lost++
		}
	}
	return lost
}

// judge ends the script with the number of retries that reached servers, sent by hosts
// in touch, later than stability after the third crash.
func (p *poison) judge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, a := range p.sent {
		at, ok := p.reached[a.id]
		if ok && p.inTouch[a.id] && !p.third.IsZero() && at.Sub(p.third) > stability {
			count++
			note("retry %s at %s reached a server %.1f s after the third crash", a.id, a.host, at.Sub(p.third).Seconds())
		}
	}
	if p.third.IsZero() {
		unable("the request has crashed only %d servers", p.crashes)
	}
	verdict(count > allowedRetries, "BUDGET: %d retries reached servers later than %s after the third crash, %d may; %d crashes; %d accepted orders were lost after that", count, stability, allowedRetries, p.crashes, p.lostOrders())
}

// startSystem starts servers of one service that crash, and four hosts, and waits until
// the hosts are in touch.
func startSystem(p *poison, staleSeeds bool) {
	s := newStore()
	startServers(s, "kafi81c", manyServers, p.run)
	s.put("op/config", configuration(7, []route{yieldRoute("kafi81c"), ordersRoute("kafi81c")}, "kafi81c"))
	startHosts(s, staleSeeds)
	p.sendOrders()
}

// comeInTurn sends the request several times, at one host after the other.
func (p *poison) comeInTurn(times int, pause time.Duration) {
	for i := range times {
		p.come(hosts[i%len(hosts)])
		time.Sleep(pause)
	}
}

func init() {
	cases["moved-route"] = movedRoute
	cases["restart"] = restart
}

// movedRoute moves the route of a request from a service that answers it to one whose
// servers it crashes.
func movedRoute(trouble bool) {
	p := &poison{}
	s := newStore()
	startServers(s, "kafi81c", 6, func(server *server, x *exchange) {
		note("server %s of %s runs %s %s", x.serverID, server.service, x.target, x.id)
		x.succeed([]byte("bytes of " + x.id))
	})
	startServers(s, "nylo40d", manyServers, p.run)
	first := "nylo40d"
	if trouble {
		first = "kafi81c"
	}
	s.put("op/config", configuration(7, []route{yieldRoute(first), ordersRoute("nylo40d")}, "kafi81c", "nylo40d"))
	startHosts(s, false)
	p.sendOrders()
	if trouble {
		p.comeInTurn(4, 100*time.Millisecond)
		note("the operator moves the route to another service")
		s.put("op/config", configuration(9, []route{yieldRoute("nylo40d"), ordersRoute("nylo40d")}, "kafi81c", "nylo40d"))
		time.Sleep(5 * time.Second)
	}
	p.comeInTurn(12, 4*time.Second)
	p.judge()
}

// restart restarts the hosts in turn, whose seeds are stale.
func restart(trouble bool) {
	p := &poison{}
	startSystem(p, true)
	p.comeInTurn(4, 3*time.Second)
	for _, h := range hosts {
		if trouble {
			h.signal(15)
			if !h.awaitEnd(7 * time.Second) {
				unable("%s did not stop", h.name)
			}
			time.Sleep(500 * time.Millisecond)
			h.start()
			awaitReady(h)
		}
		time.Sleep(stability + 2*touchSlack)
		p.come(h)
		time.Sleep(2 * time.Second)
		p.come(h)
		time.Sleep(time.Second)
	}
	p.judge()
}
