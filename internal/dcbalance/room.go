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
	// Windows means that the servers have refused requests, or answered them late,
	// for lack of room, and this host's share of what they can run is in use.
	Windows
)

// Room tells when the servers of a service have room for more requests.
type Room struct {
	// Usable is the number of servers that are neither leaving, nor misdirected, nor in
	// an evacuated failure domain.
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
// already. typical is the typical latency of such requests, 0 if unknown; windows
// then do not count.
func (g *Group) Room(waiting int, typical time.Duration, now time.Time) (room Room) {
	const unknown = time.Duration(math.MaxInt64)
	free, unlimited := 0, false
	firstFree, firstHoldEnd := unknown, unknown
	cause := RateLimits
	for _, server := range g.servers {
		if !g.usable(server) {
			continue
		}
		room.Usable++
		switch {
		case server.hold.Remaining(now) > 0:
			firstHoldEnd = min(firstHoldEnd, server.hold.Remaining(now))
		case server.rateLimit.Limited():
			free += server.rateLimit.Tokens(now)
			firstFree = min(firstFree, server.rateLimit.Wait(now))
			room.Rate += server.rateLimit.Rate()
		case server.window.limited() && typical > 0:
			free += max(server.window.limit-server.inFlight, 0)
			rate := float64(server.window.limit) / typical.Seconds()
			firstFree = min(firstFree, dcratelimit.Duration(1, dcratelimit.Rate(rate)))
			room.Rate += dcratelimit.Rate(rate)
			cause = Windows
		default:
			unlimited = true
		}
	}
	if unlimited {
		room.Rate = 0
	}
	if unlimited || room.Usable == 0 || free > waiting {
		return room
	}
	room.Wait, room.Cause = firstHoldEnd, Holds
	if firstFree != unknown {
		if wait := firstFree + dcratelimit.Duration(float64(waiting-free), room.Rate); wait < room.Wait {
			room.Wait, room.Cause = wait, cause
		}
	}
	return room
}
