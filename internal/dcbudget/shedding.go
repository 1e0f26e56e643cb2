package dcbudget

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// ShedHold is how long a server counts as shedding after it refused work. Each
// further refusal starts it again.
const SheddingTime = time.Second

// sweepSize is the number of servers above which entries that have ended are
// removed.
const cleanupSize = 1024

// shedding remembers the servers that refused work for overload.
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
