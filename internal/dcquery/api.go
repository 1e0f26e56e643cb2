// Package dcquery decides one running query: scatter, gather, hedges, retries,
// restart on a newer pin, and coverage.
package dcquery

import (
	"math/rand/v2"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcshardmap"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

// Budget limits extra load; *dcbudget.Budget implements it.
type Budget interface {
	Sent(n int)
	Take() bool
	RecordLatency(latency time.Duration, now time.Time)
	HedgeDelay(hedge int, now time.Time) (time.Duration, bool)
	RecordShed(server dcid.ServerAddr, now time.Time)
	Shedding(server dcid.ServerAddr, now time.Time) bool
}

// Servers tells what this host knows of servers at the moment.
type Servers interface {
	// Usable reports whether the server may receive new work.
	Usable(server dcid.ServerAddr) bool
	// InFlight returns the sub-queries of this host at the server.
	InFlight(server dcid.ServerAddr) int
}

// Rule is the coverage rule of a service group.
type Rule struct {
	// Complete refuses an answer that misses a shard.
	Complete bool
	// MinCoverage is the smallest covered fraction of a partial answer.
	MinCoverage float64
}

// Options are the inputs of a query.
type Options struct {
	Request  dcid.RequestID
	Deadline time.Time
	Rule     Rule
	Budget   Budget
	// Servers may be nil: every server is then usable and idle.
	Servers Servers
	Rand    *rand.Rand
	// PinNewer returns a pin newer than the given one, or nil. It is called at
	// most once.
	PinNewer func(than *dcshardmap.Pin) *dcshardmap.Pin
	// RestartTime is the time left that a restart needs.
	RestartTime time.Duration
	// Canary sends one sub-query first and the others after it succeeded.
	Canary bool
	// RetryCanary tells whether a canary that crashed the given server may run
	// on one other server; nil means no. It is called at most once.
	RetryCanary func(crashed dcid.ServerAddr) bool
	// MaxBytes bounds the bodies kept for the answer; 0 means DefaultMaxBytes.
	MaxBytes int
}

// DefaultMaxBytes bounds the bodies kept for one answer.
const DefaultMaxBytes = 32 << 20

// Transmission numbers the sub-queries sent by one query, from 1, over all
// shards and both pins. Label.Attempt numbers those of one shard.
type Transmission uint32

// Kind is the kind of an action.
type Kind uint8

// Kinds of actions.
const (
	// Send a sub-query: Transmission, Server, Label, Time is the deadline.
	Send Kind = iota + 1
	// Cancel a transmission: Transmission, Server, Label.
	Cancel
	// Wake calls Timer at Time and replaces the earlier wake-up time.
	Wake
	// Suspect reports a server that was lost after the request was written:
	// Transmission, Server, Label.
	Suspect
	// Finish ends the query: Answer.
	Finish
)

// Action is something the caller must do, in order.
type Action struct {
	Kind         Kind
	Transmission Transmission
	Server       dcid.ServerAddr
	Label        dcupstream.Label
	Time         time.Time
	Answer       *Answer
}

// Missing is a shard without an answer.
type Missing struct {
	Shard dcid.ShardID
	Code  dcreason.Code
}

// ServiceCoverage is the coverage of one service. Covered and Missing together
// are exactly the shards of the pinned map.
type ServiceCoverage struct {
	Service dcid.ServiceName
	Epoch   dcid.MapEpoch
	Covered []dcid.ShardID
	Missing []Missing
}

// Result is the body of one shard.
type Result struct {
	Service dcid.ServiceName
	Shard   dcid.ShardID
	Body    []byte
}

// Stats counts what one query did.
type Stats struct {
	Sent       int
	Hedges     int
	Retries    int
	Moves      int // sent again without charge after a 409, 410 or draining answer
	Mismatched int // label differs from the one sent
	Stray      int // late, duplicate or unknown transmission
	Denied     int // hedges and retries that the budget refused
	Restarts   int
}

// Answer is the end of a query.
type Answer struct {
	// Outcome and Code describe the whole query. Code is OK for an answer that
	// may be used, also a partial one that the rule accepts.
	Outcome dcreason.Outcome
	Code    dcreason.Code
	// Version is the pinned index version.
	Version  dcid.IndexVersion
	Coverage []ServiceCoverage
	// Results are empty when the query is refused.
	Results []Result
	Stats   Stats
}

// Query is one running query. The actions that a method returns are valid
// until the next call.
type Query struct{}

// New returns a query on a pin; the pin is nil when the map is unknown.
func New(pin *dcshardmap.Pin, options Options) *Query { return &Query{} }

// Start begins the query.
func (q *Query) Start(now time.Time) []Action { return nil }

// Response handles what became of a transmission.
func (q *Query) Response(id Transmission, response dcupstream.Response, now time.Time) []Action {
	return nil
}

// Timer handles the wake-up time.
func (q *Query) Timer(now time.Time) []Action { return nil }

// Abandon handles the caller going away.
func (q *Query) Abandon(now time.Time) []Action { return nil }

// Finished reports whether the query has finished.
func (q *Query) Finished() bool { return false }

// Stats returns the counts so far, including strays after the end.
func (q *Query) Stats() Stats { return Stats{} }
