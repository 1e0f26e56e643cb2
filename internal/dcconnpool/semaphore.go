package dcconnpool

import (
	"context"
	"sync"
)

// semaphore is a counting semaphore whose limit can be changed while permits
// are held. Waiters are served in first-in, first-out order. It is safe for
// concurrent use.
type semaphore struct {
	mu    sync.Mutex
	limit int
	used  int
	// waiters holds one channel for each waiting call; it is closed when the
	// call gets a permit.
	waiters []chan struct{}
}

// acquire takes one permit. It blocks until a permit is free or ctx is done, and
// returns the error of ctx in the latter case.
func (l *semaphore) acquire(ctx context.Context) error {
	l.mu.Lock()
	if l.used < l.limit && len(l.waiters) == 0 {
		l.used++
		l.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	l.waiters = append(l.waiters, granted)
	l.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		l.cancelWait(granted)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue. If the waiter was granted a permit
// in the meantime, the permit goes to the next waiter.
func (l *semaphore) cancelWait(granted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiters {
		if waiter == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	l.used--
	l.grantWaiters()
}

// release returns one permit and grants it to the next waiter, if any.
func (l *semaphore) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.grantWaiters()
}

// setLimit changes the limit. Permits that are held above a lower limit stay
// valid; no new ones are granted until enough of them are released.
func (l *semaphore) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.grantWaiters()
}

// grantWaiters grants free permits to waiters. The caller holds mu.
func (l *semaphore) grantWaiters() {
	for l.used < l.limit && len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.used++
	}
}

// usage returns the number of permits held and the limit.
func (l *semaphore) usage() (used, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.limit
}
