package dchost

import (
	"fmt"
	"sync"
	"time"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcburn"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
)

// counterState holds the request counters, which mu guards.
type counterState struct {
	mu       sync.Mutex
	counters *dcburn.Counters
}

func (s *counterState) count(sample dcburn.Sample, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Count(sample, now)
}

func (s *counterState) close(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Close(now)
}

func (s *counterState) setReplicas(peers []dcid.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.SetReplicas(peers)
}

func (s *counterState) pending(peer dcid.HostID, now time.Time) []*peerv1.CounterRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.Pending(peer, maxCounterBytes, now)
}

func (s *counterState) acknowledge(peer dcid.HostID, rows []*peerv1.CounterRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Acknowledge(peer, rows)
}

func (s *counterState) merge(rows []*peerv1.CounterRow, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Merge(rows, now)
}

func (s *counterState) rows(from, until time.Time) []*peerv1.CounterRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.Rows(from, until)
}

// objectiveKey returns the key of an objective in counters and reports.
func objectiveKey(objective *settingsv1.Objective) string {
	if objective.GetKind() == dcsettings.ObjectiveLatency {
		return fmt.Sprintf("%s-%s", objective.GetKind(), objective.GetThreshold().AsDuration())
	}
	return objective.GetKind()
}

// objectivesMet returns the keys of the objectives that a request met. A
// request that did not run meets none. A latency objective is met by an answer
// within the threshold, any other objective by a complete answer.
func objectivesMet(rules *settingsv1.ServiceGroup, ran, complete bool, elapsed time.Duration) (good []string) {
	for _, objective := range rules.GetObjectives() {
		met := ran && complete
		if objective.GetKind() == dcsettings.ObjectiveLatency {
			met = ran && elapsed <= objective.GetThreshold().AsDuration()
		}
		if met {
			good = append(good, objectiveKey(objective))
		}
	}
	return good
}
