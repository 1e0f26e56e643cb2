package dcroster

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	tally "github.com/uber-go/tally/v4"

	"github.com/dandelioncart/dandelioncart/internal/dcplacement"
)

// loadInterval is the time between two samples of the processor time.
const loadInterval = time.Second

// LoadMonitor tells the other hosts whether this one is busy. Set the exported fields
// before Run.
type LoadMonitor struct {
	Roster *Roster
	// ProcessorTime returns the processor time that the process has used.
	ProcessorTime func() (time.Duration, error)
	// Cores is the number of processor cores that the process may use, 0 when unknown.
	Cores float64
	// OnShare is called when the share of this host has changed without a change of
	// the list of hosts.
	OnShare func()
	Scope   tally.Scope
	Clock   clockwork.Clock
}

// Run takes samples until ctx ends.
func (m *LoadMonitor) Run(ctx context.Context) error {
	use := dcplacement.ProcessorUse{Cores: m.Cores}
	ticker := m.Clock.NewTicker(loadInterval)
	defer ticker.Stop()
	count := m.Roster.Count()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if used, err := m.ProcessorTime(); err == nil {
			m.Roster.SetBusy(use.Sample(used, m.Clock.Now()))
		}
		if now := m.Roster.Count(); now != count {
			count = now
			m.OnShare()
		}
		selected, hosts := m.Roster.Selected()
		m.Scope.Gauge("processor_use").Update(use.Average())
		m.Scope.Gauge("hosts_selected_for_callers").Update(float64(hosts))
		m.Scope.Gauge("selected_for_callers").Update(boolValue(selected))
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
