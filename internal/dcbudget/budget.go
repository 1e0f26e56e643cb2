// Package dcbudget limits the extra load, hedges and retries together, that a
// department puts on a service group, and derives the hedge delay from
// observed latencies.
package dcbudget

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Burst is the number of tokens a budget can hold. A query to 310 servers
// hedges 4% of its sub-queries, about 13 at two instants, and several queries
// start before the first of them hedges.
const Burst = 50

// maxFraction bounds the extra load that a configuration can ask for.
const maxFraction = 1.0

// Group is the state that all departments of a service group share in one
// host: latencies and shedding servers.
type Group struct {
	latency         hedgeDelays
	sheddingServers sheddingServers
	fraction        float64
}

// NewGroup returns the state of a group. quantile is the latency quantile
// after which a hedge is sent; 0 turns hedging off. fraction is the extra
// load allowed as a fraction of sub-queries. A quantile that by itself would
// spend more than hedgeShare of the fraction is raised, because an empty
// bucket refuses hedges to stragglers and to ordinary answers alike.
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

// RecordLatency records the latency of a sub-query, or how long a cancelled
// one had been running. Leaving out cancelled ones would lower the quantile
// with each hedge that wins, and so raise the number of hedges.
func (g *Group) RecordLatency(latency time.Duration, now time.Time) {
	g.latency.histogram.Record(latency, now)
}

// HedgeDelay returns how long to wait for an answer before hedge number
// hedge, from 1, or false when hedging is off or too little is known.
func (g *Group) HedgeDelay(hedge int, now time.Time) (time.Duration, bool) {
	return g.latency.delay(hedge, now)
}

// RecordShed records that a server refused work for overload.
func (g *Group) RecordShed(server dcid.ServerAddr, now time.Time) {
	g.sheddingServers.record(server, now)
}

// Shedding reports whether a server refused work recently. Nothing extra is
// sent to it then.
func (g *Group) Shedding(server dcid.ServerAddr, now time.Time) bool {
	return g.sheddingServers.active(server, now)
}

// Budget is the extra-load budget of one department of a group: a token bucket
// filled by sub-queries sent, not by time, so that extra load stays a fraction
// of the load whatever the load is.
type Budget struct {
	*Group
	tokens float64
}

// NewBudget returns the budget of one more department, which starts full.
func (g *Group) NewBudget() *Budget {
	return &Budget{Group: g, tokens: g.capacity()}
}

// burst is Burst, or nothing for a group that allows no extra load.
func (g *Group) capacity() float64 {
	if g.fraction == 0 {
		return 0
	}
	return Burst
}

// Sent accrues tokens for n first sub-queries.
func (b *Budget) Sent(n int) {
	b.tokens = min(b.tokens+float64(n)*b.fraction, b.capacity())
}

// Take spends a token on one extra sub-query, if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Level returns the tokens left.
func (b *Budget) Available() float64 {
	return b.tokens
}
