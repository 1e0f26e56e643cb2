package dcbalance

import (
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
