package dchost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconfig"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcstore"
)

const (
	// watchTimeout limits one wait on the store. After it the newest revision is
	// read again, which confirms that the configuration is fresh.
	watchTimeout = 30 * time.Second
	// watchRetryInterval is the pause after a failed store call, and the interval
	// at which a host that is not a watcher checks whether it has become one.
	watchRetryInterval = 500 * time.Millisecond
	// fetchTimeout limits the fetch of a configuration from a peer.
	fetchTimeout = time.Second
)

// configState tracks the configuration revisions. mu guards its fields.
type configState struct {
	mu      sync.Mutex
	tracker *dcconfig.RevisionTracker
	// lastModified is the highest store modification revision of the configuration
	// records read so far.
	lastModified dcstore.Revision
}

// watchConfiguration reads the newest revision and waits on the store for the
// next one, while this host is one of the watchers of its failure domain or has
// no configuration yet.
func (h *Host) watchConfiguration(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.isWatcher() || !h.readConfiguration(ctx) || !h.waitForRevision(ctx) {
			h.sleep(ctx, h.jitter(watchRetryInterval))
		}
	}
	return nil
}

func (h *Host) isWatcher() bool {
	if h.view.Load().accepted == nil {
		return true
	}
	var members []dcconfig.Member
	for _, host := range h.members.hosts() {
		if host.State == dcmembership.Alive {
			members = append(members, dcconfig.Member{Host: host.ID, FailureDomain: host.Domain})
		}
	}
	return dcconfig.IsWatcher(h.self.ID, members)
}

// readConfiguration reads the newest revision from the store and puts it in
// force if it is new. It reports whether the store could be read.
func (h *Host) readConfiguration(ctx context.Context) bool {
	records, err := h.Store.List(ctx, dcconfig.RevisionPrefix, 1, true)
	if err != nil {
		return false
	}
	h.config.mu.Lock()
	defer h.config.mu.Unlock()
	for _, record := range records {
		h.config.lastModified = max(h.config.lastModified, record.Modified)
	}
	adopted, err := h.config.tracker.OfferStore(records, h.wallNow())
	h.adopted(adopted, err, "store")
	return true
}

// waitForRevision waits for a change of the configuration in the store, for at
// most watchTimeout. It reports whether the newest revision is to be read
// again; false means that the store call failed or that ctx has ended.
func (h *Host) waitForRevision(ctx context.Context) bool {
	h.config.mu.Lock()
	lastModified := h.config.lastModified
	h.config.mu.Unlock()
	waitCtx, cancel := withTimeout(ctx, h.Clock, watchTimeout)
	defer cancel()
	_, err := h.Store.Wait(waitCtx, dcconfig.RevisionPrefix, lastModified)
	return err == nil || context.Cause(waitCtx) == context.DeadlineExceeded
}

// adopted handles the result of an offer of a revision to the tracker: it puts
// the revision of the tracker in force if adopted is set, and logs err if it is
// not nil. source names where the offered revision came from. The lock of the
// configuration state is held.
func (h *Host) adopted(adopted bool, err error, source string) {
	if err != nil {
		h.Log.Error("configuration is not adopted", zap.String("source", source), zap.Error(err))
	}
	if !adopted {
		return
	}
	accepted := h.config.tracker.InForce()
	h.auth.SetDepartments(accepted.Revision, accepted.Configuration.GetDepartments())
	h.view.Store(h.nextView(accepted))
	h.seats.setCount(int(accepted.Configuration.GetEntryHosts()))
	h.members.setRevision(accepted.Revision)
	h.meter.adoptions.Inc(1)
	h.meter.revision.Update(float64(accepted.Revision))
	h.Log.Info("configuration in force", zap.Uint32("revision", uint32(accepted.Revision)), zap.String("source", source))
}

// observePeerRevision handles the revision in the heartbeat of a peer and
// fetches the configuration from the peer if the revision is newer.
func (h *Host) observePeerRevision(member *peerv1.Member) {
	peer, revision := dcid.HostID(member.GetHostId()), dcid.Revision(member.GetRevision())
	h.config.mu.Lock()
	fetch := h.config.tracker.ObserveRevision(peer, revision, h.wallNow())
	h.config.mu.Unlock()
	if !fetch {
		return
	}
	address := member.GetPeerAddress()
	h.tasks.Go(func() { h.fetchConfiguration(peer, address) })
}

func (h *Host) fetchConfiguration(peer dcid.HostID, address string) {
	ctx, cancel := withTimeout(h.runCtx, h.Clock, fetchTimeout)
	defer cancel()
	response, err := h.Peer.FetchConfig(ctx, address, &peerv1.FetchConfigRequest{})
	h.config.mu.Lock()
	defer h.config.mu.Unlock()
	if err != nil || response.GetRevision() == nil {
		h.config.tracker.FetchFailed(peer)
		return
	}
	adopted, err := h.config.tracker.OfferPeer(peer, response.GetRevision(), h.wallNow())
	h.adopted(adopted, err, string(peer))
}

// staleConfigurationCode applies the stale-configuration rule of a service
// group. It returns OK if the group may be served.
func (h *Host) staleConfigurationCode(name dcid.GroupName) dcreason.Code {
	h.config.mu.Lock()
	defer h.config.mu.Unlock()
	return h.config.tracker.CheckGroup(name, h.wallNow())
}

// applyProposal applies a proposal to the store. A host applies one proposal at
// a time.
func (h *Host) applyProposal(ctx context.Context, proposal dcconfig.Proposal) *dcconfig.Result {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	h.config.mu.Lock()
	known := h.config.tracker.NewestKnown()
	h.config.mu.Unlock()
	operation, step := dcconfig.NewApplyOperation(proposal, known)
	for step.Done == nil {
		step = h.applyStep(ctx, operation, step)
	}
	if step.Done.AcceptedRevision != nil {
		h.config.mu.Lock()
		adopted, err := h.config.tracker.OfferLocal(step.Done.AcceptedRevision, h.wallNow())
		h.adopted(adopted, err, "application")
		h.config.mu.Unlock()
		h.tasks.Go(func() { h.pruneConfiguration(step.Done.Revision) })
	}
	return step.Done
}

// applyStep makes the store call of a step and returns the next step.
func (h *Host) applyStep(ctx context.Context, operation *dcconfig.ApplyOperation, step dcconfig.Step) dcconfig.Step {
	switch {
	case step.List:
		records, err := h.Store.List(ctx, dcconfig.RevisionPrefix, 1, true)
		return operation.HandleList(records, err, h.wallNow())
	case step.Get != "":
		record, err := h.Store.Get(ctx, step.Get)
		return operation.HandleGet(record, err)
	default:
		_, err := h.Store.CompareAndSwap(ctx, *step.Swap)
		return operation.HandleSwap(err)
	}
}

// pruneConfiguration deletes old revisions from the store. Errors are ignored,
// since later calls catch up.
func (h *Host) pruneConfiguration(newest dcid.Revision) {
	oldest, err := h.Store.List(h.runCtx, dcconfig.RevisionPrefix, dcconfig.PruneListLimit, false)
	if err != nil {
		return
	}
	for _, record := range dcconfig.ExpiredRevisions(newest, oldest) {
		_ = h.Store.Delete(h.runCtx, record.Key, record.Modified)
	}
}

// configStatus returns the known hosts and their configuration revisions.
func (h *Host) configStatus() *callerv1.StatusResponse {
	now := h.wallNow()
	var views []dcconfig.HostView
	var expected []dcid.HostID
	for _, host := range h.members.hosts() {
		lastHeard := host.LastHeard
		if host.ID == h.self.ID {
			lastHeard = now
		}
		expected = append(expected, host.ID)
		views = append(views, dcconfig.HostView{
			Host:          host.ID,
			FailureDomain: host.Domain,
			State:         string(host.State),
			Revision:      host.Revision,
			LastHeard:     lastHeard,
		})
	}
	h.config.mu.Lock()
	latest := h.config.tracker.NewestKnown()
	h.config.mu.Unlock()
	return dcconfig.Status(latest, views, expected, now)
}
