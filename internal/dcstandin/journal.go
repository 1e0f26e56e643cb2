package dcstandin

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// JournalKey identifies an order over all servers.
type JournalKey struct {
	Department dcid.Department
	Key        dcid.OrderKey
}

// Journal counts the runs of orders over all servers that share it, so that a
// second run is found wherever it happens. A run counts from its start.
type Journal struct {
	mu   sync.Mutex
	runs map[JournalKey][]dcid.ServerAddr
}

// NewJournal returns an empty Journal.
func NewJournal() *Journal {
	return &Journal{runs: make(map[JournalKey][]dcid.ServerAddr)}
}

func (j *Journal) record(key JournalKey, server dcid.ServerAddr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[key] = append(j.runs[key], server)
}

// Runs returns the servers that ran an order, one entry for each run.
func (j *Journal) Runs(key JournalKey) []dcid.ServerAddr {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs[key])
}

// Orders returns the number of orders that ran at least once.
func (j *Journal) Orders() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.runs)
}

// Duplicates returns the orders that ran more than once, in key order.
func (j *Journal) Duplicates() []JournalKey {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []JournalKey
	for key, servers := range j.runs {
		if len(servers) > 1 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b JournalKey) int {
		return cmp.Or(cmp.Compare(a.Department, b.Department), cmp.Compare(a.Key, b.Key))
	})
	return keys
}
