package dcroster

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/timestamppb"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"
)

// TestExchangePeers guards against a host that returns to the list, or runs a new process,
// and looks as if it had been there all the time, against one that looks new because other
// fields of its record have changed, and against a change of the list, which costs each
// host a new division of its connections, for each host that restarts.
func TestExchangePeers(t *testing.T) {
	started := time.Unix(1_700_000_000, 5).UTC()
	record := newHostRecord("h2", hostv1.State_STATE_SERVING)
	record.Started = timestamppb.New(started)
	for name, c := range map[string]struct {
		change func(r *Roster)
		// newArrival is set if the host has come into the list once more.
		newArrival bool
		// changes and returns are the notifications of a change of the list, and of a
		// host that is back while the list is the same.
		changes, returns int
	}{
		"same record": {change: func(r *Roster) { r.Put(newStoreRecord(t, record)) }},
		"new process": {returns: 1, change: func(r *Roster) {
			restarted := newHostRecord("h2", hostv1.State_STATE_SERVING)
			restarted.Started = timestamppb.New(started.Add(time.Minute))
			r.Put(newStoreRecord(t, restarted))
		}},
		"busy": {changes: 1, change: func(r *Roster) {
			busy := newHostRecord("h2", hostv1.State_STATE_SERVING)
			busy.Started, busy.Busy = record.Started, true
			r.Put(newStoreRecord(t, busy))
		}},
		"record of the host itself": {change: func(r *Roster) { r.RecordReceived(record) }},
		"written again after its lease ended": {newArrival: true, returns: 1, change: func(r *Roster) {
			r.RemovalPending("hosts/h2")
			r.Put(newStoreRecord(t, record))
		}},
		"removed and back": {newArrival: true, changes: 2, change: func(r *Roster) {
			r.RemovalPending("hosts/h2")
			r.Remove("hosts/h2")
			r.Put(newStoreRecord(t, record))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			roster := newRoster(clockwork.NewFakeClock(), nil)
			changes, returns := 0, 0
			roster.OnChange, roster.OnReturn = func() { changes++ }, func() { returns++ }
			roster.Put(newStoreRecord(t, record))
			before, synced := roster.ExchangePeers()
			if len(before) != 1 || before[0].ID != "h2" || before[0].Address != "h2:2" || !before[0].Started.Equal(started) || synced {
				t.Fatalf("hosts %+v, list read %t", before, synced)
			}
			changes, returns = 0, 0
			c.change(roster)
			after, _ := roster.ExchangePeers()
			if len(after) != 1 || (after[0].Arrival != before[0].Arrival) != c.newArrival {
				t.Errorf("hosts %+v before and %+v after", before, after)
			}
			if changes != c.changes || returns != c.returns {
				t.Errorf("notified of %d changes and %d returns, want %d and %d", changes, returns, c.changes, c.returns)
			}
		})
	}
}

// TestExchangePeersGone guards against calls without end to a host that the store never
// listed and that no longer answers.
func TestExchangePeersGone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	roster := newRoster(clock, nil)
	roster.RecordReceived(newHostRecord("h2", hostv1.State_STATE_SERVING))
	if peers, _ := roster.ExchangePeers(); len(peers) != 1 {
		t.Errorf("hosts %v, want the one that has sent its record", peers)
	}
	clock.Advance(leaseTTL)
	if peers, _ := roster.ExchangePeers(); len(peers) != 0 {
		t.Errorf("hosts %v after %v without a sign of life", peers, leaseTTL)
	}
}
