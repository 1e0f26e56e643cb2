package dcmirror

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// removalHold is the time for which a removed record is doubted before it
	// counts as gone. An outage can end before this host notices it, and the
	// removals of lapsed records then look like any other.
	removalHold = 1500 * time.Millisecond
	// lapseHold is the time after an outage within which the owners of lapsed
	// records write them again, about two seconds with the delay of the news.
	lapseHold = 2200 * time.Millisecond
)

// copied decides which records are there, doubtful or gone.
type copied struct {
	observer Observer
	records  map[string]dcstore.Record
	// doubted holds the time at which a removed record counts as gone.
	doubted map[string]time.Time
	// regained is the time at which the service last came back.
	regained time.Time
}

func newCopied(observer Observer) *copied {
	return &copied{
		observer: observer,
		records:  make(map[string]dcstore.Record),
		doubted:  make(map[string]time.Time),
	}
}

// replace takes everything that the service holds.
func (c *copied) replace(records []dcstore.Record, now time.Time) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
		c.put(record)
	}
	for key := range c.records {
		if !present[key] {
			c.remove(key, now)
		}
	}
}

func (c *copied) change(changes []dcstore.Change, now time.Time) {
	for _, change := range changes {
		if change.Removed {
			if c.records[change.Key].Modified < change.Modified {
				c.remove(change.Key, now)
			}
			continue
		}
		c.put(change.Record)
	}
}

func (c *copied) put(record dcstore.Record) {
	known, ok := c.records[record.Key]
	_, doubted := c.doubted[record.Key]
	if ok && record.Modified <= known.Modified && !doubted {
		return
	}
	delete(c.doubted, record.Key)
	c.records[record.Key] = record
	c.observer.Put(record)
}

func (c *copied) remove(key string, now time.Time) {
	if _, ok := c.records[key]; !ok {
		return
	}
	if _, ok := c.doubted[key]; ok {
		return
	}
	until := now.Add(removalHold)
	if lapse := c.regained.Add(lapseHold); lapse.After(until) {
		until = lapse
	}
	c.doubted[key] = until
	c.observer.Doubt(key)
}

// expire gives up the records that were doubted for long enough.
func (c *copied) expire(now time.Time) {
	for key, until := range c.doubted {
		if until.After(now) {
			continue
		}
		delete(c.doubted, key)
		delete(c.records, key)
		c.observer.Remove(key)
	}
}

// next returns the time of the next expiry.
func (c *copied) next() (next time.Time, ok bool) {
	for _, until := range c.doubted {
		if !ok || until.Before(next) {
			next, ok = until, true
		}
	}
	return next, ok
}
