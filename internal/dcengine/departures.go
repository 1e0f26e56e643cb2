package dcengine

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// departureTime is how long a server that leaves is remembered after the list or
	// the server itself last said so.
	departureTime = 10 * time.Minute
	// maxDepartures is the number of servers from which those that are no longer
	// remembered are removed.
	maxDepartures = 256
)

// departures holds the server processes that leave. A process does not return,
// whatever the list says of it afterwards: the list may have been restored from an
// older copy. The zero value is empty.
type departures struct {
	byID map[dcid.ServerID]departure
}

type departure struct {
	server dcbalance.Server
	at     time.Time
}

// add records that a process leaves. It replaces an earlier process of the server.
func (d *departures) add(server dcbalance.Server, now time.Time) {
	if d.byID == nil {
		d.byID = make(map[dcid.ServerID]departure)
	}
	if len(d.byID) >= maxDepartures {
		for id, known := range d.byID {
			if now.Sub(known.at) >= departureTime {
				delete(d.byID, id)
			}
		}
	}
	d.byID[server.ID] = departure{server, now}
}

// has reports whether a process leaves.
func (d *departures) has(server dcbalance.Server, now time.Time) bool {
	known, ok := d.byID[server.ID]
	return ok && known.server.SameProcess(server) && now.Sub(known.at) < departureTime
}
