package dcmirror

import (
	"slices"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// maxLoggedRemovals limits the removals that are kept for followers. A follower
// that needs older ones gets the whole copy.
const maxLoggedRemovals = 4096

// resetLog forgets the removals before the present position. That is also due before
// a whole copy is taken: it does not tell of records that were written and removed
// since the position before, which a follower may have in the meantime.
func (s *recordSet) resetLog() {
	clear(s.removed)
	s.logStart = s.position
}

// logRemoval keeps the position at which a removal became known.
func (s *recordSet) logRemoval(key string) {
	if s.removed == nil {
		s.removed = make(map[string]dcstore.Position)
	}
	if len(s.removed) >= maxLoggedRemovals {
		s.resetLog()
	}
	s.removed[key] = s.position
}

// since returns what has changed since a position, or the whole copy if the changes
// since then are not known.
func (s *recordSet) since(known dcstore.Position, now time.Time) (records []dcstore.Record, removals []dcstore.Removal, snapshot bool) {
	snapshot = known == dcstore.Position{} || known.Era != s.position.Era || known.Before(s.logStart)
	for _, record := range s.records {
		if snapshot || record.Position().After(known) {
			records = append(records, record)
		}
	}
	if snapshot {
		for key := range s.pendingRemoval {
			removals = append(removals, s.removal(key, s.position, now))
		}
		return records, removals, true
	}
	for key, position := range s.removed {
		if position.After(known) {
			removals = append(removals, s.removal(key, position, now))
		}
	}
	return records, removals, false
}

func (s *recordSet) removal(key string, position dcstore.Position, now time.Time) dcstore.Removal {
	removal := dcstore.Removal{Key: key, Position: position}
	if until, ok := s.pendingRemoval[key]; ok {
		removal.Remaining = max(until.Sub(now), 0)
	}
	return removal
}

// takeRemovals schedules the removals of another host for the times at which that
// host drops the records, unless a record is newer. No host keeps a record longer than
// outageRemovalDelay.
func (s *recordSet) takeRemovals(removals []dcstore.Removal, now time.Time) {
	for _, removal := range removals {
		known, ok := s.records[removal.Key]
		switch {
		case !ok:
			// A host that follows this one may know the record.
			s.logRemoval(removal.Key)
		case !known.Position().After(removal.Position):
			s.scheduleRemoval(removal.Key, now.Add(min(max(removal.Remaining, 0), outageRemovalDelay)))
		}
	}
}

// keepEarlier restores the times of removals that were pending before a whole copy was
// taken, and are pending again, so that copies that follow each other do not put a
// removal off.
func (s *recordSet) keepEarlier(pending map[string]time.Time) {
	for key, until := range pending {
		if again, ok := s.pendingRemoval[key]; ok && until.Before(again) {
			s.pendingRemoval[key] = until
		}
	}
}

// withoutDropped removes the records of a whole copy whose removal is pending there,
// and which are gone here already: they would come into use once more.
func (s *recordSet) withoutDropped(records []dcstore.Record, removals []dcstore.Removal) []dcstore.Record {
	dropped := make(map[string]bool)
	for _, removal := range removals {
		if _, ok := s.records[removal.Key]; !ok {
			dropped[removal.Key] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(records), func(record dcstore.Record) bool { return dropped[record.Key] })
}
