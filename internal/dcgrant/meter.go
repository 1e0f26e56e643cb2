package dcgrant

import (
	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcquota"
)

// Meter holds the metrics of the quotas.
type Meter struct {
	// granted counts requests that this host has granted to itself and others. used
	// and ended count requests of its own grants that ran, and that it did not use in
	// time.
	granted, used, ended tally.Counter
	// refused counts requests over quota. shareUsed and shareRefused count those that
	// the guaranteed share decided.
	refused, shareUsed, shareRefused tally.Counter
	// failedCalls counts calls to granting hosts without an answer, and calls all.
	calls, failedCalls tally.Counter
	// departments is the number of departments that this host has granted quotas of.
	departments tally.Gauge
}

// NewMeter creates the metrics of the quotas in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		granted:      scope.Counter("quota_granted"),
		used:         scope.Counter("quota_used"),
		ended:        scope.Counter("quota_ended_unused"),
		refused:      scope.Counter("quota_refused"),
		shareUsed:    scope.Counter("quota_share_used"),
		shareRefused: scope.Counter("quota_share_refused"),
		calls:        scope.Counter("quota_calls"),
		failedCalls:  scope.Counter("quota_calls_failed"),
		departments:  scope.Gauge("quota_departments_granted"),
	}
}

// account reports the counts of an account that have grown since before.
func (m *Meter) account(before, after dcquota.Counts) {
	m.used.Inc(after.Used - before.Used)
	m.ended.Inc(after.Ended - before.Ended)
}
