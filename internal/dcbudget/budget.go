// Package dcbudget limits the extra load, which is hedges and retries together,
// that a department puts on a service group, and derives the hedge delay from
// observed latencies.
package dcbudget

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Burst is the maximum number of tokens in a budget. A query to 310 servers
// hedges 4% of its sub-queries, about 13, at two instants, which are the first
// and the second hedge delay, and several queries start before the first of them
// hedges.
const Burst = 50

// maxFraction is the maximum extra load that a configuration can allow, as a
// fraction of the sub-queries.
const maxFraction = 1.0

// Group is the state that all departments of a service group share within one
// host: latencies and servers that shed load. It is not safe for concurrent use.
type Group struct {
	// latency holds the recent latencies, from which it computes hedge delays.
	latency         hedgeDelays
	sheddingServers sheddingServers
	fraction        float64
}

// NewGroup returns the state of a group. quantile is the latency quantile
// after which a hedge is sent; 0 turns hedging off. fraction is the extra
// load allowed as a fraction of sub-queries, and is limited to 0 to maxFraction.
// A quantile that by itself would spend more than firstHedgeShare of the
// fraction is raised: once the token bucket is empty, hedges of stragglers are
// refused just like those of ordinary sub-queries.
func NewGroup(quantile, fraction float64) *Group {
	fraction = min(max(fraction, 0), maxFraction)
	if quantile > 0 {
		quantile = min(max(quantile, 1-fraction*firstHedgeShare), 1)
	}
	return &Group{
		latency:         newHedgeDelays(quantile),
		sheddingServers: sheddingServers{until: make(map[dcid.ServerAddr]time.Time)},
		fraction:        fraction,
	}
}

// RecordLatency records the latency of a sub-query, or how long a cancelled one
// had been running. Without the cancelled ones, each hedge that wins would lower
// the quantile and so raise the number of hedges.
func (g *Group) RecordLatency(latency time.Duration, now time.Time) {
	g.latency.histogram.Record(latency, now)
}

// HedgeDelay returns how long to wait for an answer before the given hedge,
// counted from 1. The delay of a later hedge starts at the hedge before it. It
// returns false if hedging is off or too few latencies are known.
func (g *Group) HedgeDelay(hedge int, now time.Time) (time.Duration, bool) {
	return g.latency.delay(hedge, now)
}

// RecordShed records that a server refused work because of overload.
func (g *Group) RecordShed(server dcid.ServerAddr, now time.Time) {
	g.sheddingServers.record(server, now)
}

// Shedding reports whether a server refused work within the last SheddingTime.
// Such a server gets no extra sub-queries.
func (g *Group) Shedding(server dcid.ServerAddr, now time.Time) bool {
	return g.sheddingServers.active(server, now)
}

// Budget is the extra-load budget of one department of a group: a token bucket
// that is filled by the sub-queries sent rather than by time, so that the extra
// load stays a fraction of the load at any load. It is not safe for concurrent
// use.
type Budget struct {
	*Group
	tokens float64
}

// NewBudget returns a full budget for one more department.
func (g *Group) NewBudget() *Budget {
	return &Budget{Group: g, tokens: g.capacity()}
}

// capacity returns Burst, or 0 for a group that allows no extra load.
func (g *Group) capacity() float64 {
	if g.fraction == 0 {
		return 0
	}
	return Burst
}

// Sent adds the tokens for n first sub-queries.
func (b *Budget) Sent(n int) {
	b.tokens = min(b.tokens+float64(n)*b.fraction, b.capacity())
}

// Take spends a token on one extra sub-query. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of tokens left.
func (b *Budget) Available() float64 {
	return b.tokens
}
