package dcbalance

import (
	"math"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
)

// minReportInterval is the shortest time between two reports of a limit that
// changes from answer to answer.
const minReportInterval = time.Second

// rateLimit is this host's share of the rate limit of a server.
type rateLimit struct {
	dcratelimit.Share
	// reportedAt is the time of the last change that was reported.
	reportedAt time.Time
	// malformed is set while the server sends values that are not a limit.
	malformed bool
}

// RateLimitChange tells how an answer changed what is known of the rate limit of
// its server.
type RateLimitChange uint8

// Changes of a rate limit.
const (
	RateLimitUnchanged RateLimitChange = iota
	// RateLimitNamed is the first answer that names a limit, or one that names
	// another limit than the one that was reported.
	RateLimitNamed
	// RateLimitEnded is the first answer that names no limit any more.
	RateLimitEnded
	// RateLimitMalformed is the first answer with a value that is not a limit.
	RateLimitMalformed
)

// RecordRateLimit records what an answer says of the rate limit of its server.
// It returns this host's share, for RateLimitEnded as it was before the end. An
// answer ends a limit only if the server ran the request: a refusal may come from
// a queue that does not set the field. An answer to a request that was sent before the
// limit was last named does not end it either.
func (g *Group) RecordRateLimit(call *Call, outcome Outcome, statement dcratelimit.Statement, place dcratelimit.Place, now time.Time) (share dcratelimit.Share, change RateLimitChange) {
	limit := &call.serverState.rateLimit
	switch statement.Kind {
	case dcratelimit.Malformed:
		if !limit.malformed {
			change = RateLimitMalformed
		}
		limit.malformed = true
	case dcratelimit.Named:
		if !limit.Limited() || limit.Limit() != statement.Rate && now.Sub(limit.reportedAt) >= minReportInterval {
			change, limit.reportedAt = RateLimitNamed, now
		}
		limit.malformed = false
		limit.Name(statement.Rate, place, g.Random.Float64(), now)
	case dcratelimit.Absent:
		share = limit.Share
		if (outcome == Answered || outcome == Failed) && limit.End(call.started) {
			limit.malformed = false
			return share, RateLimitEnded
		}
	}
	return limit.Share, change
}

// Room tells when the servers of a service have room for more requests.
type Room struct {
	// Usable is the number of servers that are neither leaving nor misdirected.
	Usable int
	// Wait is the time until the rate limits of the servers allow one more request
	// of this host, 0 if one of them does, or has no limit.
	Wait time.Duration
	// Rate is the rate at which the limits allow requests of this host, 0 if a
	// server has no limit.
	Rate dcratelimit.Rate
}

// Room returns when the rate limits of the servers allow a request after those
// that are waiting already.
func (g *Group) Room(waiting int, now time.Time) (room Room) {
	tokens, unlimited := 0, false
	first := time.Duration(math.MaxInt64)
	for _, server := range g.servers {
		if !server.usable() {
			continue
		}
		room.Usable++
		if !server.rateLimit.Limited() {
			unlimited = true
			continue
		}
		tokens += server.rateLimit.Tokens(now)
		first = min(first, server.rateLimit.Wait(now))
		room.Rate += server.rateLimit.Rate()
	}
	if unlimited {
		room.Rate = 0
	}
	if unlimited || room.Usable == 0 || tokens > waiting {
		return room
	}
	room.Wait = first + dcratelimit.Duration(float64(waiting-tokens), room.Rate)
	return room
}
