package dcquota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

const (
	// maxListLag is how far the list of one host in touch with the store may be
	// behind that of another.
	maxListLag = 3 * time.Second
	// askDelay is how long this host asks the former granting host after it has
	// learned of a member that replaces it. The former one may learn later.
	askDelay = 3500 * time.Millisecond
	// contactTime is how long a granting host goes on without contact. It is shorter
	// than the lifetime of its lease, after which another host takes its place.
	contactTime = 3 * time.Second
	// beginDelay is how long a new granting host waits. The former one stops when it
	// learns of the new one, which is maxListLag late, or more by an outage of the
	// store that is shorter than contactTime. A longer outage begins the wait again.
	beginDelay = maxListLag + contactTime
	// maxObserveGap is the longest time between two calls of Observe in a process
	// that runs undisturbed.
	maxObserveGap = 1500 * time.Millisecond
	// maxLists limits the lists of the last shareHold that are kept. With more, no
	// guaranteed share is used until the list has settled.
	maxLists = 64
	// goneTime is how long departures are remembered. A bucket is full by then.
	goneTime = time.Hour
)

// Member is another host.
type Member struct {
	ID      dcid.HostID
	Address string
	// Leaving is set if the host has said that it stops.
	Leaving bool
	// Selected is set if callers use the host.
	Selected bool
}

// View is what this host knows of the list of hosts.
type View struct {
	Self dcid.HostID
	// Joined is the time at which the record of this host was last written to the
	// list, zero if the list does not hold it or has not been read.
	Joined time.Time
	// Resumed is set if the other hosts have counted this one, with its earlier
	// processes, long enough for none of them to use a part of its share.
	Resumed bool
	// Selected is set if callers use this host. Only such hosts have guaranteed shares.
	Selected bool
	// Leaving is set once this host has decided to stop.
	Leaving bool
	// Confirmed is the time of the last contact with the store.
	Confirmed time.Time
	// SharesConfirmed is set while the other hosts count this one as a user of its
	// guaranteed share.
	SharesConfirmed bool
	Members         []Member
	// Departed lists hosts that may still use their guaranteed share.
	Departed []dcid.HostID
}

// Place is the place of this host for one department.
type Place struct {
	// Granting is set if this host is the granting host, since Begun.
	Granting bool
	Begun    time.Time
	// Target is the host to ask otherwise. It has no ID if there is none.
	Target Member
}

// Choice chooses the granting hosts. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Choice struct {
	Bound Bound
	Log   *zap.Logger

	view   View
	synced bool
	// joined is the time at which this host learned of view.Joined.
	joined  time.Time
	members map[dcid.HostID]*member
	// gone holds the time at which this host learned that another one is gone.
	gone map[dcid.HostID]time.Time
	// lists holds the lists by which a share may have been used within the last window
	// and the lag of lists, the present one last. started is the time of the first call
	// of Update.
	lists   []list
	started time.Time
	// observed is the time of the last call of Observe.
	observed time.Time
	// lapsed is set from the loss of contact, and restarted is the time at which it
	// was found again.
	lapsed    bool
	restarted time.Time
}

type member struct {
	Member
	// learned is the time at which this host learned of the member, zero for those
	// of the first list.
	learned time.Time
}

// list is a list of hosts that use guaranteed shares.
type list struct {
	// until is the time at which the next list replaced it, zero for the present
	// one.
	until time.Time
	// hosts holds the other hosts. counted is set if this host is one too.
	hosts   []dcid.HostID
	counted bool
}

// Update takes a new view.
func (c *Choice) Update(view View, now time.Time) {
	if c.members == nil {
		c.started = now
		c.members, c.gone = make(map[dcid.HostID]*member), make(map[dcid.HostID]time.Time)
	}
	present := make(map[dcid.HostID]bool, len(view.Members))
	for _, m := range view.Members {
		if m.Leaving {
			continue
		}
		present[m.ID] = true
		if known := c.members[m.ID]; known != nil {
			known.Member = m
			continue
		}
		added := &member{Member: m}
		if c.synced {
			added.learned = now
		}
		c.members[m.ID] = added
	}
	for id := range c.members {
		if !present[id] {
			delete(c.members, id)
			c.gone[id] = now
		}
	}
	for id, at := range c.gone {
		if elapsedAtLeast(at, now) > goneTime {
			delete(c.gone, id)
		}
	}
	c.synced = c.synced || !view.Joined.IsZero()
	if !view.Joined.Equal(c.view.Joined) {
		c.joined = now
	}
	c.view = view
	c.updateLists(now)
}

// updateLists records the present list if it has changed.
func (c *Choice) updateLists(now time.Time) {
	if !c.synced {
		return
	}
	present := list{counted: c.view.SharesConfirmed && c.view.Selected}
	for _, m := range c.view.Members {
		if m.Selected {
			present.hosts = append(present.hosts, m.ID)
		}
	}
	present.hosts = append(present.hosts, c.view.Departed...)
	slices.Sort(present.hosts)
	if len(c.lists) == 0 {
		c.lists = []list{present}
	}
	last := &c.lists[len(c.lists)-1]
	if !slices.Equal(last.hosts, present.hosts) || last.counted != present.counted {
		last.until = now
		c.lists = append(c.lists, present)
	}
	// A larger share is used only once it has been larger for a window and the lag
	// of lists. Until then the host whose share it was may have used it.
	hold := c.Bound.Window + dispatchDelay + maxListLag
	c.lists = slices.DeleteFunc(c.lists, func(l list) bool { return !l.until.IsZero() && elapsedAtLeast(l.until, now) > hold })
}

// startHold returns how long after its start this host uses no share of the given
// size, because an earlier process of it, or a host that took its place, may have used
// its own just before.
func (c *Choice) startHold(share int) time.Duration {
	switch {
	case !c.view.Resumed:
		return c.Bound.Window + dispatchDelay + maxListLag
	case share < 2:
		return c.Bound.Window + dispatchDelay
	}
	return c.Bound.Window/2 + dispatchDelay
}

// Observe checks the contact of this host. It must be called at least twice in
// maxObserveGap; a longer gap shows that the process was paused.
func (c *Choice) Observe(now time.Time) {
	paused := !c.observed.IsZero() && elapsedAtMost(c.observed, now) > maxObserveGap
	c.observed = now
	stored := elapsedAtMost(c.view.Confirmed, now) < contactTime
	if !stored {
		c.postpone(now)
	}
	was := c.lapsed
	switch {
	case paused:
		c.restarted, c.lapsed = now, !stored
		c.Log.Warn("quotas not granted after a pause of this process", zap.Duration("for", beginDelay))
	case !stored:
		c.lapsed = true
	case c.lapsed:
		c.lapsed, c.restarted = false, now
	}
	if c.lapsed != was {
		c.Log.Info("contact for granting quotas changed", zap.Bool("contact", !c.lapsed))
	}
}

// postpone lets a wait that is in progress begin again. It is in progress only until
// the others have learned of a change, which they do not while the store is away.
func (c *Choice) postpone(now time.Time) {
	if elapsedAtLeast(c.joinedAgain(), now) < beginDelay {
		c.restarted = now
	}
}

// joinedAgain returns the time at which this host last became a member or found
// contact again.
func (c *Choice) joinedAgain() time.Time {
	if c.restarted.After(c.joined) {
		return c.restarted
	}
	return c.joined
}

// Place returns the place of this host for a department.
func (c *Choice) Place(department dcid.Department, now time.Time) (place Place) {
	if !c.synced {
		return place
	}
	own := score(c.view.Self, department)
	place.Granting = !c.view.Leaving && !c.lapsed && !c.view.Joined.IsZero() && elapsedAtMost(c.observed, now) <= maxObserveGap &&
		elapsedAtMost(c.view.Confirmed, now) < contactTime
	var target uint64
	var first *member
	for _, m := range c.members {
		hash := score(m.ID, department)
		if hash < own {
			place.Granting = false
		}
		if (first == nil || hash < target) && (m.learned.IsZero() || elapsedAtLeast(m.learned, now) >= askDelay) {
			first, target = m, hash
		}
	}
	place.Begun = c.joinedAgain().Add(beginDelay)
	for id, at := range c.gone {
		if score(id, department) < own && at.After(place.Begun) {
			place.Begun = at
		}
	}
	place.Granting = place.Granting && !now.Before(place.Begun)
	// A host without contact is no longer listed by the others.
	selfFirst := (first == nil || own < target) && !c.view.Leaving && !c.lapsed && !c.view.Joined.IsZero() && elapsedAtLeast(c.joined, now) >= askDelay
	if first != nil && !selfFirst {
		place.Target = first.Member
	}
	return place
}

// Share returns the guaranteed share of this host in a window, the smallest by all
// lists of the last window. The shares of all hosts add up to reserve.
func (c *Choice) Share(department dcid.Department, reserve int, now time.Time) int {
	if reserve <= 0 || len(c.lists) == 0 || len(c.lists) > maxLists {
		return 0
	}
	own := score(c.view.Self, department)
	least := reserve
	for _, l := range c.lists {
		if !l.counted {
			return 0
		}
		rank := 0
		for _, id := range l.hosts {
			if score(id, department) < own {
				rank++
			}
		}
		count := len(l.hosts) + 1
		share := reserve / count
		if rank < reserve%count {
			share++
		}
		least = min(least, share)
	}
	if elapsedAtLeast(c.started, now) < c.startHold(least) {
		return 0
	}
	return least
}

// score orders the hosts of a department (rendezvous hashing), the lowest first.
func score(host dcid.HostID, department dcid.Department) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(host))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(department))
	return digest.Sum64()
}
