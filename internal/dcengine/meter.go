package dcengine

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// Meter holds the metrics of an engine.
type Meter struct {
	scope                tally.Scope
	configurationVersion tally.Gauge
	sends                tally.Counter
	// unresponsive counts sends without an answer after the hedge delay, extra
	// counts sends of a part after its first one, partialAnswers counts merged
	// answers without all shards.
	unresponsive   tally.Counter
	extra          tally.Counter
	partialAnswers tally.Counter
}

// NewMeter creates the metrics of an engine in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		scope:                scope,
		configurationVersion: scope.Gauge("configuration_version"),
		sends:                scope.Counter("sends"),
		unresponsive:         scope.Counter("silent_sends"),
		extra:                scope.Counter("extra_sends"),
		partialAnswers:       scope.Counter("answers_without_all_shards"),
	}
}

// request counts a finished request and records its latency.
func (m *Meter) request(code dcreason.Code, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"reason": string(code)}).Counter("requests").Inc(1)
	m.scope.Timer("request_latency").Record(elapsed)
}
