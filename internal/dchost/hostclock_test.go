package dchost

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// hostClock is the fake clock of one host. It knows whether the background
// loops of the host have caught up with the time: each loop creates a timer for
// every wait and stops it when it wakes. Timers that are reset belong to
// requests and are not counted.
type hostClock struct {
	*clockwork.FakeClock

	mu     sync.Mutex
	timers map[*hostTimer]bool
	// awake is the number of loops that have woken and are not waiting again yet.
	awake int
	// delays holds the times at which the tasks that wait in After continue.
	delays []time.Time
}

type hostTimer struct {
	clockwork.Timer
	clock *hostClock
	due   time.Time
}

func newHostClock(clock *clockwork.FakeClock) *hostClock {
	return &hostClock{FakeClock: clock, timers: make(map[*hostTimer]bool)}
}

// NewTimer implements clockwork.Clock.
func (c *hostClock) NewTimer(wait time.Duration) clockwork.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &hostTimer{Timer: c.FakeClock.NewTimer(wait), clock: c, due: c.Now().Add(wait)}
	c.timers[timer] = true
	c.awake = max(c.awake-1, 0)
	return timer
}

// After implements clockwork.Clock.
func (c *hostClock) After(wait time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays = append(c.delays, c.Now().Add(wait))
	return c.FakeClock.After(wait)
}

// Stop implements clockwork.Timer.
func (t *hostTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	if t.clock.timers[t] && !t.due.After(t.clock.Now()) {
		t.clock.awake++
	}
	delete(t.clock.timers, t)
	return t.Timer.Stop()
}

// Reset implements clockwork.Timer.
func (t *hostTimer) Reset(wait time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
	return t.Timer.Reset(wait)
}

// busy reports whether a loop is due to wake, or has woken and is not waiting
// again yet.
func (c *hostClock) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awake > 0 {
		return true
	}
	now := c.Now()
	for timer := range c.timers {
		if !timer.due.After(now) {
			return true
		}
	}
	return false
}

// delayed returns the number of tasks that are waiting in After.
func (c *hostClock) delayed() (count int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for _, until := range c.delays {
		if until.After(now) {
			count++
		}
	}
	return count
}
