// Package dcclient is the Go client of callers of dandelioncart. It asks the
// tier for addresses, spreads requests over them, passes the deadline on and
// repeats only what cannot run twice.
package dcclient

import "time"

// Outcome tells whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Ran means that the request ran and that the answer is its own.
	Ran Outcome = "ran"
	// NotRun means that it is proven not to have run.
	NotRun Outcome = "not-run"
	// Unknown means that it may have run. Ask for an order by its key.
	Unknown Outcome = "unknown"
)

// Result says what happened to a request and who decided it.
type Result struct {
	RequestID string
	Outcome   Outcome
	// Reason is a stable reason code; ok when nothing went wrong.
	Reason    string
	DecidedBy string
	Message   string
	// ConfigRevision was in force when the request was decided.
	ConfigRevision uint32
	HostID         string
	// Attempts is the number of transmissions that the client made.
	Attempts int
}

// Query asks every shard of a service group.
type Query struct {
	Group         string
	SchemaVersion string
	Body          []byte
}

// QueryAnswer is the answer to a Query.
type QueryAnswer struct {
	Result Result
	// IndexVersion is the one that every part of the answer was read from.
	IndexVersion string
	// Coverage has one entry for each service of the group.
	Coverage []Coverage
	Shards   []Shard
	// Elapsed is the time in the tier.
	Elapsed time.Duration
}

// Complete reports whether the query ran and no shard is missing.
func (a QueryAnswer) Complete() bool {
	for _, service := range a.Coverage {
		if len(service.Missing) > 0 {
			return false
		}
	}
	return a.Result.Outcome == Ran && len(a.Coverage) > 0
}

// Coverage tells which shards of one service an answer covers.
type Coverage struct {
	Service  string
	MapEpoch uint32
	Covered  []string
	Missing  []MissingShard
}

// MissingShard is a shard without an answer and why.
type MissingShard struct {
	Shard  string
	Reason string
}

// Shard is the answer of one shard.
type Shard struct {
	Service string
	Shard   string
	Body    []byte
}

// Order runs at most once for each department and key.
type Order struct {
	Group         string
	Service       string
	SchemaVersion string
	// Key is a UUIDv7; use NewKey. Keep it to repeat the order or to ask for
	// its outcome.
	Key  string
	Body []byte
}

// OrderAnswer is the outcome of an order.
type OrderAnswer struct {
	Result Result
	Key    string
	// Body is the answer of the upstream when the order ran.
	Body []byte
}
