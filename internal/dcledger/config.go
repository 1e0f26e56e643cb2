package dcledger

import (
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

// Limits of a Committer.
const (
	// MaxResultBytes is the maximum size of an upstream's response body that the
	// ledger keeps. Longer bodies are truncated.
	MaxResultBytes = 4096
	// recordReserveBytes is the space that a segment reserves for each entry
	// without a final outcome, so that the result always fits.
	recordReserveBytes = MaxResultBytes + 256
	// ClaimLimitBytes is the maximum size of a segment that accepts claims. The
	// size includes the new claim and the space reserved for results.
	ClaimLimitBytes = 900 << 10
	// maxSegmentBytes is the maximum size of the value that a swap writes.
	maxSegmentBytes = dcstore.MaxValueBytes - 16<<10
	// maxCommitIDs is how many operation ids of group commits a segment lists.
	// A host has at most one undecided swap for each segment, so 32 ids resolve
	// the lost replies of 32 hosts that commit to one segment at the same time.
	// A smaller limit would still be safe: when an id is no longer listed, the
	// batch is applied again, and then each claim finds its own entry and each
	// record finds its outcome.
	maxCommitIDs = 32
	// swapBurst is the number of swaps of a segment that may follow one another
	// without a pause. An order needs two swaps, so without a burst each order
	// of an idle partition would wait for one interval.
	swapBurst = 8
)

// CommitterConfig holds the settings of a Committer.
type CommitterConfig struct {
	// Prefix is the prefix of every store key of the tier.
	Prefix    string
	Partition dcid.Partition
	// Host and Incarnation are parts of the operation ids of group commits.
	// Incarnation differs for each start of the host.
	Host        dcid.HostID
	Incarnation int64
	// ClaimTimeout is the maximum time until a claim or a lookup is answered.
	ClaimTimeout time.Duration
	// CallTimeout is how long a store call may take before its reply counts as
	// lost.
	CallTimeout time.Duration
	// SwapInterval is the mean time between two swaps of one segment, after an
	// initial burst. It limits the writes to the store under load. 0 means no
	// limit.
	SwapInterval time.Duration
	// MinBackoff and MaxBackoff limit the time between attempts to write records
	// while the store is unavailable.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxClaims and MaxRecords limit the submissions that wait in all segments.
	// Lookups count as claims.
	MaxClaims  int
	MaxRecords int
	// IdleTimeout is how long the local copy of an unused segment is kept.
	IdleTimeout time.Duration
	// Retention is the largest key retention of all service groups. Older claims
	// are refused and older records are dropped. 0 means no limit.
	Retention time.Duration
}

// DefaultCommitterConfig returns the settings used in operation. The caller
// sets Prefix, Partition, Host, Incarnation and Retention.
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
	// ClaimTimeout is the maximum time that an order waits for its claim.
	ClaimTimeout time.Duration
	// DispatchWindow is the time from the start of the order to its dispatch
	// deadline.
	DispatchWindow time.Duration
	// RecordWait is the maximum time that the answer to the caller is delayed to
	// record a known outcome first.
	RecordWait time.Duration
	// RecordTimeout is how long a record may go unanswered before it is
	// submitted again.
	RecordTimeout time.Duration
	// MinBackoff and MaxBackoff limit the time between submissions of a record.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// AskLimit is how many times the upstream is asked for an unknown outcome,
	// at intervals of AskInterval.
	AskLimit    int
	AskInterval time.Duration
	// Retention is the age after which keys of the service group are refused.
	Retention time.Duration
	// Partitions is the number of ledger partitions.
	Partitions int32
}

// DefaultOrderConfig returns the settings used in operation. The caller sets
// Retention and Partitions.
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
