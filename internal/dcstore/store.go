// Package dcstore is the edge to the platform's key-value service.
package dcstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. Every other error of a call means that the call was
// malformed and had no effect.
var (
	// ErrNotFound reports a key without a value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports a compare-and-swap that lost: the key has another
	// modification revision. The write did not happen.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrUnavailable reports that the service could not be reached. The write
	// did not happen.
	ErrUnavailable = errors.New("key-value service is unavailable")
	// ErrUnknownOutcome reports a lost reply: the write may have happened.
	ErrUnknownOutcome = errors.New("reply lost, the write may have happened")
	// ErrLeaseExpired reports a lease that no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError is an ErrConflict that says what the key has become.
type ConflictError struct {
	// Current is the modification revision of the key, 0 when absent.
	Current Revision
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v, it has revision %d", ErrConflict, e.Current)
}

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Revision is a modification revision of the service; 0 means absent.
type Revision int64

// Record is a key with its value.
type Record struct {
	Key      string
	Value    []byte
	Modified Revision
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key string
	// Expected is the modification revision that the key must have.
	Expected Revision
	Value    []byte
	// Lease removes the key when it expires; 0 for none.
	Lease LeaseID
}

// Store is the part of the key-value service that the tier uses. Each method
// is one counted call, and so is a waiting Wait.
type Store interface {
	// Get returns the record of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records below a prefix, ordered by key. A limit of 0
	// means all.
	List(ctx context.Context, prefix string, limit int, descending bool) ([]Record, error)
	// CompareAndSwap writes and returns the new modification revision.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	// Delete removes a key that has the given modification revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Wait returns when a key below prefix has changed after the given
	// revision, with the revision of the change.
	Wait(ctx context.Context, prefix string, after Revision) (Revision, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, lifetime time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ErrCompacted reports that the changes after a revision are no longer kept.
var ErrCompacted = errors.New("history is no longer available")

// Change is a record as it was written, or the removal of a key.
type Change struct {
	Record
	Removed bool
}

// History is the part of the key-value service that keeps a copy of the
// records below a prefix current.
type History interface {
	// Snapshot returns the records below a prefix, and the revision after which
	// Changes continues. It is linearizable.
	Snapshot(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Changes waits for changes after a revision, and returns them with the
	// revision to continue from. It returns ErrCompacted when they are no
	// longer kept, and no change when none happened for a while.
	Changes(ctx context.Context, prefix string, after Revision) ([]Change, Revision, error)
	// Probe returns a revision that the service has reached, which may be
	// seconds old. It costs a tenth of another call.
	Probe(ctx context.Context) (Revision, error)
}

// Registry is the part of the key-value service that keeps the record of a
// host for as long as the host renews its lease.
type Registry interface {
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	GrantLease(ctx context.Context, lifetime time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
}
