// Package dcblocklist keeps the requests that are in quarantine in the key-value store,
// so that a quarantine outlasts the processes that know of it. It writes a record when a
// quarantine begins, and once more if the quarantine is lifted before its end. Suspicions
// are only exchanged between hosts.
package dcblocklist

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// MaxRecords limits the records in the store. Quarantines beyond that are known to
	// the running hosts only.
	MaxRecords = 256
	// writePause is the pause between two writes, each of which takes two calls to the
	// store.
	writePause = 100 * time.Millisecond
	// firstBackoff and maxBackoff are the shortest and the longest pause after a write
	// that failed.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// writeTimeout limits a write, with its two calls to the store.
	writeTimeout = 3 * time.Second
	// maxLifetime is the longest lifetime of a lease that the store grants.
	maxLifetime = 10 * time.Minute
)

// List keeps quarantines in the store. Set the exported fields before Run.
type List struct {
	Registry dcstore.Registry
	// Prefix precedes the digest of a request in the key of its record.
	Prefix string
	// MinLeaseTTL is the shortest lifetime of a lease that the store grants.
	MinLeaseTTL time.Duration
	// Merge takes the quarantines that the store holds.
	Merge func(suspicions []*peerv1.Suspicion)
	Clock clockwork.Clock
	Log   *zap.Logger
	// Scope is the scope of the metrics.
	Scope tally.Scope

	mu sync.Mutex
	// pending holds the entries to write, and own those that this host has written, by
	// digest. Entries are not changed.
	pending, own map[dcquarantine.Digest]*peerv1.Suspicion
	// listed holds the revisions of the records in the store, 0 for one whose removal is
	// pending.
	listed   map[dcquarantine.Digest]dcstore.Revision
	wake     chan struct{}
	wakeOnce sync.Once
}

// Add writes quarantines that have begun on this host, and those that it has lifted, to
// the store soon. It ignores suspicions. It does not block.
func (l *List) Add(suspicions []*peerv1.Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, suspicion := range suspicions {
		digest := dcquarantine.Digest(suspicion.GetDigest())
		_, listed := l.listed[digest]
		switch {
		case dcquarantine.IsQuarantine(suspicion):
		case dcquarantine.IsCleared(suspicion) && (listed || l.pending[digest] != nil || l.own[digest] != nil):
		default:
			continue
		}
		l.enqueue(digest, suspicion)
	}
}

// enqueue adds an entry to those to write. The caller holds the lock.
func (l *List) enqueue(digest dcquarantine.Digest, suspicion *peerv1.Suspicion) {
	if l.pending == nil {
		l.pending = make(map[dcquarantine.Digest]*peerv1.Suspicion)
	}
	if l.pending[digest] == nil && len(l.pending) >= MaxRecords {
		l.Log.Warn("quarantine not written to the store, too many are to be written", zap.String("digest", string(digest)))
		return
	}
	l.pending[digest] = suspicion
	select {
	case l.wakeChannel() <- struct{}{}:
	default:
	}
}

// Put takes a record of the store.
func (l *List) Put(record dcstore.Record) {
	digest := l.digestFromKey(record.Key)
	l.mu.Lock()
	if l.listed == nil {
		l.listed = make(map[dcquarantine.Digest]dcstore.Revision)
	}
	l.listed[digest] = record.Modified
	l.mu.Unlock()
	suspicion := &peerv1.Suspicion{}
	err := proto.Unmarshal(record.Value, suspicion)
	if err == nil && suspicion.GetDigest() != string(digest) {
		err = eris.New("it is for another request")
	}
	if err == nil && !dcquarantine.IsQuarantine(suspicion) && !dcquarantine.IsCleared(suspicion) {
		err = eris.Errorf("unknown state %q", suspicion.GetState())
	}
	if err != nil {
		l.Log.Warn("quarantine record ignored, it cannot be used", zap.String("key", record.Key), zap.String("error", err.Error()))
		return
	}
	l.Merge([]*peerv1.Suspicion{suspicion})
}

// RemovalPending takes the key of a record that was removed. If this host wrote it and
// the quarantine has not ended, as after an outage in which leases ended, it writes the
// record again.
func (l *List) RemovalPending(key string) {
	digest := l.digestFromKey(key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.listed[digest]; ok {
		l.listed[digest] = 0
	}
	if own := l.own[digest]; own != nil {
		l.enqueue(digest, own)
	}
}

// Remove takes the key of a record that is gone.
func (l *List) Remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.listed, l.digestFromKey(key))
}

// Restored is called after the store was restored from an older copy, which may lack
// records of this host, or hold others that were replaced.
func (l *List) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for digest, own := range l.own {
		l.enqueue(digest, own)
	}
}

// Run writes what is to be written until ctx ends.
func (l *List) Run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		digest, suspicion := l.next()
		if suspicion == nil {
			select {
			case <-l.wakeChannel():
			case <-ctx.Done():
			}
			continue
		}
		pause := writePause
		if err := l.write(ctx, digest, suspicion); err != nil {
			l.Scope.Counter("quarantine_writes_failed").Inc(1)
			l.Log.Info("quarantine not written to the store", zap.String("digest", string(digest)), zap.String("error", err.Error()))
			backoff = min(max(2*backoff, firstBackoff), maxBackoff)
			pause = backoff
		} else {
			backoff = 0
		}
		l.wait(ctx, pause)
	}
	return nil
}

// next returns an entry to write, nil if there is none. It drops those that have ended.
func (l *List) next() (dcquarantine.Digest, *peerv1.Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for digest, own := range l.own {
		if l.remaining(own) <= 0 {
			delete(l.own, digest)
		}
	}
	for digest, suspicion := range l.pending {
		if _, listed := l.listed[digest]; l.remaining(suspicion) <= 0 || !listed && len(l.listed) >= MaxRecords {
			l.Log.Warn("quarantine not written to the store", zap.String("digest", string(digest)), zap.Int("records", len(l.listed)), zap.Duration("remaining", l.remaining(suspicion)))
			delete(l.pending, digest)
			continue
		}
		return digest, suspicion
	}
	return "", nil
}

func (l *List) remaining(suspicion *peerv1.Suspicion) time.Duration {
	return time.UnixMilli(suspicion.GetUntilMs()).Sub(l.Clock.Now())
}

// write writes one entry, with a lease that ends with the quarantine.
func (l *List) write(ctx context.Context, digest dcquarantine.Digest, suspicion *peerv1.Suspicion) (err error) {
	defer func() { err = eris.Wrap(err, "write a quarantine") }()
	ctx, cancel := clockwork.WithTimeout(ctx, l.Clock, writeTimeout)
	defer cancel()
	value, err := proto.Marshal(suspicion)
	if err != nil {
		return err
	}
	lease, err := l.Registry.GrantLease(ctx, min(max(l.remaining(suspicion), l.MinLeaseTTL), maxLifetime))
	if err != nil {
		return err
	}
	l.mu.Lock()
	expected := l.listed[digest]
	l.mu.Unlock()
	revision, err := l.Registry.CompareAndSwap(ctx, dcstore.Swap{Key: l.Prefix + string(digest), Expected: expected, Value: value, Lease: lease})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed == nil {
		l.listed = make(map[dcquarantine.Digest]dcstore.Revision)
	}
	var conflict *dcstore.ConflictError
	if errors.As(err, &conflict) {
		// Another host, or an earlier attempt whose answer was lost, has written it.
		l.listed[digest] = conflict.Current
	}
	if err != nil {
		return err
	}
	if l.own == nil {
		l.own = make(map[dcquarantine.Digest]*peerv1.Suspicion)
	}
	l.own[digest] = suspicion
	if l.pending[digest] == suspicion {
		delete(l.pending, digest)
	}
	l.listed[digest] = max(l.listed[digest], revision)
	l.Scope.Counter("quarantine_writes").Inc(1)
	l.Log.Info("quarantine written to the store", zap.String("digest", string(digest)), zap.String("state", suspicion.GetState()), zap.Int64("revision", int64(revision)))
	return nil
}

func (l *List) digestFromKey(key string) dcquarantine.Digest {
	return dcquarantine.Digest(strings.TrimPrefix(key, l.Prefix))
}

func (l *List) wait(ctx context.Context, pause time.Duration) {
	timer := l.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (l *List) wakeChannel() chan struct{} {
	l.wakeOnce.Do(func() { l.wake = make(chan struct{}, 1) })
	return l.wake
}
