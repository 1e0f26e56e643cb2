package dcmirror

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// removalHold is the time for which a removed record is doubted before it
	// counts as gone. An outage can end before this host notices it, and the
	// removals of lapsed records then look like any other.
	removalDelay = 1500 * time.Millisecond
	// lapseHold is the time after an outage within which the owners of lapsed
	// records write them again, about two seconds with the delay of the news.
	outageRemovalDelay = 2200 * time.Millisecond
)

// recordSet decides which records are there, doubtful or gone.
type recordSet struct {
	observer Observer
	records  map[string]dcstore.Record
	// doubted holds the time at which a removed record counts as gone.
	pendingRemoval map[string]time.Time
	// regained is the time at which the service last came back.
	recovered time.Time
}

func newRecordSet(observer Observer) *recordSet {
	return &recordSet{
		observer:       observer,
		records:        make(map[string]dcstore.Record),
		pendingRemoval: make(map[string]time.Time),
	}
}

// replace takes everything that the service holds.
func (c *recordSet) replace(records []dcstore.Record, now time.Time) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
		c.put(record)
	}
	for key := range c.records {
		if !present[key] {
			c.scheduleRemoval(key, now)
		}
	}
}

func (c *recordSet) change(changes []dcstore.Change, now time.Time) {
	for _, change := range changes {
		if change.Removed {
			if c.records[change.Key].Modified < change.Modified {
				c.scheduleRemoval(change.Key, now)
			}
			continue
		}
		c.put(change.Record)
	}
}

func (c *recordSet) put(record dcstore.Record) {
	known, ok := c.records[record.Key]
	_, pendingRemoval := c.pendingRemoval[record.Key]
	if ok && record.Modified <= known.Modified && !pendingRemoval {
		return
	}
	delete(c.pendingRemoval, record.Key)
	c.records[record.Key] = record
	c.observer.Put(record)
}

func (c *recordSet) scheduleRemoval(key string, now time.Time) {
	if _, ok := c.records[key]; !ok {
		return
	}
	if _, ok := c.pendingRemoval[key]; ok {
		return
	}
	until := now.Add(removalDelay)
	if lapse := c.recovered.Add(outageRemovalDelay); lapse.After(until) {
		until = lapse
	}
	c.pendingRemoval[key] = until
	c.observer.RemovalPending(key)
}

// removeDue gives up the records that were doubted for long enough.
func (c *recordSet) removeDue(now time.Time) {
	for key, until := range c.pendingRemoval {
		if until.After(now) {
			continue
		}
		delete(c.pendingRemoval, key)
		delete(c.records, key)
		c.observer.Remove(key)
	}
}

// nextRemoval returns the time of the next expiry.
func (c *recordSet) nextRemoval() (nextRemoval time.Time, ok bool) {
	for _, until := range c.pendingRemoval {
		if !ok || until.Before(nextRemoval) {
			nextRemoval, ok = until, true
		}
	}
	return nextRemoval, ok
}
