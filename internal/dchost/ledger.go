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
	// ownerTimeout leaves more than half of the claim timeout for this host's
	// own commit when the holder does not answer.
	ownerTimeout = 40 * time.Millisecond
	// recordTimeout bounds a record at the holder.
	recordTimeout    = time.Second
	deletionInterval = 5 * time.Minute
	// maxLedgerWriteRate is the writes a second that all partitions together may
	// cause; the store serves several hundred to everyone.
	maxLedgerWriteRate = 300
	// maxSwapInterval leaves a claim time for its swap within the claim timeout,
	// however many partitions there are.
	maxSwapInterval   = 55 * time.Millisecond
	deletionListLimit = 16
)

// partition is this host's committer of one ledger partition, under its own
// lock.
type partition struct {
	host      *Host
	retention time.Duration

	mu         sync.Mutex
	committer  *dcledger.Committer
	waiters    map[dcledger.Ticket]chan dcledger.Result
	lastTicket dcledger.Ticket
	timer      clockwork.Timer
	closed     bool
}

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

// partition returns the committer of a partition. A change of the largest key
// retention starts a new one; the old one finishes what it has.
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
		waiters:   map[dcledger.Ticket]chan dcledger.Result{},
	}
	h.ledger.partitions[number] = created
	return created
}

// swapInterval spreads the writes that the ledger may cause over its
// partitions.
func (h *Host) swapInterval() time.Duration {
	partitions := h.view.Load().configuration().GetLedgerPartitions()
	return min(time.Duration(partitions)*time.Second/maxLedgerWriteRate, maxSwapInterval)
}

func (h *Host) maxRetention() (retention time.Duration) {
	for _, rules := range h.view.Load().configuration().GetServiceGroups() {
		retention = max(retention, rules.GetKeyRetention().AsDuration())
	}
	return retention
}

// submit calls the committer and returns where its answer arrives.
func (p *partition) submit(call func(now time.Time, ticket dcledger.Ticket) []dcledger.Action) <-chan dcledger.Result {
	answer := make(chan dcledger.Result, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTicket++
	p.waiters[p.lastTicket] = answer
	p.perform(call(p.host.wallNow(), p.lastTicket))
	return answer
}

// perform performs actions. The lock is held; store calls run outside of it.
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
			if answer, ok := p.waiters[action.Ticket]; ok {
				delete(p.waiters, action.Ticket)
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
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.Ticket) []dcledger.Action {
		return owner.committer.Claim(now, ticket, entry)
	})
}

func (h *Host) recordLocally(number dcid.Partition, entry *ledgerv1.Entry) <-chan dcledger.Result {
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.Ticket) []dcledger.Action {
		return owner.committer.Record(now, ticket, entry)
	})
}

func (h *Host) lookupLocally(number dcid.Partition, department dcid.Department, key dcid.OrderKey) <-chan dcledger.Result {
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.Ticket) []dcledger.Action {
		return owner.committer.Lookup(now, ticket, department, key)
	})
}

// partitionOwner returns the address of the host that commits a partition, or false
// when that is this host. The choice only avoids conflicts.
func (h *Host) partitionOwner(number dcid.Partition) (address string, remote bool) {
	owners := dcmembership.Owners(dcledger.PartitionPrefix("", number), h.members.hosts(), 1)
	if len(owners) == 0 || owners[0] == h.self.ID {
		return "", false
	}
	host, ok := h.members.host(owners[0])
	return host.PeerAddress, ok && host.PeerAddress != ""
}

// ownerCallFailed is the result of a call to the holder that failed: the claim may
// have been written.
var ownerCallFailed = dcledger.Result{Code: dcreason.PeerUnavailable, MayExist: true}

// claim commits a claim at the holder, or here when the holder does not answer.
func (h *Host) claim(submit dcledger.SubmitClaim) dcledger.Result {
	address, remote := h.partitionOwner(submit.Partition)
	if !remote {
		return <-h.claimLocally(submit.Partition, submit.Entry)
	}
	ctx, cancel := withTimeout(h.runCtx, h.Clock, ownerTimeout)
	defer cancel()
	response, err := h.Peer.Claim(ctx, address, &peerv1.ClaimRequest{Partition: int32(submit.Partition), Entry: submit.Entry})
	if err == nil && response.GetEntry() != nil {
		return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
	}
	result := <-h.claimLocally(submit.Partition, submit.Entry)
	return result.After(ownerCallFailed)
}

func (h *Host) record(submit dcledger.SubmitRecord) dcledger.Result {
	if address, remote := h.partitionOwner(submit.Partition); remote {
		ctx, cancel := withTimeout(h.runCtx, h.Clock, recordTimeout)
		defer cancel()
		_, err := h.Peer.Record(ctx, address, &peerv1.RecordRequest{Partition: int32(submit.Partition), Entry: submit.Entry})
		if err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: submit.Entry}
		}
	}
	return <-h.recordLocally(submit.Partition, submit.Entry)
}

func (h *Host) lookup(submit dcledger.SubmitLookup) dcledger.Result {
	if address, remote := h.partitionOwner(submit.Partition); remote {
		ctx, cancel := withTimeout(h.runCtx, h.Clock, ownerTimeout)
		defer cancel()
		request := &peerv1.LookupRequest{Department: string(submit.Department), Key: string(submit.Key), ServiceGroup: string(submit.Group)}
		if response, err := h.Peer.Lookup(ctx, address, request); err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
		}
	}
	return <-h.lookupLocally(submit.Partition, submit.Department, submit.Key)
}

// deleteExpiredSegments deletes segments whose keys have expired, in the partitions
// that this host holds.
func (h *Host) deleteExpiredSegments(ctx context.Context) error {
	return h.runEvery(ctx, deletionInterval, func(ctx context.Context) {
		keys := h.maxRetention()
		if keys == 0 {
			return
		}
		retention := dcledger.Retention{Keys: keys, Margin: dcledger.RetentionMargin}
		for number := range h.view.Load().configuration().GetLedgerPartitions() {
			if _, remote := h.partitionOwner(dcid.Partition(number)); !remote {
				h.deletePartitionSegments(ctx, retention, dcid.Partition(number))
			}
		}
	})
}

func (h *Host) deletePartitionSegments(ctx context.Context, retention dcledger.Retention, number dcid.Partition) {
	records, err := h.Store.List(ctx, dcledger.PartitionPrefix("", number), deletionListLimit, false)
	if err != nil {
		return
	}
	for _, segment := range retention.Deletable("", number, records, h.wallNow()) {
		if err := h.Store.Delete(ctx, segment.Key, segment.Modified); err != nil && err != dcstore.ErrNotFound {
			h.Log.Info("old segment is not deleted", zap.String("key", segment.Key), zap.Error(err))
		}
	}
}
