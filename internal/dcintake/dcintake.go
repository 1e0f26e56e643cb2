// Package dcintake decides which clients of a host may take memory and connections
// when there is not enough for all of them. The bytes of requests that are arriving
// are reserved from one budget. When it is used up, or a listener has as many
// connections as it may have, the client for whose request the host has waited
// longest makes room. An ordinary client has sent its request long before.
//
// The package has no sockets and no clock: the caller passes the time, and a client
// is interrupted by a function of the caller.
package dcintake

import (
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	// stalledAnswerAge is how long the peer must have taken nothing of an answer
	// before its connection may make room for another one.
	stalledAnswerAge = 2 * time.Second
	// endingDivisor divides MaxClients to give the connections that may be open in
	// addition while they are ended to make room.
	endingDivisor = 2
	// logInterval is the shortest time between two log lines about clients that made
	// room.
	logInterval = 10 * time.Second
)

// Phase is what a host does with a connection.
type Phase int

const (
	// Receiving connections wait for bytes of a request, or for the first one.
	Receiving Phase = iota
	// Idle connections have no request after an earlier one was answered.
	Idle
	// Working connections have a whole request, and are never interrupted.
	Working
	// Answering connections wait until the peer takes bytes of an answer.
	Answering
)

// Reason is why a client had to make room.
type Reason string

// Reasons.
const (
	LackOfMemory      Reason = "memory"
	LackOfConnections Reason = "connections"
)

// Budget is the memory for the requests that are arriving and the answers that are
// being written, shared by all listeners of a host. Set the exported fields before the
// first call. It is safe for concurrent use.
type Budget struct {
	// MaxBytes limits the reserved bytes.
	MaxBytes int64
	Log      *zap.Logger
	Scope    tally.Scope

	mu      sync.Mutex
	held    int64
	clients map[*Client]struct{}
	// madeRoom counts the clients that made room since the last log line at loggedAt.
	madeRoom int
	loggedAt time.Time
}

// Listener limits the connections of one listener.
type Listener struct {
	Budget *Budget
	Name   string
	// MaxClients limits the connections.
	MaxClients int

	// count and interrupted are the numbers of connections, and of those that were
	// interrupted. The lock of the budget protects them.
	count, interrupted int
}

// Client is a connection. Its methods are safe for concurrent use.
type Client struct {
	listener  *Listener
	interrupt func(Phase)

	// The lock of the budget protects the fields below.
	phase       Phase
	since       time.Time
	held        int64
	interrupted bool
	removed     bool
}

// Add registers a new connection, above MaxClients too: the caller then makes room
// with Client.MakeRoom. interrupt is called, with the phase of the connection, when
// the connection has to make room, and must not block or call this package.
func (l *Listener) Add(now time.Time, interrupt func(Phase)) *Client {
	budget := l.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	client := &Client{listener: l, interrupt: interrupt, phase: Receiving, since: now}
	if budget.clients == nil {
		budget.clients = make(map[*Client]struct{})
	}
	budget.clients[client] = struct{}{}
	l.count++
	return client
}

// MakeRoom interrupts other connections of the listener if there are more than
// MaxClients. It reports whether the connection may be served; otherwise the caller
// tries again when connections have ended.
func (c *Client) MakeRoom(now time.Time) bool {
	listener := c.listener
	budget := listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	for listener.count-listener.interrupted > listener.MaxClients {
		victim := budget.oldest(now, func(other *Client) bool { return other != c && other.listener == listener })
		if victim == nil {
			return false
		}
		budget.end(victim, LackOfConnections, now)
	}
	return listener.count <= listener.MaxClients+listener.MaxClients/endingDivisor
}

// Crowded reports whether the listener has more than half of MaxClients.
func (c *Client) Crowded() bool {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return c.listener.count > c.listener.MaxClients/2
}

// Remove ends the registration of a closed connection.
func (c *Client) Remove() {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	c.release()
	if c.interrupted {
		c.listener.interrupted--
	}
	c.listener.count--
	delete(budget.clients, c)
}

// Interrupted reports whether the connection has to make room.
func (c *Client) Interrupted() bool {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return c.interrupted
}

// SetPhase records what the host does with the connection, and since when.
func (c *Client) SetPhase(phase Phase, since time.Time) {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.phase, c.since = phase, since
}

// ChangePhase is SetPhase for a connection that is in a certain phase. It has no
// effect on others.
func (c *Client) ChangePhase(from, to Phase, since time.Time) {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if c.phase == from {
		c.phase, c.since = to, since
	}
}

// Release frees all bytes of the connection.
func (c *Client) Release() {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.release()
}

func (c *Client) release() {
	c.listener.Budget.held -= c.held
	c.held = 0
}

// Reserve reserves bytes for the request of the connection. If the budget is used up,
// connections for whose requests the host has waited longer make room. If there are
// none, this connection has to make room itself, and Reserve reports false.
func (c *Client) Reserve(bytes int64, now time.Time) bool {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if c.interrupted {
		return false
	}
	for budget.held+bytes > budget.MaxBytes {
		victim := budget.oldest(now, func(other *Client) bool { return other == c || other.held > 0 })
		if victim == nil {
			victim = c
		}
		budget.end(victim, LackOfMemory, now)
		if victim == c {
			return false
		}
	}
	budget.held += bytes
	c.held += bytes
	return true
}

// ReserveAnswer reserves the bytes of an answer that is ready, which is always
// delivered. Other connections make room as for Reserve, as far as there are any.
func (c *Client) ReserveAnswer(bytes int64, now time.Time) {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if c.interrupted || c.removed {
		return
	}
	budget.held += bytes
	c.held += bytes
	for budget.held > budget.MaxBytes {
		victim := budget.oldest(now, func(other *Client) bool { return other != c && other.held > 0 })
		if victim == nil {
			return
		}
		budget.end(victim, LackOfMemory, now)
	}
}

// ReleaseAnswer frees the bytes of an answer that was written.
func (c *Client) ReleaseAnswer(bytes int64) {
	budget := c.listener.Budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	bytes = min(bytes, c.held)
	budget.held -= bytes
	c.held -= bytes
}

// Held returns the reserved bytes.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// oldest returns the connection that makes room first among those that may: of those
// that receive a request, then of those that are idle, then of those whose peer takes
// nothing of an answer, the one that has been so for longest.
func (b *Budget) oldest(now time.Time, may func(*Client) bool) (found *Client) {
	for client := range b.clients {
		if client.interrupted || client.phase == Working || !may(client) {
			continue
		}
		if client.phase == Answering && now.Sub(client.since) < stalledAnswerAge {
			continue
		}
		if found == nil || client.phase < found.phase || client.phase == found.phase && client.since.Before(found.since) {
			found = client
		}
	}
	return found
}

// end makes a connection make room. Its bytes count as free at once, since its
// goroutine returns without waiting for the peer.
func (b *Budget) end(client *Client, reason Reason, now time.Time) {
	client.interrupted = true
	client.listener.interrupted++
	client.release()
	client.interrupt(client.phase)
	b.count(reason, client.listener, now)
}

// count counts a client that had to make room, and logs that at most once in
// logInterval.
func (b *Budget) count(reason Reason, listener *Listener, now time.Time) {
	b.Scope.Tagged(map[string]string{"reason": string(reason), "listener": listener.Name}).Counter("clients_made_room").Inc(1)
	b.madeRoom++
	if !b.loggedAt.IsZero() && now.Sub(b.loggedAt) < logInterval {
		return
	}
	b.Log.Warn("clients make room for others", zap.String("listener", listener.Name), zap.String("reason", string(reason)),
		zap.Int("clients", b.madeRoom), zap.Int64("held-bytes", b.held), zap.Int64("limit-bytes", b.MaxBytes))
	b.loggedAt, b.madeRoom = now, 0
}
