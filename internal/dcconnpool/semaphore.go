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
func (s *semaphore) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.used < s.limit && len(s.waiters) == 0 {
		s.used++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(granted)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue. If the waiter was granted a permit
// in the meantime, the permit goes to the next waiter.
func (s *semaphore) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiter := range s.waiters {
		if waiter == granted {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
	s.used--
	s.grantWaiters()
}

// release returns one permit and grants it to the next waiter, if any.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grantWaiters()
}

// setLimit changes the limit. Permits that are held above a lower limit stay
// valid; no new ones are granted until enough of them are released.
func (s *semaphore) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.grantWaiters()
}

// grantWaiters grants free permits to waiters. The caller holds mu.
func (s *semaphore) grantWaiters() {
	for s.used < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.used++
	}
}

// usage returns the number of permits held and the limit.
func (s *semaphore) usage() (used, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.limit
}
