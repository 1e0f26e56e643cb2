// Package dcreason defines the outcomes of a request and the stable reason
// codes that answers, logs, metrics and reports share.
package dcreason

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// DecisionPoint is the place where an outcome was decided. The classification
// into local, upstream, transport and stale evidence follows "Python spend cap
// diagnosis for refused gaming traffic during launch".
type DecisionPoint string

// Decision points.
const (
	NoDecisionPoint  DecisionPoint = "none"
	LocalPolicy      DecisionPoint = "local-policy"
	LocalLimit       DecisionPoint = "local-limit"
	UpstreamRefusal  DecisionPoint = "upstream-refusal"
	TransportFailure DecisionPoint = "transport-failure"
	StaleEvidence    DecisionPoint = "stale-evidence"
)

// Code is a stable reason code.
type Code string

// Reason codes. The meaning of a code never changes.
const (
	OK                   Code = "ok"
	BadRequest           Code = "bad-request"
	BodyTooLarge         Code = "body-too-large"
	DeadlineMissing      Code = "deadline-missing"
	DeadlineInvalid      Code = "deadline-invalid"
	CredentialInvalid    Code = "credential-invalid"
	DepartmentDenied     Code = "department-denied"
	GroupUnknown         Code = "group-unknown"
	ServiceUnknown       Code = "service-unknown"
	KindMismatch         Code = "kind-mismatch"
	SchemaNotAccepted    Code = "schema-not-accepted"
	KeyMalformed         Code = "key-malformed"
	KeyExpired           Code = "key-expired"
	KeyFromFuture        Code = "key-from-future"
	KeyBodyMismatch      Code = "key-body-mismatch"
	KeyUnknown           Code = "key-unknown"
	KeyInProgress        Code = "key-in-progress"
	Quarantined          Code = "quarantined"
	RequestSuspected     Code = "request-suspected"
	ConfigurationStale   Code = "configuration-stale"
	ConfigurationMissing Code = "configuration-missing"
	ConfigConflict       Code = "config-conflict"
	ConfigInvalid        Code = "config-invalid"
	HostStopping         Code = "host-stopping"
	QueueFull            Code = "queue-full"
	WaitExceedsDeadline  Code = "wait-exceeds-deadline"
	DeadlineExceeded     Code = "deadline-exceeded"
	Cancelled            Code = "cancelled"
	BudgetExhausted      Code = "budget-exhausted"
	StoreUnavailable     Code = "store-unavailable"
	MapUnknown           Code = "map-unknown"
	VersionGone          Code = "version-gone"
	ShardGone            Code = "shard-gone"
	NoServer             Code = "no-server"
	UpstreamShed         Code = "upstream-shed"
	UpstreamDraining     Code = "upstream-draining"
	UpstreamError        Code = "upstream-error"
	UpstreamMalformed    Code = "upstream-malformed"
	UpstreamCrashed      Code = "upstream-crashed"
	ConnectionRefused    Code = "connection-refused"
	ConnectionFailed     Code = "connection-failed"
	StaleServer          Code = "stale-server"
	RouteUnknown         Code = "route-unknown"
	TooManyRequests      Code = "too-many-requests"
	Overloaded           Code = "overloaded"
	RateLimited          Code = "rate-limited"
	QuotaExceeded        Code = "quota-exceeded"
	PeerUnavailable      Code = "peer-unavailable"
	CoverageIncomplete   Code = "coverage-incomplete"
	OutcomeUnknown       Code = "outcome-unknown"
	Internal             Code = "internal"
)

// decisionPoints holds the codes that are not decided by LocalPolicy.
var decisionPoints = map[Code]DecisionPoint{
	OK:                   NoDecisionPoint,
	QueueFull:            LocalLimit,
	WaitExceedsDeadline:  LocalLimit,
	DeadlineExceeded:     LocalLimit,
	BudgetExhausted:      LocalLimit,
	UpstreamShed:         UpstreamRefusal,
	UpstreamDraining:     UpstreamRefusal,
	UpstreamError:        UpstreamRefusal,
	UpstreamMalformed:    UpstreamRefusal,
	VersionGone:          UpstreamRefusal,
	ShardGone:            UpstreamRefusal,
	UpstreamCrashed:      TransportFailure,
	ConnectionRefused:    TransportFailure,
	ConnectionFailed:     TransportFailure,
	PeerUnavailable:      TransportFailure,
	StoreUnavailable:     TransportFailure,
	OutcomeUnknown:       TransportFailure,
	ConfigurationStale:   StaleEvidence,
	ConfigurationMissing: StaleEvidence,
	MapUnknown:           StaleEvidence,
	StaleServer:          StaleEvidence,
	TooManyRequests:      LocalLimit,
	Overloaded:           LocalLimit,
	RateLimited:          LocalLimit,
	QuotaExceeded:        LocalLimit,
}

// DecisionPoint returns where the code is decided: LocalPolicy unless
// decisionPoints lists another place.
func (c Code) DecisionPoint() DecisionPoint {
	if point, ok := decisionPoints[c]; ok {
		return point
	}
	return LocalPolicy
}
