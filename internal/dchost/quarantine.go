package dchost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/peer/v1"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcquarantine"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

const (
	// digestShards is the number of tables, each with its own lock, over which
	// digests are distributed.
	digestShards = 16
	// suspicionPushTimeout limits how long a request that crashed a server waits
	// for the push to peers before it is answered.
	suspicionPushTimeout = 250 * time.Millisecond
	// maxSuspicionBytes limits the size of the suspicions in one heartbeat.
	maxSuspicionBytes = 16 << 10
	// maxGoodDigests, maxSuspectedDigests and maxCanaries limit the entries of one
	// table. The dividends are the limits of the host.
	maxGoodDigests      = 65536 / digestShards
	maxSuspectedDigests = 4096 / digestShards
	maxCanaries         = 1024 / digestShards
	// canaryTimeout is the time after which a canary without a result no longer
	// counts as running.
	canaryTimeout = time.Minute
)

// digestShard holds the digests of one shard. mu guards its fields.
type digestShard struct {
	mu    sync.Mutex
	table dcquarantine.Table
	// canaryEnded holds a channel for each running canary, which is closed when
	// the canary ends.
	canaryEnded map[dcquarantine.Digest]chan struct{}
}

// quarantineState distributes the digests over tables.
type quarantineState struct {
	shards [digestShards]digestShard
}

func (s *quarantineState) init() {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.canaryEnded = map[dcquarantine.Digest]chan struct{}{}
		shard.table = dcquarantine.Table{
			MaxGood:       maxGoodDigests,
			MaxEntries:    maxSuspectedDigests,
			MaxCanaries:   maxCanaries,
			CanaryTimeout: canaryTimeout,
		}
	}
}

func (s *quarantineState) shard(digest string) *digestShard {
	return &s.shards[xxhash.Sum64String(digest)%digestShards]
}

func (s *quarantineState) merge(entries []*peerv1.Suspicion, now time.Time) {
	for _, entry := range entries {
		shard := s.shard(entry.GetDigest())
		shard.mu.Lock()
		shard.table.Merge([]*peerv1.Suspicion{entry}, now)
		shard.mu.Unlock()
	}
}

func (s *quarantineState) entries(now time.Time) (entries []*peerv1.Suspicion) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		entries = append(entries, shard.table.Entries(maxSuspicionBytes/digestShards, now)...)
		shard.mu.Unlock()
	}
	return entries
}

// digestCheck applies the quarantine rule to one request. The lock of the
// digest shard guards its state. Where both locks are needed, the lock of the
// group is taken first.
type digestCheck struct {
	host   *Host
	shard  *digestShard
	digest dcquarantine.Digest
	rule   dcquarantine.Rule
	avoid  []dcid.ServerAddr
	// canary is set while this request is the canary of its digest, and sent once
	// that canary has been sent. canaryEnded is closed when it ends.
	canary      bool
	sent        bool
	canaryEnded chan struct{}
}

// checkDigest decides whether a request may run. It waits for a running canary
// of the same digest, until the deadline at the latest.
func (h *Host) checkDigest(ctx context.Context, group *group, schema dcid.SchemaVersion, body []byte, deadline time.Time) (*digestCheck, dcreason.Code) {
	rules := group.currentRules()
	digest := dcquarantine.DigestOf(dcid.GroupName(rules.GetName()), schema, body)
	check := &digestCheck{
		host:   h,
		shard:  h.quarantine.shard(string(digest)),
		digest: digest,
		rule:   quarantineRule(rules),
	}
	ctx, cancel := withTimeout(ctx, h.Clock, deadline.Sub(h.Clock.Now()))
	defer cancel()
	for {
		decision, ended := check.decide()
		switch decision.Action {
		case dcquarantine.Refuse:
			return nil, decision.Code
		case dcquarantine.Run, dcquarantine.Canary:
			return check, dcreason.OK
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, contextCode(ctx)
		}
	}
}

func quarantineRule(rules *settingsv1.ServiceGroup) dcquarantine.Rule {
	return dcquarantine.Rule{
		Canary:   rules.GetQuarantine().GetCanary(),
		Duration: rules.GetQuarantine().GetDuration().AsDuration(),
	}
}

// contextCode returns the reason code for a context that has ended.
func contextCode(ctx context.Context) dcreason.Code {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return dcreason.DeadlineExceeded
	}
	return dcreason.Cancelled
}

// decide returns the decision of the table. For the action Join it also returns
// the channel that is closed when the running canary ends.
func (c *digestCheck) decide() (dcquarantine.Decision, <-chan struct{}) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	decision := c.shard.table.Decide(c.digest, c.rule, c.host.wallNow())
	switch decision.Action {
	case dcquarantine.Canary:
		c.canary = true
		c.avoid = decision.Avoid
		if c.canaryEnded == nil {
			c.canaryEnded = make(chan struct{})
			c.shard.canaryEnded[c.digest] = c.canaryEnded
		}
	case dcquarantine.Join:
		return decision, c.shard.runningCanary(c.digest)
	}
	return decision, nil
}

// runningCanary returns the channel that is closed when the running canary of a
// digest ends. A canary that timed out without a result has no channel; a
// closed channel is returned then, so that the request decides again.
func (s *digestShard) runningCanary(digest dcquarantine.Digest) <-chan struct{} {
	if canaryEnded, ok := s.canaryEnded[digest]; ok {
		return canaryEnded
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// recordSend records the server to which the canary is sent. It has no effect
// for a request that is not a canary.
func (c *digestCheck) recordSend(server dcid.ServerAddr) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if !c.canary {
		return
	}
	c.shard.table.CanaryStarted(c.digest, server)
	c.sent = true
}

// onResponse handles the response of a server and returns the suspicions to
// push to all peers.
func (c *digestCheck) onResponse(server dcid.ServerAddr, response dcupstream.Response) []*peerv1.Suspicion {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	crashed := response.Code == dcreason.UpstreamCrashed
	if !c.canary {
		if !crashed {
			return nil
		}
		return c.shard.table.RecordCrash(c.digest, server, c.rule, c.host.wallNow())
	}
	switch response.Code {
	case dcreason.UpstreamCrashed:
		return c.canaryResult(dcquarantine.Crashed)
	case dcreason.OK, dcreason.UpstreamError, dcreason.UpstreamMalformed:
		return c.canaryResult(dcquarantine.Good)
	}
	return nil
}

// canaryResult ends the canary with a result and returns the suspicions to
// push. The lock of the digest shard is held.
func (c *digestCheck) canaryResult(canaryResult dcquarantine.CanaryResult) []*peerv1.Suspicion {
	push := c.shard.table.FinishCanary(c.digest, canaryResult, c.rule, c.host.wallNow())
	c.releaseWaiters()
	return push
}

// releaseWaiters ends the wait of the requests that joined the canary; they
// decide again. The lock of the digest shard is held.
func (c *digestCheck) releaseWaiters() {
	c.canary, c.sent = false, false
	if c.shard.canaryEnded[c.digest] == c.canaryEnded {
		delete(c.shard.canaryEnded, c.digest)
	}
	if c.canaryEnded != nil {
		close(c.canaryEnded)
		c.canaryEnded = nil
	}
}

// allowRetry reports whether the digest may be sent to one other server after a
// crash.
func (c *digestCheck) allowRetry(dcid.ServerAddr) bool {
	decision, _ := c.decide()
	return decision.Action == dcquarantine.Canary
}

// close ends a canary that has no result yet.
func (c *digestCheck) close() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if !c.canary {
		return
	}
	if c.sent {
		c.shard.table.FinishCanary(c.digest, dcquarantine.Inconclusive, c.rule, c.host.wallNow())
	} else {
		c.shard.table.AbandonCanary(c.digest)
	}
	c.releaseWaiters()
}

// abandonUnsent ends a canary that has not been sent.
func (c *digestCheck) abandonUnsent() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.canary && !c.sent {
		c.shard.table.AbandonCanary(c.digest)
		c.releaseWaiters()
	}
}

// pushSuspicions sends suspicions to all reachable peers and waits for them, at
// most suspicionPushTimeout.
func (h *Host) pushSuspicions(entries []*peerv1.Suspicion) {
	ctx, cancel := withTimeout(h.runCtx, h.Clock, suspicionPushTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range h.members.hosts() {
		if peer.ID == h.self.ID || !slices.Contains(reachableStates, peer.State) {
			continue
		}
		calls.Go(func() {
			_, _ = h.Peer.PushSuspicion(ctx, peer.PeerAddress, &peerv1.PushSuspicionRequest{Suspicions: entries})
		})
	}
	calls.Wait()
}

// reachableStates lists the states in which a peer is called to fetch its
// counters or to push suspicions to it.
var reachableStates = []dcmembership.State{dcmembership.Alive, dcmembership.Suspect, dcmembership.Leaving}
