// Package dcbudget limits the extra load, hedges and retries together, that a
// department puts on a service group, and derives the hedge delay from
// observed latencies.
package dcbudget

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Group is the state that all departments of a service group share.
type Group struct{}

// NewGroup returns the state of a group. quantile is the latency quantile
// after which a hedge is sent; 0 turns hedging off. fraction is the extra
// load allowed as a fraction of sub-queries.
func NewGroup(quantile, fraction float64) *Group { return &Group{} }

// Budget is the extra-load budget of one department of a group.
type Budget struct{}

// NewBudget returns the budget of one more department.
func (g *Group) NewBudget() *Budget { return &Budget{} }

// Sent accrues tokens for n first sub-queries.
func (b *Budget) Sent(n int) {}

// Take spends a token on one extra sub-query, if there is one.
func (b *Budget) Take() bool { return false }

// Level returns the tokens left.
func (b *Budget) Level() float64 { return 0 }

// RecordLatency records the latency of a sub-query, or how long a cancelled
// one had been running.
func (g *Group) RecordLatency(latency time.Duration, now time.Time) {}

// HedgeDelay returns how long to wait for an answer before hedge number
// hedge, from 1, or false when hedging is off or too little is known.
func (g *Group) HedgeDelay(hedge int, now time.Time) (time.Duration, bool) { return 0, false }

// RecordShed records that a server refused work for overload.
func (g *Group) RecordShed(server dcid.ServerAddr, now time.Time) {}

// Shedding reports whether a server refused work recently.
func (g *Group) Shedding(server dcid.ServerAddr, now time.Time) bool { return false }
