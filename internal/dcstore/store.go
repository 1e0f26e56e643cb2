// Package dcstore is the client of the platform's key-value service. It
// defines the interfaces that the tier uses, a Client for etcd's JSON gateway,
// and an in-memory Fake for tests and for the stand-in platform.
package dcstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that the methods of a Store return, possibly wrapped. Any other error
// means that the call was invalid and had no effect.
var (
	// ErrNotFound reports a key without a value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports a compare-and-swap or compare-and-delete of a key
	// whose modification revision is not the expected one. The write did not
	// happen.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrUnavailable reports that the service could not be reached. A write that
	// returns it did not happen.
	ErrUnavailable = errors.New("key-value service is unavailable")
	// ErrUnknownOutcome reports a write whose reply was lost. The write may have
	// happened.
	ErrUnknownOutcome = errors.New("reply lost, the write may have happened")
	// ErrLeaseExpired reports a lease that does not exist any more.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError is an ErrConflict with the current revision of the key.
type ConflictError struct {
	// Current is the modification revision of the key, 0 when the key is absent.
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v, it has revision %d", ErrConflict, e.Current)
}

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// MaxValueBytes is the size limit of a value, 1 MiB.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Revision is a revision of the service, which each write increases. As the
// modification revision of a key, 0 means that the key is absent.
type Revision int64

// Record is a key with its value.
type Record struct {
	Key   string
	Value []byte
	// Modified is the modification revision of the key.
	Modified Revision
	// Era is the era of Modified.
	Era Era
}

// Copy is a copy of the records below a prefix.
type Copy struct {
	Records []Record
	// PendingRemovals lists the keys of those records that the store no longer
	// holds, but that may be written again soon.
	PendingRemovals []string
	// Position is the position in the store's history that the copy has reached,
	// zero if there is none.
	Position Position
	// Lasting holds the lasting record if it was asked for and is known. It can be
	// newer than what the store holds.
	Lasting *Record
}

// Swap describes a compare-and-swap of one key.
type Swap struct {
	Key string
	// Expected is the modification revision that the key must have, 0 when it
	// must be absent.
	Expected Revision
	Value    []byte
	// Lease is the lease whose expiry removes the key; 0 for none.
	Lease LeaseID
}

// Store is the part of the key-value service that the tier uses. Each method
// call counts as one call of the service, and so does a Wait that blocks.
type Store interface {
	// Get returns the record of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose key has a prefix, in ascending or descending
	// order of the keys, at most limit of them. A limit of 0 means all.
	List(ctx context.Context, prefix string, limit int, descending bool) ([]Record, error)
	// CompareAndSwap writes a value if the key has the expected modification
	// revision, and returns the new one. Otherwise it returns ErrConflict, and
	// ErrLeaseExpired if the lease does not exist.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	// Delete removes a key that has the expected modification revision, which
	// is not 0. Otherwise it returns ErrNotFound or ErrConflict.
	Delete(ctx context.Context, key string, expected Revision) error
	// Wait blocks until a key with the prefix has changed after a revision, and
	// returns the revision of a change. Only ctx limits how long it blocks.
	Wait(ctx context.Context, prefix string, after Revision) (Revision, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, lifetime time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys, or returns ErrLeaseExpired.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ErrCompacted reports that the service no longer keeps the changes after a
// revision.
var ErrCompacted = errors.New("history is no longer available")

// Change is a write or the removal of a key.
type Change struct {
	Record
	// Removed reports that the key was removed.
	Removed bool
}

// History is the part of the key-value service with which a client maintains
// a copy of the records below a prefix.
type History interface {
	// Snapshot returns the records below a prefix, and the position to pass to
	// Changes. The read is linearizable.
	Snapshot(ctx context.Context, prefix string) ([]Record, Position, error)
	// Changes blocks until there are changes after a position, and returns them
	// with the position to pass to the next call. It returns ErrCompacted when they
	// are no longer kept, or belong to another era, and no changes when none happen
	// within a waiting time that the implementation sets.
	Changes(ctx context.Context, prefix string, after Position) ([]Change, Position, error)
	// Probe checks that the service answers, and returns a position that it has
	// reached, which may be seconds old. It costs a tenth of another call.
	Probe(ctx context.Context) (Position, error)
}

// Registry is the part of the key-value service with which a host publishes
// its record. The record exists for as long as the host renews its lease.
type Registry interface {
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	GrantLease(ctx context.Context, lifetime time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
}
