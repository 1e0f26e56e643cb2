package dcrelay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// signal wakes a goroutine. Notifications that come before it waits count as one. The
// zero value is ready for use.
type signal struct {
	channel chan struct{}
	once    sync.Once
}

// notify wakes the goroutine, or the next call of notified. It does not block.
func (s *signal) notify() {
	select {
	case s.create() <- struct{}{}:
	default:
	}
}

// notified returns the channel on which a notification arrives.
func (s *signal) notified() <-chan struct{} { return s.create() }

func (s *signal) create() chan struct{} {
	s.once.Do(func() { s.channel = make(chan struct{}, 1) })
	return s.channel
}

// sleep waits for a pause, or until ctx ends or wake is notified. wake may be nil.
func sleep(ctx context.Context, clock clockwork.Clock, pause time.Duration, wake <-chan struct{}) {
	timer := clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	case <-wake:
	}
}
