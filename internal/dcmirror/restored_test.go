package dcmirror

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// recordIn returns a record of an era.
func recordIn(era dcstore.Era, revision dcstore.Revision, key, value string) dcstore.Record {
	return dcstore.Record{Key: key, Value: []byte(value), Modified: revision, Era: era}
}

func positionIn(era dcstore.Era, revision dcstore.Revision) dcstore.Position {
	return dcstore.Position{Era: era, Revision: revision}
}

// testLasting makes c the lasting record; the greater value is the newer one.
var testLasting = Lasting{Key: "c", Newer: func(value, other []byte) bool { return bytes.Compare(value, other) > 0 }}

func newTestMirror(observer Observer) *Mirror {
	clock := clockwork.NewFakeClock()
	return &Mirror{Observer: observer, Lasting: testLasting, Clock: clock, Log: zap.NewNop(), set: newRecordSet(observer, testLasting)}
}

// TestRestoredStore guards against changes that are ignored after the store was
// restored from an older copy because their revisions had been used before, and
// against a configuration of the copy that replaces the newer one in force.
func TestRestoredStore(t *testing.T) {
	var observer recordingObserver
	mirror := newTestMirror(&observer)
	expect := func(what, want string) {
		t.Helper()
		if got := observer.take(); got != want {
			t.Errorf("%s: got %q, want %q", what, got, want)
		}
	}
	mirror.apply(update{snapshot: true, position: positionIn(1, 90), records: []dcstore.Record{
		recordIn(1, 80, "c", "v4"), recordIn(1, 70, "a", "ready"), recordIn(1, 71, "gone", "ready"), recordIn(1, 72, "same", "ready"),
	}})
	mirror.apply(update{position: positionIn(1, 99), copyPosition: positionIn(1, 90), changes: []dcstore.Change{
		{Record: recordIn(1, 95, "c", "v8")}, {Record: recordIn(1, 96, "a", "draining")}, {Record: recordIn(1, 97, "new", "ready")},
		{Record: dcstore.Record{Key: "gone", Modified: 98, Era: 1}, Removed: true},
	}})
	observer.take()
	mirror.apply(update{snapshot: true, position: positionIn(2, 92), copyPosition: positionIn(1, 99), records: []dcstore.Record{
		recordIn(2, 80, "c", "v4"), recordIn(2, 70, "a", "ready"), recordIn(2, 71, "gone", "ready"), recordIn(2, 72, "same", "ready"),
	}})
	expect("copy of an earlier time", "put a=ready, put gone=ready, pending new")
	if !slices.Equal(observer.restored, []dcstore.Era{2}) {
		t.Errorf("restorations %v, want one, with era 2", observer.restored)
	}
	mirror.apply(update{position: positionIn(2, 95), copyPosition: positionIn(2, 92), changes: []dcstore.Change{
		{Record: recordIn(2, 93, "c", "v6")}, {Record: recordIn(2, 94, "a", "draining")}, {Record: recordIn(2, 95, "new", "ready")},
	}})
	expect("written again", "put a=draining, put new=ready")
	mirror.apply(update{position: positionIn(2, 96), copyPosition: positionIn(2, 95), changes: []dcstore.Change{{Record: recordIn(2, 96, "c", "v9")}}})
	expect("newer configuration with a revision that was used before", "put c=v9")
}

// TestStoreRestoredTwice guards against a host that continues with the history
// that a second restoration has ended, also if it did not notice the first one, and
// against a store without eras that goes unnoticed when it is restored.
func TestStoreRestoredTwice(t *testing.T) {
	for name, c := range map[string]struct {
		first, second dcstore.Position
	}{
		"both noticed":         {positionIn(2, 50), positionIn(3, 45)},
		"one after the other":  {positionIn(3, 50), positionIn(4, 200)},
		"without eras":         {positionIn(1, 50), positionIn(1, 45)},
		"at the same revision": {positionIn(2, 99), positionIn(3, 99)},
	} {
		var observer recordingObserver
		mirror := newTestMirror(&observer)
		mirror.apply(update{snapshot: true, position: positionIn(1, 99), records: []dcstore.Record{recordIn(1, 99, "a", "1"), recordIn(1, 98, "c", "v9")}})
		mirror.apply(update{snapshot: true, position: c.first, copyPosition: mirror.position, records: []dcstore.Record{recordIn(c.first.Era, 40, "a", "2")}})
		mirror.apply(update{snapshot: true, position: c.second, copyPosition: mirror.position, records: []dcstore.Record{recordIn(c.second.Era, 39, "a", "3")}})
		if got := observer.take(); got != "put a=1, put c=v9, synced, put a=2, put a=3" {
			t.Errorf("%s: %s", name, got)
		}
		if len(observer.restored) != 2 || mirror.position != c.second {
			t.Errorf("%s: restorations %v, position %v", name, observer.restored, mirror.position)
		}
		if copied := mirror.Copy(mirror.position, true); copied.Lasting == nil || string(copied.Lasting.Value) != "v9" {
			t.Errorf("%s: the configuration is not kept for other hosts: %+v", name, copied)
		}
	}
}

// TestDelayedAnswerOfEarlierEra guards against an answer of the history before a
// restoration that arrives late and replaces what was written since.
func TestDelayedAnswerOfEarlierEra(t *testing.T) {
	var observer recordingObserver
	mirror := newTestMirror(&observer)
	mirror.apply(update{snapshot: true, position: positionIn(1, 99), records: []dcstore.Record{recordIn(1, 99, "a", "1")}})
	mirror.apply(update{peer: true, position: positionIn(2, 50), records: []dcstore.Record{recordIn(2, 50, "a", "2")}})
	mirror.apply(update{snapshot: true, position: positionIn(1, 100), copyPosition: positionIn(1, 99), records: []dcstore.Record{recordIn(1, 100, "a", "late")}})
	if got := observer.take(); got != "put a=1, synced, put a=2" || mirror.position != positionIn(2, 50) {
		t.Errorf("%s, position %v", got, mirror.position)
	}
}

// restoredHistory is a store that is restored at the second call of Changes.
type restoredHistory struct {
	scriptedHistory
	followed []dcstore.Position
}

func (r *restoredHistory) Changes(ctx context.Context, prefix string, after dcstore.Position) ([]dcstore.Change, dcstore.Position, error) {
	r.mu.Lock()
	r.followed = append(r.followed, after)
	r.mu.Unlock()
	return r.scriptedHistory.Changes(ctx, prefix, after)
}

// lastingPeer has a newer configuration than the store.
type lastingPeer struct {
	asked int
}

func (p *lastingPeer) Fetch(_ context.Context, known dcstore.Position, lasting bool) (dcstore.Copy, error) {
	copied := dcstore.Copy{Position: positionIn(1, 99)}
	if lasting {
		p.asked++
		if p.asked == 1 {
			return dcstore.Copy{}, errors.New("no answer")
		}
		record := recordIn(1, 98, "c", "v8")
		copied.Lasting = &record
	}
	if known.Before(copied.Position) {
		copied.Records = []dcstore.Record{recordIn(1, 98, "c", "v8")}
	}
	return copied, nil
}

// TestStartAfterRestoration guards against a host that starts after the store was
// restored, and stays with the older configuration of the copy although others have
// the newer one, and against one that brings back a configuration which was
// replaced. It also guards against asking the others without end.
func TestStartAfterRestoration(t *testing.T) {
	for name, c := range map[string]struct{ stored, want string }{
		"older in the store": {"v4", "put c=v4, synced, put a=w, put c=v8"},
		"newer in the store": {"v9", "put c=v9, synced, put a=w"},
	} {
		synctest.Test(t, func(t *testing.T) {
			history := &restoredHistory{scriptedHistory: scriptedHistory{answers: []update{
				{position: positionIn(2, 92), records: []dcstore.Record{recordIn(2, 80, "c", c.stored)}},
				{position: positionIn(2, 93), changes: []dcstore.Change{{Record: recordIn(2, 93, "a", "w")}}},
			}}}
			var observer recordingObserver
			peer := &lastingPeer{}
			mirror := &Mirror{History: history, Peers: peer, Lasting: testLasting, Observer: &observer, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := mirror.Run(ctx); err != nil {
				t.Error(err)
			}
			if got := observer.take(); got != c.want {
				t.Errorf("%s: %s, want %s", name, got, c.want)
			}
			if peer.asked != lastingAsks+1 {
				t.Errorf("%s: asked %d times, want %d with one failure", name, peer.asked, lastingAsks+1)
			}
			if !slices.Contains(history.followed, positionIn(2, 93)) {
				t.Errorf("%s: follows %v, want the position of the store", name, history.followed)
			}
		})
	}
}

// TestConfigurationIsNotRemoved guards against a configuration that goes out of
// force because the restored copy is older than the first one.
func TestConfigurationIsNotRemoved(t *testing.T) {
	var observer recordingObserver
	mirror := newTestMirror(&observer)
	mirror.apply(update{snapshot: true, position: positionIn(1, 9), records: []dcstore.Record{recordIn(1, 9, "c", "v1")}})
	mirror.apply(update{snapshot: true, position: positionIn(2, 3), copyPosition: positionIn(1, 9)})
	mirror.set.removeDue(mirror.Clock.Now().Add(time.Hour))
	if got := observer.take(); got != "put c=v1, synced" {
		t.Error(got)
	}
}
