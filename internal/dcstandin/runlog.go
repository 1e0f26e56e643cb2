package dcstandin

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// OrderID identifies an order across all servers.
type OrderID struct {
	Department dcid.Department
	Key        dcid.OrderKey
}

// RunLog records which servers ran each order. All servers of a Fleet share one
// RunLog, so that it shows a second run of an order on any of them. A run
// counts from its start. A RunLog is safe for concurrent use.
type RunLog struct {
	mu   sync.Mutex
	runs map[OrderID][]dcid.ServerAddr
}

// NewRunLog returns an empty RunLog.
func NewRunLog() *RunLog {
	return &RunLog{runs: make(map[OrderID][]dcid.ServerAddr)}
}

func (l *RunLog) record(id OrderID, server dcid.ServerAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], server)
}

// Runs returns the servers that ran an order, with one entry for each run.
func (l *RunLog) Runs(id OrderID) []dcid.ServerAddr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}

// Orders returns the number of orders that ran at least once.
func (l *RunLog) Orders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// Duplicates returns the orders that ran more than once, sorted by department
// and key.
func (l *RunLog) Duplicates() []OrderID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []OrderID
	for id, servers := range l.runs {
		if len(servers) > 1 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b OrderID) int {
		return cmp.Or(cmp.Compare(a.Department, b.Department), cmp.Compare(a.Key, b.Key))
	})
	return ids
}
