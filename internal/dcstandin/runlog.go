package dcstandin

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// OrderID identifies an order over all servers.
type OrderID struct {
	Department dcid.Department
	Key        dcid.OrderKey
}

// RunLog counts the runs of orders over all servers that share it, so that a
// second run is found wherever it happens. A run counts from its start.
type RunLog struct {
	mu   sync.Mutex
	runs map[OrderID][]dcid.ServerAddr
}

// NewRunLog returns an empty RunLog.
func NewRunLog() *RunLog {
	return &RunLog{runs: make(map[OrderID][]dcid.ServerAddr)}
}

func (j *RunLog) record(key OrderID, server dcid.ServerAddr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[key] = append(j.runs[key], server)
}

// Runs returns the servers that ran an order, one entry for each run.
func (j *RunLog) Runs(key OrderID) []dcid.ServerAddr {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs[key])
}

// Orders returns the number of orders that ran at least once.
func (j *RunLog) Orders() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.runs)
}

// Duplicates returns the orders that ran more than once, in key order.
func (j *RunLog) Duplicates() []OrderID {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []OrderID
	for key, servers := range j.runs {
		if len(servers) > 1 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b OrderID) int {
		return cmp.Or(cmp.Compare(a.Department, b.Department), cmp.Compare(a.Key, b.Key))
	})
	return keys
}
