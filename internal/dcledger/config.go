package dcledger

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// Limits of a Committer.
const (
	// MaxResultBytes is how much of an upstream's answer the ledger keeps.
	MaxResultBytes = 4096
	// recordRoom is kept free for each entry without a final outcome, so that
	// its result always fits.
	recordReserveBytes = MaxResultBytes + 256
	// MaxClaimBytes is the size of a segment, with room for results, up to which
	// it accepts claims.
	ClaimLimitBytes = 900 << 10
	// maxSegmentBytes is the size that a swap never exceeds.
	maxSegmentBytes = dcstore.MaxValueBytes - 16<<10
	// commitsKept is how many operation ids of group commits a segment lists.
	// A host has one undecided swap for each segment, so 32 ids decide the lost
	// replies of 32 hosts that commit to one segment at once. A smaller bound
	// would still be safe: an id that is no longer listed leads to the batch
	// being applied again, where each claim finds its own entry and each record
	// finds its outcome.
	maxCommitIDs = 32
	// swapBurst is the number of swaps of a segment that may follow one another
	// without pause. An order needs two, so without a burst each order of an
	// idle partition would wait for one interval.
	swapBurst = 8
)

// CommitterConfig holds the settings of a Committer.
type CommitterConfig struct {
	// Prefix of every store key of the tier.
	Prefix    string
	Partition dcid.Partition
	// Host is part of the operation ids of group commits, together with
	// Incarnation, which differs for each start of the host.
	Host        dcid.HostID
	Incarnation int64
	// ClaimTimeout is the longest time that a claim or a lookup waits.
	ClaimTimeout time.Duration
	// CallTimeout is how long a store call may take before its reply counts as
	// lost.
	CallTimeout time.Duration
	// SwapInterval is the mean time between two swaps of one segment. It bounds
	// the writes to the store under load, after a burst. 0 means no pause.
	SwapInterval time.Duration
	// MinBackoff and MaxBackoff bound the time between attempts to write records
	// while the store is unavailable.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxClaims and MaxRecords bound the submissions waiting in all segments;
	// lookups count as claims.
	MaxClaims  int
	MaxRecords int
	// IdleTime is how long the copy of an unused segment is kept.
	IdleTimeout time.Duration
	// Retention is the largest key retention of all service groups: older claims
	// are refused and older records dropped. 0 means no limit.
	Retention time.Duration
}

// DefaultCommitterConfig returns the settings in use; the caller sets Prefix,
// Partition, Host, Incarnation and Retention.
func DefaultCommitterConfig() CommitterConfig {
	return CommitterConfig{
		ClaimTimeout: 90 * time.Millisecond,
		CallTimeout:  time.Second,
		MinBackoff:   50 * time.Millisecond,
		MaxBackoff:   5 * time.Second,
		MaxClaims:    4096,
		MaxRecords:   65536,
		IdleTimeout:  2 * time.Minute,
	}
}

// OrderConfig holds the settings of an Order and a Lookup.
type OrderConfig struct {
	// ClaimTimeout is the longest time that an order waits for its claim.
	ClaimTimeout time.Duration
	// DispatchWindow is the time from start to the dispatch deadline.
	DispatchWindow time.Duration
	// RecordWait is how long a known outcome waits for its record before the
	// caller is answered.
	RecordWait time.Duration
	// RecordTimeout is how long a record may go unanswered before it is
	// submitted again.
	RecordTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between submissions of a record.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// AskLimit is how often the upstream is asked for an unknown outcome, with
	// AskInterval between.
	AskLimit    int
	AskInterval time.Duration
	// Retention is the age after which the group's keys are refused.
	Retention time.Duration
	// Partitions is the number of ledger partitions.
	Partitions int32
}

// DefaultOrderConfig returns the settings in use; the caller sets Retention and
// Partitions.
func DefaultOrderConfig() OrderConfig {
	return OrderConfig{
		ClaimTimeout:   95 * time.Millisecond,
		DispatchWindow: 2 * time.Second,
		RecordWait:     100 * time.Millisecond,
		RecordTimeout:  5 * time.Second,
		MinBackoff:     100 * time.Millisecond,
		MaxBackoff:     10 * time.Second,
		AskLimit:       3,
		AskInterval:    2 * time.Second,
	}
}
