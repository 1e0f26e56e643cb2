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
	digestShards = 16
	// pushTimeout bounds how long the answer to a crash waits for peers.
	pushTimeout = 250 * time.Millisecond
	// suspicionBytes bounds the suspicions in one heartbeat.
	suspicionBytes = 16 << 10
	maxGoodDigests = 65536 / digestShards
	maxSuspected   = 4096 / digestShards
	maxCanaries    = 1024 / digestShards
	canaryTimeout  = time.Minute
)

// digestShard holds the digests of one shard, under its own lock.
type digestShard struct {
	mu    sync.Mutex
	table dcquarantine.Table
	// ended is closed when the running canary of a digest ends.
	ended map[dcquarantine.Digest]chan struct{}
}

type quarantineState struct {
	shards [digestShards]digestShard
}

func (s *quarantineState) init() {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.ended = map[dcquarantine.Digest]chan struct{}{}
		shard.table = dcquarantine.Table{
			MaxGood:       maxGoodDigests,
			MaxEntries:    maxSuspected,
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
		entries = append(entries, shard.table.Entries(suspicionBytes/digestShards, now)...)
		shard.mu.Unlock()
	}
	return entries
}

// checkedDigest follows one request through the canary rule. Its state is under
// the shard's lock, which comes after a group's.
type checkedDigest struct {
	host   *Host
	shard  *digestShard
	digest dcquarantine.Digest
	rule   dcquarantine.Rule
	avoid  []dcid.ServerAddr
	// canary is set while this request is the canary of its digest.
	canary  bool
	started bool
	ended   chan struct{}
}

// checkDigest decides whether a request may run, and waits for the running
// canary of its digest.
func (h *Host) checkDigest(ctx context.Context, group *group, schema dcid.SchemaVersion, body []byte, deadline time.Time) (*checkedDigest, dcreason.Code) {
	rules := group.currentRules()
	digest := dcquarantine.DigestOf(dcid.GroupName(rules.GetName()), schema, body)
	check := &checkedDigest{
		host:   h,
		shard:  h.quarantine.shard(string(digest)),
		digest: digest,
		rule:   quarantineRule(rules),
	}
	ctx, cancel := timeout(ctx, h.Clock, deadline.Sub(h.Clock.Now()))
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
			return nil, endCode(ctx)
		}
	}
}

func quarantineRule(rules *settingsv1.ServiceGroup) dcquarantine.Rule {
	return dcquarantine.Rule{
		Canary:   rules.GetQuarantine().GetCanary(),
		Duration: rules.GetQuarantine().GetDuration().AsDuration(),
	}
}

func endCode(ctx context.Context) dcreason.Code {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return dcreason.DeadlineExceeded
	}
	return dcreason.Cancelled
}

// decide asks the table. For a join it returns the channel that is closed when
// the running canary ends.
func (c *checkedDigest) decide() (dcquarantine.Decision, <-chan struct{}) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	decision := c.shard.table.Decide(c.digest, c.rule, c.host.wall())
	switch decision.Action {
	case dcquarantine.Canary:
		c.canary = true
		c.avoid = decision.Avoid
		if c.ended == nil {
			c.ended = make(chan struct{})
			c.shard.ended[c.digest] = c.ended
		}
	case dcquarantine.Join:
		return decision, c.shard.join(c.digest)
	}
	return decision, nil
}

// join returns the channel of the running canary. One that timed out without an
// end has none; a closed channel lets the request decide again.
func (s *digestShard) join(digest dcquarantine.Digest) <-chan struct{} {
	if ended, ok := s.ended[digest]; ok {
		return ended
	}
	again := make(chan struct{})
	close(again)
	return again
}

// sent notes the server of a canary.
func (c *checkedDigest) sent(server dcid.ServerAddr) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if !c.canary {
		return
	}
	c.shard.table.CanaryStarted(c.digest, server)
	c.started = true
}

// responded takes a response and returns what to push to all peers.
func (c *checkedDigest) responded(server dcid.ServerAddr, response dcupstream.Response) []*peerv1.Suspicion {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	crashed := response.Code == dcreason.UpstreamCrashed
	if !c.canary {
		if !crashed {
			return nil
		}
		return c.shard.table.RecordCrash(c.digest, server, c.rule, c.host.wall())
	}
	switch response.Code {
	case dcreason.UpstreamCrashed:
		return c.verdict(dcquarantine.Crashed)
	case dcreason.OK, dcreason.UpstreamError, dcreason.UpstreamMalformed:
		return c.verdict(dcquarantine.Good)
	}
	return nil
}

// verdict ends the canary. The shard's lock is held.
func (c *checkedDigest) verdict(verdict dcquarantine.CanaryResult) []*peerv1.Suspicion {
	push := c.shard.table.FinishCanary(c.digest, verdict, c.rule, c.host.wall())
	c.release()
	return push
}

// release lets joined requests decide again. The shard's lock is held.
func (c *checkedDigest) release() {
	c.canary, c.started = false, false
	if c.shard.ended[c.digest] == c.ended {
		delete(c.shard.ended, c.digest)
	}
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// retry reports whether the digest may be tried on one other server after a
// crash.
func (c *checkedDigest) retry(dcid.ServerAddr) bool {
	decision, _ := c.decide()
	return decision.Action == dcquarantine.Canary
}

// end gives up a canary that has no verdict.
func (c *checkedDigest) end() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if !c.canary {
		return
	}
	if c.started {
		c.shard.table.FinishCanary(c.digest, dcquarantine.Inconclusive, c.rule, c.host.wall())
	} else {
		c.shard.table.AbandonCanary(c.digest)
	}
	c.release()
}

// endUnsent gives up a canary that was not sent.
func (c *checkedDigest) endUnsent() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.canary && !c.started {
		c.shard.table.AbandonCanary(c.digest)
		c.release()
	}
}

// pushSuspicions tells all peers of a crash.
func (h *Host) pushSuspicions(entries []*peerv1.Suspicion) {
	ctx, cancel := timeout(h.life, h.Clock, pushTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range h.members.hosts() {
		if peer.ID == h.self.ID || !slices.Contains(reachable, peer.State) {
			continue
		}
		calls.Go(func() {
			_, _ = h.Peer.PushSuspicion(ctx, peer.PeerAddress, &peerv1.PushSuspicionRequest{Suspicions: entries})
		})
	}
	calls.Wait()
}

// reachable lists the states in which hosts are called.
var reachable = []dcmembership.State{dcmembership.Alive, dcmembership.Suspect, dcmembership.Leaving}
