package dcconnpool

import (
	"context"
	"sync"
)

// limiter is a counting semaphore whose limit can change while it is used.
// Waiters are served in order of arrival.
type limiter struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

// acquire takes one permit and waits for it until ctx ends.
func (l *limiter) acquire(ctx context.Context) error {
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
		l.abandon(granted)
		return ctx.Err()
	}
}

// abandon removes a waiter, and passes its permit on if it was granted one in
// the meantime.
func (l *limiter) abandon(granted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range l.waiters {
		if waiter == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	l.used--
	l.grant()
}

// release returns one permit.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.grant()
}

// setLimit changes the limit. A lower limit takes effect as permits return.
func (l *limiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.grant()
}

func (l *limiter) grant() {
	for l.used < l.limit && len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.used++
	}
}

func (l *limiter) state() (used, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.limit
}
