// Package dcclient is the Go client for callers of dandelioncart. It asks the
// tier for the addresses of hosts, spreads requests over them, passes the
// deadline on, and sends a request again only when it cannot run twice.
package dcclient

import "time"

// Outcome tells whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Ran means that the request ran and that the answer belongs to it.
	Ran Outcome = "ran"
	// NotRun means that the request is proven not to have run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run. Look up the outcome of an
	// order by its key.
	Unknown Outcome = "unknown"
)

// Result describes the outcome of a request: whether it ran, the reason, and
// where this was decided.
type Result struct {
	RequestID string
	Outcome   Outcome
	// Reason is a stable reason code; ok when nothing went wrong.
	Reason string
	// DecidedBy tells where the outcome was decided: local-policy, local-limit,
	// upstream-refusal, transport-failure, stale-evidence or none.
	DecidedBy string
	// Message describes the outcome for people.
	Message string
	// ConfigRevision is the configuration revision that was in force when the
	// outcome was decided.
	ConfigRevision uint32
	// HostID is the id of the host that responded.
	HostID string
	// Attempts is the number of times that the client tried to send the
	// request.
	Attempts int
}

// Query is a query to every shard of a service group.
type Query struct {
	Group         string
	SchemaVersion string
	Body          []byte
}

// QueryAnswer is the answer to a Query.
type QueryAnswer struct {
	Result Result
	// IndexVersion is the index version from which all parts of the answer were
	// read.
	IndexVersion string
	// Coverage has one entry for each service of the group.
	Coverage []Coverage
	Shards   []Shard
	// Elapsed is the time that the tier took to answer.
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

// Coverage lists the shards of one service that an answer covers, and those
// that are missing.
type Coverage struct {
	Service  string
	MapEpoch uint32
	Covered  []string
	Missing  []MissingShard
}

// MissingShard is a shard without an answer, with the reason code.
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

// Order is an order, which runs at most once for each department and key.
type Order struct {
	Group         string
	Service       string
	SchemaVersion string
	// Key is a UUIDv7, which NewKey returns. Keep it to send the order again or
	// to look up its outcome.
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
