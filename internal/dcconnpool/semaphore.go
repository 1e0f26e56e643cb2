package dcconnpool

import (
	"context"
	"sync"
)

// semaphore is a counting semaphore whose limit can change while it is used.
// Waiters are served in order of arrival.
type semaphore struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

// acquire takes one permit and waits for it until ctx ends.
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

// cancelWait removes a waiter, and passes its permit on if it was granted one in
// the meantime.
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

// release returns one permit.
func (l *semaphore) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.grantWaiters()
}

// setLimit changes the limit. A lower limit takes effect as permits return.
func (l *semaphore) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.grantWaiters()
}

func (l *semaphore) grantWaiters() {
	for l.used < l.limit && len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.used++
	}
}

func (l *semaphore) usage() (used, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.limit
}
