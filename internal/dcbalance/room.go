package dcbalance

import (
	"math"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
)

// Cause tells why a service has no room.
type Cause uint8

// Causes of missing room.
const (
	// NoCause means that there is room.
	NoCause Cause = iota
	// RateLimits means that the rate limits of the servers are used up.
	RateLimits
	// Holds means that all servers want no requests for a time.
	Holds
)

// Room tells when the servers of a service have room for more requests.
type Room struct {
	// Usable is the number of servers that are neither leaving nor misdirected.
	Usable int
	// Wait is the time until the servers take one more request of this host, 0 if
	// one of them does now.
	Wait time.Duration
	// Rate is the rate at which the servers take requests of this host, 0 if it is
	// not limited or not known.
	Rate dcratelimit.Rate
	// Cause is the reason of Wait.
	Cause Cause
}

// Room returns when the servers take a request after those that are waiting
// already.
func (g *Group) Room(waiting int, now time.Time) (room Room) {
	tokens, unlimited := 0, false
	const unknown = time.Duration(math.MaxInt64)
	firstToken, firstHoldEnd := unknown, unknown
	for _, server := range g.servers {
		if !server.usable() {
			continue
		}
		room.Usable++
		if remaining := server.hold.Remaining(now); remaining > 0 {
			firstHoldEnd = min(firstHoldEnd, remaining)
			continue
		}
		if !server.rateLimit.Limited() {
			unlimited = true
			continue
		}
		tokens += server.rateLimit.Tokens(now)
		firstToken = min(firstToken, server.rateLimit.Wait(now))
		room.Rate += server.rateLimit.Rate()
	}
	if unlimited {
		room.Rate = 0
	}
	if unlimited || room.Usable == 0 || tokens > waiting {
		return room
	}
	room.Wait, room.Cause = firstHoldEnd, Holds
	if firstToken != unknown {
		if wait := firstToken + dcratelimit.Duration(float64(waiting-tokens), room.Rate); wait < room.Wait {
			room.Wait, room.Cause = wait, RateLimits
		}
	}
	return room
}
