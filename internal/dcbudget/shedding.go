package dcbudget

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// SheddingTime is how long a server counts as shedding load after it refused
// work. Each further refusal starts the time again.
const SheddingTime = time.Second

// cleanupSize is the number of entries from which expired ones are removed.
const cleanupSize = 1024

// sheddingServers records the servers that refused work because of overload,
// with the time until which each counts as shedding load.
type sheddingServers struct {
	until map[dcid.ServerAddr]time.Time
}

func (s *sheddingServers) record(server dcid.ServerAddr, now time.Time) {
	if len(s.until) >= cleanupSize {
		s.removeExpired(now)
	}
	s.until[server] = now.Add(SheddingTime)
}

func (s *sheddingServers) active(server dcid.ServerAddr, now time.Time) bool {
	if len(s.until) == 0 {
		return false
	}
	return now.Before(s.until[server])
}

func (s *sheddingServers) removeExpired(now time.Time) {
	for server, until := range s.until {
		if !now.Before(until) {
			delete(s.until, server)
		}
	}
}
