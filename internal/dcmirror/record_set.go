package dcmirror

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// removalDelay is how long the removal of a record stays pending before the
	// record is dropped. An outage can end before this host notices it, and the
	// removals of records that expired in it then look like any other.
	removalDelay = 1500 * time.Millisecond
	// outageRemovalDelay is the time after an outage within which the owners of
	// expired records write them again, about two seconds including the delay
	// until this host is notified.
	outageRemovalDelay = 2200 * time.Millisecond
)

// recordSet decides which records are present, pending removal or gone.
type recordSet struct {
	observer Observer
	records  map[string]dcstore.Record
	// pendingRemoval holds the time at which a removed record is dropped.
	pendingRemoval map[string]time.Time
	// recovered is the time at which the store last became available again.
	recovered time.Time
}

func newRecordSet(observer Observer) *recordSet {
	return &recordSet{
		observer:       observer,
		records:        make(map[string]dcstore.Record),
		pendingRemoval: make(map[string]time.Time),
	}
}

// replace takes a snapshot of all records that the store holds.
func (s *recordSet) replace(records []dcstore.Record, now time.Time) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
		s.put(record)
	}
	for key := range s.records {
		if !present[key] {
			s.scheduleRemoval(key, s.removalTime(now))
		}
	}
}

// change applies changes in their order. It ignores a removal that is not newer
// than the record.
func (s *recordSet) change(changes []dcstore.Change, now time.Time) {
	for _, change := range changes {
		if change.Removed {
			if s.records[change.Key].Modified < change.Modified {
				s.scheduleRemoval(change.Key, s.removalTime(now))
			}
			continue
		}
		s.put(change.Record)
	}
}

// put takes a record if it is newer than the known one, or if the removal of
// that one is pending.
func (s *recordSet) put(record dcstore.Record) {
	known, ok := s.records[record.Key]
	_, pendingRemoval := s.pendingRemoval[record.Key]
	if ok && record.Modified <= known.Modified && !pendingRemoval {
		return
	}
	delete(s.pendingRemoval, record.Key)
	s.records[record.Key] = record
	s.observer.Put(record)
}

// removalTime returns when a record is dropped whose removal this host learns of
// now.
func (s *recordSet) removalTime(now time.Time) time.Time {
	until := now.Add(removalDelay)
	if afterOutage := s.recovered.Add(outageRemovalDelay); afterOutage.After(until) {
		until = afterOutage
	}
	return until
}

// scheduleRemoval marks a record as pending removal until the given time.
func (s *recordSet) scheduleRemoval(key string, until time.Time) {
	if _, ok := s.records[key]; !ok {
		return
	}
	if _, ok := s.pendingRemoval[key]; ok {
		return
	}
	s.pendingRemoval[key] = until
	s.observer.RemovalPending(key)
}

// removeDue drops the records whose removal is due.
func (s *recordSet) removeDue(now time.Time) {
	for key, until := range s.pendingRemoval {
		if until.After(now) {
			continue
		}
		delete(s.pendingRemoval, key)
		delete(s.records, key)
		s.observer.Remove(key)
	}
}

// nextRemoval returns the time at which the next removal is due, or false when
// none is pending.
func (s *recordSet) nextRemoval() (nextRemoval time.Time, ok bool) {
	for _, until := range s.pendingRemoval {
		if !ok || until.Before(nextRemoval) {
			nextRemoval, ok = until, true
		}
	}
	return nextRemoval, ok
}
