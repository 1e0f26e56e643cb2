package dchost

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	ledgerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/ledger/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcledger"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// holderTimeout limits a call to the holder of a partition. It leaves more
	// than half of the claim timeout for this host to commit by itself if the
	// holder does not answer.
	holderTimeout = 40 * time.Millisecond
	// recordTimeout limits the call that records an outcome at the holder.
	recordTimeout = time.Second
	// deletionInterval is the interval at which expired segments are deleted.
	deletionInterval = 5 * time.Minute
	// maxLedgerWriteRate is the number of store writes per second that all
	// partitions together may cause. The store handles several hundred per second
	// in total.
	maxLedgerWriteRate = 300
	// maxSwapInterval limits the interval between writes of a partition, however
	// many partitions there are, so that a claim has time for its write within the
	// claim timeout.
	maxSwapInterval = 55 * time.Millisecond
	// deletionListLimit is the number of segments of a partition, oldest first,
	// that are checked for expiry in each interval.
	deletionListLimit = 16
)

// partition runs the committer of this host for one ledger partition. mu guards
// the fields below it.
type partition struct {
	host      *Host
	retention time.Duration

	mu        sync.Mutex
	committer *dcledger.Committer
	// waiters holds a channel for each submission without a result yet. The
	// channel receives the result.
	waiters map[dcledger.SubmissionID]chan dcledger.Result
	// lastID is the ID of the most recent submission.
	lastID dcledger.SubmissionID
	timer  clockwork.Timer
	closed bool
}

// ledgerState holds the committers of this host by partition. mu guards the
// map.
type ledgerState struct {
	mu         sync.Mutex
	partitions map[dcid.Partition]*partition
}

func (s *ledgerState) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, partition := range s.partitions {
		partition.close()
	}
}

func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// partition returns the committer of a partition and creates it if necessary.
// When the largest key retention changes, a new committer replaces the old one,
// which completes the work that it has.
func (h *Host) partition(number dcid.Partition) *partition {
	retention := h.maxRetention()
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if found, ok := h.ledger.partitions[number]; ok && found.retention == retention {
		return found
	}
	config := dcledger.DefaultCommitterConfig()
	config.Partition = number
	config.Host = h.self.ID
	config.Incarnation = h.self.Incarnation
	config.Retention = retention
	config.SwapInterval = h.swapInterval()
	created := &partition{
		host:      h,
		retention: retention,
		committer: dcledger.NewCommitter(config, h.newRandom()),
		waiters:   map[dcledger.SubmissionID]chan dcledger.Result{},
	}
	h.ledger.partitions[number] = created
	return created
}

// swapInterval returns the interval between writes of one partition. It
// distributes the permitted write rate evenly over the partitions.
func (h *Host) swapInterval() time.Duration {
	partitions := h.view.Load().configuration().GetLedgerPartitions()
	return min(time.Duration(partitions)*time.Second/maxLedgerWriteRate, maxSwapInterval)
}

// maxRetention returns the largest key retention of all service groups.
func (h *Host) maxRetention() (retention time.Duration) {
	for _, rules := range h.view.Load().configuration().GetServiceGroups() {
		retention = max(retention, rules.GetKeyRetention().AsDuration())
	}
	return retention
}

// submit passes a call to the committer and returns the channel that receives
// its result.
func (p *partition) submit(call func(now time.Time, id dcledger.SubmissionID) []dcledger.Action) <-chan dcledger.Result {
	answer := make(chan dcledger.Result, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.waiters[p.lastID] = answer
	p.perform(call(p.host.wallNow(), p.lastID))
	return answer
}

// perform runs the actions of the committer. The lock is held; store calls run
// as background tasks without it.
func (p *partition) perform(actions []dcledger.Action) {
	if p.closed {
		return
	}
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.GetSegment:
			p.host.tasks.Go(func() { p.getSegment(action) })
		case dcledger.SwapSegment:
			p.host.tasks.Go(func() { p.swapSegment(action) })
		case dcledger.Answer:
			if answer, ok := p.waiters[action.SubmissionID]; ok {
				delete(p.waiters, action.SubmissionID)
				answer <- action.Result
			}
		case dcledger.WakeAt:
			p.setTimer(action.At)
		}
	}
}

func (p *partition) setTimer(at time.Time) {
	wait := at.Sub(p.host.wallNow())
	if p.timer == nil {
		p.timer = p.host.Clock.AfterFunc(wait, p.tick)
		return
	}
	p.timer.Reset(wait)
}

func (p *partition) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.committer.Tick(p.host.wallNow()))
}

func (p *partition) getSegment(action dcledger.GetSegment) {
	record, err := p.host.Store.Get(p.host.runCtx, action.Key)
	p.handleStoreReply(dcledger.StoreReply{Call: action.Call, Record: record, Err: err})
}

func (p *partition) swapSegment(action dcledger.SwapSegment) {
	modified, err := p.host.Store.CompareAndSwap(p.host.runCtx, action.Swap)
	p.handleStoreReply(dcledger.StoreReply{Call: action.Call, Modified: modified, Err: err})
}

func (p *partition) handleStoreReply(reply dcledger.StoreReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.committer.StoreReplied(p.host.wallNow(), reply))
}

func (h *Host) claimLocally(number dcid.Partition, entry *ledgerv1.Entry) <-chan dcledger.Result {
	local := h.partition(number)
	return local.submit(func(now time.Time, id dcledger.SubmissionID) []dcledger.Action {
		return local.committer.Claim(now, id, entry)
	})
}

func (h *Host) recordLocally(number dcid.Partition, entry *ledgerv1.Entry) <-chan dcledger.Result {
	local := h.partition(number)
	return local.submit(func(now time.Time, id dcledger.SubmissionID) []dcledger.Action {
		return local.committer.Record(now, id, entry)
	})
}

func (h *Host) lookupLocally(number dcid.Partition, department dcid.Department, key dcid.OrderKey) <-chan dcledger.Result {
	local := h.partition(number)
	return local.submit(func(now time.Time, id dcledger.SubmissionID) []dcledger.Action {
		return local.committer.Lookup(now, id, department, key)
	})
}

// partitionHolder returns the peer address of the holder of a partition, which
// is the host that normally commits its entries. remote is false if that is
// this host or if the address is unknown. The holder is chosen by rendezvous
// hashing and only avoids write conflicts: any host may commit to any
// partition.
func (h *Host) partitionHolder(number dcid.Partition) (address string, remote bool) {
	owners := dcmembership.Owners(dcledger.PartitionPrefix("", number), h.members.hosts(), 1)
	if len(owners) == 0 || owners[0] == h.self.ID {
		return "", false
	}
	host, ok := h.members.host(owners[0])
	return host.PeerAddress, ok && host.PeerAddress != ""
}

// holderCallFailed is the result of a failed call to the holder. The claim may
// nevertheless have been written.
var holderCallFailed = dcledger.Result{Code: dcreason.PeerUnavailable, MayExist: true}

// claim commits a claim at the holder of the partition, or on this host if the
// holder does not answer.
func (h *Host) claim(action dcledger.SubmitClaim) dcledger.Result {
	address, remote := h.partitionHolder(action.Partition)
	if !remote {
		return <-h.claimLocally(action.Partition, action.Entry)
	}
	ctx, cancel := withTimeout(h.runCtx, h.Clock, holderTimeout)
	defer cancel()
	response, err := h.Peer.Claim(ctx, address, &peerv1.ClaimRequest{Partition: int32(action.Partition), Entry: action.Entry})
	if err == nil && response.GetEntry() != nil {
		return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
	}
	result := <-h.claimLocally(action.Partition, action.Entry)
	return result.MergeEarlier(holderCallFailed)
}

// record records the outcome of an order at the holder of the partition, or on
// this host if that fails.
func (h *Host) record(action dcledger.SubmitRecord) dcledger.Result {
	if address, remote := h.partitionHolder(action.Partition); remote {
		ctx, cancel := withTimeout(h.runCtx, h.Clock, recordTimeout)
		defer cancel()
		_, err := h.Peer.Record(ctx, address, &peerv1.RecordRequest{Partition: int32(action.Partition), Entry: action.Entry})
		if err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: action.Entry}
		}
	}
	return <-h.recordLocally(action.Partition, action.Entry)
}

// lookup reads the entry of an order key at the holder of the partition, or on
// this host if that fails.
func (h *Host) lookup(action dcledger.SubmitLookup) dcledger.Result {
	if address, remote := h.partitionHolder(action.Partition); remote {
		ctx, cancel := withTimeout(h.runCtx, h.Clock, holderTimeout)
		defer cancel()
		request := &peerv1.LookupRequest{Department: string(action.Department), Key: string(action.Key), ServiceGroup: string(action.Group)}
		if response, err := h.Peer.Lookup(ctx, address, request); err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
		}
	}
	return <-h.lookupLocally(action.Partition, action.Department, action.Key)
}

// deleteExpiredSegments periodically deletes the segments whose keys have all
// expired, in the partitions whose holder is this host.
func (h *Host) deleteExpiredSegments(ctx context.Context) error {
	return h.runEvery(ctx, deletionInterval, func(ctx context.Context) {
		keyRetention := h.maxRetention()
		if keyRetention == 0 {
			return
		}
		retention := dcledger.RetentionPolicy{KeyRetention: keyRetention, Margin: dcledger.RetentionMargin}
		for number := range h.view.Load().configuration().GetLedgerPartitions() {
			if _, remote := h.partitionHolder(dcid.Partition(number)); !remote {
				h.deletePartitionSegments(ctx, retention, dcid.Partition(number))
			}
		}
	})
}

func (h *Host) deletePartitionSegments(ctx context.Context, retention dcledger.RetentionPolicy, number dcid.Partition) {
	records, err := h.Store.List(ctx, dcledger.PartitionPrefix("", number), deletionListLimit, false)
	if err != nil {
		return
	}
	for _, segment := range retention.Deletable("", number, records, h.wallNow()) {
		if err := h.Store.Delete(ctx, segment.Key, segment.Modified); err != nil && err != dcstore.ErrNotFound {
			h.Log.Info("cannot delete expired ledger segment", zap.String("key", segment.Key), zap.Error(err))
		}
	}
}
