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
	// holderTimeout leaves more than half of the claim timeout for this host's
	// own commit when the holder does not answer.
	holderTimeout = 40 * time.Millisecond
	// recordTimeout bounds a record at the holder.
	recordTimeout    = time.Second
	deletionInterval = 5 * time.Minute
	// ledgerWriteRate is the writes a second that all partitions together may
	// cause; the store serves several hundred to everyone.
	ledgerWriteRate = 300
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

	mu        sync.Mutex
	committer *dcledger.Committer
	waiting   map[dcledger.SubmissionID]chan dcledger.Result
	last      dcledger.SubmissionID
	timer     clockwork.Timer
	closed    bool
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
		waiting:   map[dcledger.SubmissionID]chan dcledger.Result{},
	}
	h.ledger.partitions[number] = created
	return created
}

// swapInterval spreads the writes that the ledger may cause over its
// partitions.
func (h *Host) swapInterval() time.Duration {
	partitions := h.view.Load().configuration().GetLedgerPartitions()
	return min(time.Duration(partitions)*time.Second/ledgerWriteRate, maxSwapInterval)
}

func (h *Host) maxRetention() (retention time.Duration) {
	for _, rules := range h.view.Load().configuration().GetServiceGroups() {
		retention = max(retention, rules.GetKeyRetention().AsDuration())
	}
	return retention
}

// submit calls the committer and returns where its answer arrives.
func (p *partition) submit(call func(now time.Time, ticket dcledger.SubmissionID) []dcledger.Action) <-chan dcledger.Result {
	answer := make(chan dcledger.Result, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.waiting[p.last] = answer
	p.do(call(p.host.wall(), p.last))
	return answer
}

// do performs actions. The lock is held; store calls run outside of it.
func (p *partition) do(actions []dcledger.Action) {
	if p.closed {
		return
	}
	for _, action := range actions {
		switch action := action.(type) {
		case dcledger.GetSegment:
			p.host.tasks.Go(func() { p.get(action) })
		case dcledger.SwapSegment:
			p.host.tasks.Go(func() { p.swap(action) })
		case dcledger.Answer:
			if answer, ok := p.waiting[action.SubmissionID]; ok {
				delete(p.waiting, action.SubmissionID)
				answer <- action.Result
			}
		case dcledger.WakeAt:
			p.wake(action.At)
		}
	}
}

func (p *partition) wake(at time.Time) {
	wait := at.Sub(p.host.wall())
	if p.timer == nil {
		p.timer = p.host.Clock.AfterFunc(wait, p.tick)
		return
	}
	p.timer.Reset(wait)
}

func (p *partition) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.do(p.committer.Tick(p.host.wall()))
}

func (p *partition) get(action dcledger.GetSegment) {
	record, err := p.host.Store.Get(p.host.life, action.Key)
	p.replied(dcledger.StoreReply{Call: action.Call, Record: record, Err: err})
}

func (p *partition) swap(action dcledger.SwapSegment) {
	modified, err := p.host.Store.CompareAndSwap(p.host.life, action.Swap)
	p.replied(dcledger.StoreReply{Call: action.Call, Modified: modified, Err: err})
}

func (p *partition) replied(reply dcledger.StoreReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.do(p.committer.StoreReplied(p.host.wall(), reply))
}

func (h *Host) claimHere(number dcid.Partition, entry *ledgerv1.Entry) <-chan dcledger.Result {
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.SubmissionID) []dcledger.Action {
		return owner.committer.Claim(now, ticket, entry)
	})
}

func (h *Host) recordHere(number dcid.Partition, entry *ledgerv1.Entry) <-chan dcledger.Result {
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.SubmissionID) []dcledger.Action {
		return owner.committer.Record(now, ticket, entry)
	})
}

func (h *Host) lookupHere(number dcid.Partition, department dcid.Department, key dcid.OrderKey) <-chan dcledger.Result {
	owner := h.partition(number)
	return owner.submit(func(now time.Time, ticket dcledger.SubmissionID) []dcledger.Action {
		return owner.committer.Lookup(now, ticket, department, key)
	})
}

// holder returns the address of the host that commits a partition, or false
// when that is this host. The choice only avoids conflicts.
func (h *Host) holder(number dcid.Partition) (address string, remote bool) {
	owners := dcmembership.Owners(dcledger.PartitionPrefix("", number), h.members.hosts(), 1)
	if len(owners) == 0 || owners[0] == h.self.ID {
		return "", false
	}
	host, ok := h.members.host(owners[0])
	return host.PeerAddress, ok && host.PeerAddress != ""
}

// lostAtHolder is the result of a call to the holder that failed: the claim may
// have been written.
var lostAtHolder = dcledger.Result{Code: dcreason.PeerUnavailable, MayExist: true}

// claim commits a claim at the holder, or here when the holder does not answer.
func (h *Host) claim(submit dcledger.SubmitClaim) dcledger.Result {
	address, remote := h.holder(submit.Partition)
	if !remote {
		return <-h.claimHere(submit.Partition, submit.Entry)
	}
	ctx, cancel := timeout(h.life, h.Clock, holderTimeout)
	defer cancel()
	response, err := h.Peer.Claim(ctx, address, &peerv1.ClaimRequest{Partition: int32(submit.Partition), Entry: submit.Entry})
	if err == nil && response.GetEntry() != nil {
		return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
	}
	result := <-h.claimHere(submit.Partition, submit.Entry)
	return result.MergeEarlier(lostAtHolder)
}

func (h *Host) record(submit dcledger.SubmitRecord) dcledger.Result {
	if address, remote := h.holder(submit.Partition); remote {
		ctx, cancel := timeout(h.life, h.Clock, recordTimeout)
		defer cancel()
		_, err := h.Peer.Record(ctx, address, &peerv1.RecordRequest{Partition: int32(submit.Partition), Entry: submit.Entry})
		if err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: submit.Entry}
		}
	}
	return <-h.recordHere(submit.Partition, submit.Entry)
}

func (h *Host) lookup(submit dcledger.SubmitLookup) dcledger.Result {
	if address, remote := h.holder(submit.Partition); remote {
		ctx, cancel := timeout(h.life, h.Clock, holderTimeout)
		defer cancel()
		request := &peerv1.LookupRequest{Department: string(submit.Department), Key: string(submit.Key), ServiceGroup: string(submit.Group)}
		if response, err := h.Peer.Lookup(ctx, address, request); err == nil {
			return dcledger.Result{Code: dcreason.OK, Entry: response.GetEntry()}
		}
	}
	return <-h.lookupHere(submit.Partition, submit.Department, submit.Key)
}

// deleteOldSegments deletes segments whose keys have expired, in the partitions
// that this host holds.
func (h *Host) deleteOldSegments(ctx context.Context) error {
	return h.every(ctx, deletionInterval, func(ctx context.Context) {
		keys := h.maxRetention()
		if keys == 0 {
			return
		}
		retention := dcledger.RetentionPolicy{KeyRetention: keys, Margin: dcledger.RetentionMargin}
		for number := range h.view.Load().configuration().GetLedgerPartitions() {
			if _, remote := h.holder(dcid.Partition(number)); !remote {
				h.deleteIn(ctx, retention, dcid.Partition(number))
			}
		}
	})
}

func (h *Host) deleteIn(ctx context.Context, retention dcledger.RetentionPolicy, number dcid.Partition) {
	records, err := h.Store.List(ctx, dcledger.PartitionPrefix("", number), deletionListLimit, false)
	if err != nil {
		return
	}
	for _, segment := range retention.Deletable("", number, records, h.wall()) {
		if err := h.Store.Delete(ctx, segment.Key, segment.Modified); err != nil && err != dcstore.ErrNotFound {
			h.Log.Info("old segment is not deleted", zap.String("key", segment.Key), zap.Error(err))
		}
	}
}
