package dcmirror

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

// Meter holds the metrics of a mirror. A nil Meter records nothing.
type Meter struct {
	source, following, age      tally.Gauge
	calls, answers, wholeCopies tally.Counter
}

// NewMeter creates the metrics of a mirror in a scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		source:      scope.Gauge("records_source"),
		following:   scope.Gauge("records_following"),
		age:         scope.Gauge("records_confirmation_age_seconds"),
		calls:       scope.Counter("records_calls_to_sources"),
		answers:     scope.Counter("records_answers_to_followers"),
		wholeCopies: scope.Counter("records_whole_copies_to_followers"),
	}
}

func (m *Meter) update(source, following bool, age time.Duration) {
	if m == nil {
		return
	}
	m.source.Update(indicator(source))
	m.following.Update(indicator(following))
	m.age.Update(age.Seconds())
}

func (m *Meter) called() {
	if m != nil {
		m.calls.Inc(1)
	}
}

func (m *Meter) answered(wholeCopy bool) {
	if m == nil {
		return
	}
	m.answers.Inc(1)
	if wholeCopy {
		m.wholeCopies.Inc(1)
	}
}

func indicator(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
