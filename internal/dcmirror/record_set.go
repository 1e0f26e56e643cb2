package dcmirror

import (
	"bytes"
	"cmp"
	"slices"
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
	// recovered is the time at which the store last became available again, or was
	// found to be restored.
	recovered time.Time
	// lasting selects the record that is kept until a newer one is written.
	lasting Lasting
	// position is the position of the copy. removed holds the removals since logStart,
	// with the position at which they became known.
	position, logStart dcstore.Position
	removed            map[string]dcstore.Position
	// before is the position that the copy had before its last change, and rewritten
	// holds the records of a restored store that were written since it was restored.
	before    dcstore.Position
	rewritten []dcstore.Record
}

func newRecordSet(observer Observer, lasting Lasting) *recordSet {
	return &recordSet{
		observer:       observer,
		lasting:        lasting,
		records:        make(map[string]dcstore.Record),
		pendingRemoval: make(map[string]time.Time),
	}
}

// replace takes a snapshot of all records that the store holds. restored is set if
// the store was restored from a copy since the records were read; the revisions of
// the snapshot say nothing then of what is newer. The observer gets the records in the
// order of keys, whether they come from the store or from another host.
func (s *recordSet) replace(records []dcstore.Record, restored bool, now time.Time) {
	present := make(map[string]bool, len(records))
	for _, record := range slices.SortedFunc(slices.Values(records), compareKeys) {
		present[record.Key] = true
		s.put(record, restored)
	}
	for key := range s.records {
		if !present[key] {
			s.scheduleRemoval(key, s.removalTime(now))
		}
	}
}

func compareKeys(a, b dcstore.Record) int { return cmp.Compare(a.Key, b.Key) }

// change applies changes in their order. It ignores a removal that is not newer
// than the record.
func (s *recordSet) change(changes []dcstore.Change, now time.Time) {
	for _, change := range changes {
		if change.Removed {
			known, ok := s.records[change.Key]
			switch {
			case !ok:
				// A host that follows this one may know the record.
				s.logRemoval(change.Key)
			case change.Position().After(known.Position()):
				s.scheduleRemoval(change.Key, s.removalTime(now))
			}
			continue
		}
		s.put(change.Record, false)
	}
}

// put takes a record if it is newer than the known one, if the removal of that one
// is pending, or if the store was restored and holds another value. The lasting
// record is replaced only by one that is newer by its content.
func (s *recordSet) put(record dcstore.Record, restored bool) {
	known, ok := s.records[record.Key]
	_, pendingRemoval := s.pendingRemoval[record.Key]
	if ok && !restored && !pendingRemoval && !record.Position().After(known.Position()) {
		return
	}
	delete(s.pendingRemoval, record.Key)
	delete(s.removed, record.Key)
	kept := ok && s.lasting.keeps(known, record)
	if kept {
		record.Value = known.Value
	}
	s.records[record.Key] = record
	if restored && !kept && (ok && record.Modified > known.Modified || !ok && record.Modified > s.before.Revision) {
		// The copy that the store was restored from cannot hold this revision: other
		// hosts have noticed the restoration earlier, and have written it again.
		s.rewritten = append(s.rewritten, record)
		return
	}
	if kept || ok && restored && !pendingRemoval && bytes.Equal(record.Value, known.Value) {
		return
	}
	s.observer.Put(record)
}

// putRewritten notifies the observer of the records that were written after the store
// was restored and before this host noticed it.
func (s *recordSet) putRewritten() {
	for _, record := range s.rewritten {
		s.observer.Put(record)
	}
	s.rewritten = nil
}

// offer takes the lasting record of another host if it is newer than the known
// one. It keeps the position of that one, with which the store continues.
func (s *recordSet) offer(record dcstore.Record) (taken bool) {
	known, ok := s.records[record.Key]
	if record.Key != s.lasting.Key || ok && !s.lasting.Newer(record.Value, known.Value) {
		return false
	}
	record.Era, record.Modified = known.Era, known.Modified
	s.records[record.Key] = record
	s.observer.Put(record)
	return true
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
	if _, ok := s.records[key]; !ok || key == s.lasting.Key {
		return
	}
	if _, ok := s.pendingRemoval[key]; ok {
		return
	}
	s.pendingRemoval[key] = until
	s.logRemoval(key)
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

// Lasting selects a record that stays in force until a newer one is written, also
// when the store is restored from a copy that holds an older one or none.
type Lasting struct {
	// Key is the key of the record, empty for none.
	Key string
	// Newer reports whether a value of the record is newer than another one. A value
	// that cannot be read is not.
	Newer func(value, other []byte) bool
}

// keeps reports whether the known record stays in force instead of a listed one.
func (l *Lasting) keeps(known, listed dcstore.Record) bool {
	return l.Key != "" && known.Key == l.Key && l.Newer(known.Value, listed.Value)
}
