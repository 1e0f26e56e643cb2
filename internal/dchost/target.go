package dchost

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	upstreamv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/upstream/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcconnshare"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
	"github.com/dandelioncart/dandelioncart/internal/dcupstream"
)

const (
	// limitRecoveryInterval is the time without a refused connection after which
	// the connection limit of a server rises by one.
	limitRecoveryInterval = 5 * time.Second
	// pollStepInterval is the length of one step of the poll schedule.
	pollStepInterval = 50 * time.Millisecond
	// firstPollSpread is the time over which the first polls after a new
	// configuration are spread.
	firstPollSpread = 100 * time.Millisecond
	pollTimeout     = time.Second
	// repollDelay is the time from the first failed poll of a server to the next
	// poll.
	repollDelay = 200 * time.Millisecond
	// silenceTimeout is the time without any response after which a server whose
	// status polls time out counts as closed.
	silenceTimeout = 1500 * time.Millisecond
	limitsInterval = 250 * time.Millisecond
)

// Server states in the status of an upstream.
const (
	stateServing  = "serving"
	stateCold     = "cold"
	stateDraining = "draining"
)

// target is the state of one upstream server on this host. mu guards the fields
// below it.
type target struct {
	addr     dcid.ServerAddr
	inFlight atomic.Int32
	// polling is set while a status poll of the server runs.
	polling atomic.Bool
	// failedPolls is the number of failed polls since the last successful one.
	failedPolls atomic.Int32
	// lastAnswer is the time of the most recent response to any request, in Unix
	// nanoseconds.
	lastAnswer atomic.Int64
	// lastPoll is used by the polling loop only.
	lastPoll time.Time

	mu     sync.Mutex
	share  dcconnshare.Share
	groups []*group
	// operatorLeaving is set if the configuration marks the server as leaving.
	operatorLeaving bool
}

// configure applies the settings of a configuration revision for a server of a
// group. The share of connections is reset only when the connection limit or
// the number of seats changes.
func (t *target) configure(g *group, limit, seats int, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share.Cap != limit || t.share.Seats != seats {
		t.share = dcconnshare.Share{Cap: limit, Seats: seats, RecoveryInterval: limitRecoveryInterval}
	}
	t.operatorLeaving = leaving
	if !slices.Contains(t.groups, g) {
		t.groups = append(t.groups, g)
	}
}

// silent reports whether the server has not answered anything for
// silenceTimeout. A late status alone does not tell a frozen server from a busy
// one, which still answers other requests.
func (t *target) silent(now time.Time) bool {
	return t.sinceLastAnswer(now) >= silenceTimeout
}

func (t *target) sinceLastAnswer(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastAnswer.Load()))
}

func (t *target) limit(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share.Limit(now)
}

// serverState tracks the upstream servers that are leaving.
type serverState struct {
	mu      sync.Mutex
	servers dcmembership.Servers
}

func (s *serverState) usable(addr dcid.ServerAddr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers.Usable(addr)
}

// updateServers changes the view of leaving servers. If a server became usable
// or unusable, it updates the shard maps for the targets.
func (h *Host) updateServers(targets []*target, change func(*dcmembership.Servers) bool) {
	h.servers.mu.Lock()
	changed := change(&h.servers.servers)
	h.servers.mu.Unlock()
	if !changed {
		return
	}
	for _, target := range targets {
		h.syncUsable(target)
	}
}

// syncUsable passes to the shard maps of the groups of a target whether it is
// usable.
func (h *Host) syncUsable(target *target) {
	target.mu.Lock()
	groups := slices.Clone(target.groups)
	target.mu.Unlock()
	for _, group := range groups {
		group.mu.Lock()
		group.shardMap.SetUsable(target.addr, h.servers.usable(target.addr))
		group.mu.Unlock()
	}
}

// observeSignal records a signal that a server is leaving.
func (h *Host) observeSignal(target *target, signal dcmembership.Signal) {
	h.updateServers(oneTarget(target), func(servers *dcmembership.Servers) bool {
		return servers.Observe(target.addr, signal, h.wallNow())
	})
}

// recordResponse records what the response to a search or an order shows about
// the server.
func (h *Host) recordResponse(target *target, response dcupstream.Response) {
	h.recordOutdatedMap(response.Code)
	if response.Outcome == dcreason.Ran || response.Code.DecisionPoint() == dcreason.UpstreamRefusal {
		target.lastAnswer.Store(h.wallNow().UnixNano())
	}
	switch response.Code {
	case dcreason.UpstreamDraining:
		h.observeSignal(target, dcmembership.SignalDraining)
	case dcreason.UpstreamCrashed:
		h.observeSignal(target, dcmembership.SignalClosed)
		h.restartRampUp(target)
	case dcreason.ConnectionRefused, dcreason.ConnectionFailed:
		target.mu.Lock()
		target.share.RecordRefused(h.Clock.Now())
		target.mu.Unlock()
		h.meter.refusedConnections.Inc(1)
	}
	if response.NewConnection {
		h.meter.dials.Inc(1)
	}
}

func (h *Host) restartRampUp(target *target) {
	h.servers.mu.Lock()
	defer h.servers.mu.Unlock()
	h.servers.servers.RestartRampUp(target.addr, h.wallNow())
}

// pollStatus polls the servers that are assigned to this host once in each
// status interval, and the others rarely. The polls are distributed over the
// interval in random order.
func (h *Host) pollStatus(ctx context.Context) error {
	schedule := pollSchedule{random: h.newRandom()}
	assignment := pollAssignment{host: h}
	interval := h.Settings.GetStatusInterval().AsDuration()
	return h.runEvery(ctx, pollStepInterval, func(ctx context.Context) {
		if !h.seats.active(h.Clock.Now()) {
			return
		}
		for _, target := range schedule.next(h.view.Load(), interval) {
			if assignment.due(target, h.wallNow(), interval) && target.polling.CompareAndSwap(false, true) {
				h.tasks.Go(func() { h.poll(ctx, target) })
			}
		}
	})
}

// pollSchedule distributes the servers of a view over the steps of a status
// interval. The first round after a new configuration takes only
// firstPollSpread. step is the next step of the round, steps their number.
type pollSchedule struct {
	random  *rand.Rand
	view    *view
	targets []*target
	step    int
	steps   int
}

// next returns the servers of the next step.
func (s *pollSchedule) next(current *view, interval time.Duration) (due []*target) {
	if current != s.view {
		s.view = current
		s.targets = slices.Clone(current.sortedTargets)
		s.random.Shuffle(len(s.targets), func(i, j int) { s.targets[i], s.targets[j] = s.targets[j], s.targets[i] })
		s.step, s.steps = 0, int(firstPollSpread/pollStepInterval)
	}
	for i := s.step; i < len(s.targets); i += s.steps {
		due = append(due, s.targets[i])
	}
	s.step++
	if s.step >= s.steps {
		s.step, s.steps = 0, max(int(interval/pollStepInterval), 1)
	}
	return due
}

// repoll polls a server again soon after a failed poll. Peers then learn within
// 3 s that a server is down, although only the assigned hosts poll it.
func (h *Host) repoll(ctx context.Context, target *target) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(repollDelay):
		if target.polling.CompareAndSwap(false, true) {
			h.poll(ctx, target)
		}
	}
}

// poll requests the status of a server and records the result. It repeats the
// first failed poll soon.
func (h *Host) poll(parent context.Context, target *target) {
	requestedAt := h.wallNow()
	ctx, cancel := withTimeout(parent, h.Clock, pollTimeout)
	defer cancel()
	status, err := h.Upstream.Status(ctx, target.addr)
	target.polling.Store(false)
	target.mu.Lock()
	groups := slices.Clone(target.groups)
	target.mu.Unlock()
	if context.Cause(ctx) == context.Canceled {
		return
	}
	// A poll that only timed out may have waited for a free connection within the
	// share of this host.
	late := context.Cause(ctx) != nil
	h.recordPoll(target, status, err, requestedAt, late)
	if err != nil {
		if target.failedPolls.Add(1) == 1 {
			h.tasks.Go(func() { h.repoll(parent, target) })
		}
		return
	}
	target.failedPolls.Store(0)
	for _, group := range groups {
		group.mu.Lock()
		err := group.shardMap.ApplyReport(target.addr, status, requestedAt)
		group.mu.Unlock()
		if err != nil {
			h.Log.Debug("server status rejected", zap.String("server", string(target.addr)), zap.Error(err))
		}
	}
}

// othersAnswered reports whether another server of the groups of the polled
// target has answered since the given time. If none has, this server alone is
// hardly the cause, and stopping the use of all servers would refuse queries
// that could still be answered.
func (h *Host) othersAnswered(polled *target, since time.Time) bool {
	polled.mu.Lock()
	groups := slices.Clone(polled.groups)
	polled.mu.Unlock()
	return slices.ContainsFunc(h.view.Load().sortedTargets, func(other *target) bool {
		return other != polled && other.lastAnswer.Load() > since.UnixNano() && other.servesAny(groups)
	})
}

func (t *target) servesAny(groups []*group) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(groups, func(wanted *group) bool { return slices.Contains(t.groups, wanted) })
}

// recordPoll records what a status poll shows about whether the server is
// leaving. A failed poll is a signal that the server is closed. If it failed
// only because it was late, it is such a signal only if the server is silent
// while others answer.
func (h *Host) recordPoll(target *target, status *upstreamv1.Status, err error, requestedAt time.Time, late bool) {
	now := h.wallNow()
	if err == nil {
		target.lastAnswer.Store(now.UnixNano())
	}
	silent := err != nil && target.silent(now) && h.othersAnswered(target, requestedAt)
	h.updateServers(oneTarget(target), func(servers *dcmembership.Servers) bool {
		if err != nil {
			closed := (!late || silent) && servers.Observe(target.addr, dcmembership.SignalClosed, requestedAt)
			return servers.RecordProbe(target.addr, false, requestedAt, now) || closed
		}
		switch status.GetState() {
		case stateDraining:
			return servers.Observe(target.addr, dcmembership.SignalDraining, now)
		case stateCold:
			servers.StartRampUp(target.addr, now)
		}
		return servers.RecordProbe(target.addr, true, requestedAt, now)
	})
}

// applyLimits periodically applies the signals of the operator and sets the
// connection limits.
func (h *Host) applyLimits(ctx context.Context) error {
	return h.runEvery(ctx, limitsInterval, func(context.Context) {
		for _, target := range h.view.Load().sortedTargets {
			h.syncOperatorSignal(target)
		}
		h.setLimits()
	})
}

// setLimits sets the connection limit of every server. It is also called when
// the seat changes, so that a host that starts does not wait for the next
// interval.
func (h *Host) setLimits() {
	limiter, ok := h.Upstream.(ConnectionLimiter)
	if !ok {
		return
	}
	now := h.Clock.Now()
	active := h.seats.active(now)
	open := 0
	for _, target := range h.view.Load().sortedTargets {
		limiter.SetLimit(target.addr, h.connectionLimit(target, active, now))
		open += limiter.ConnectionStats(target.addr).Open
	}
	h.meter.connections.Update(float64(open))
}

// connectionLimit returns how many connections this host may open to a server,
// 0 while it may open none at all. A server that receives no work keeps one
// connection for status polls.
func (h *Host) connectionLimit(target *target, active bool, now time.Time) int {
	if !active {
		return 0
	}
	share := target.limit(now)
	h.servers.mu.Lock()
	defer h.servers.mu.Unlock()
	return max(h.servers.servers.InFlightLimit(target.addr, share, now.Round(0)), 1)
}

func (h *Host) syncOperatorSignal(target *target) {
	target.mu.Lock()
	leaving := target.operatorLeaving
	target.mu.Unlock()
	h.updateServers(oneTarget(target), func(servers *dcmembership.Servers) bool {
		if leaving {
			return servers.Observe(target.addr, dcmembership.SignalOperator, h.wallNow())
		}
		return servers.Withdraw(target.addr, dcmembership.SignalOperator, h.wallNow())
	})
}

func (h *Host) closeConnections() {
	limiter, ok := h.Upstream.(ConnectionLimiter)
	if !ok {
		return
	}
	for _, target := range h.view.Load().sortedTargets {
		limiter.SetLimit(target.addr, 0)
	}
}

// queryServers implements dcquery.Servers for one request.
type queryServers struct {
	host  *Host
	view  *view
	avoid []dcid.ServerAddr
}

// Usable implements dcquery.Servers.
func (s *queryServers) Usable(addr dcid.ServerAddr) bool {
	return !slices.Contains(s.avoid, addr) && s.host.servers.usable(addr)
}

// InFlight implements dcquery.Servers.
func (s *queryServers) InFlight(addr dcid.ServerAddr) int {
	if target, ok := s.view.targets[addr]; ok {
		return int(target.inFlight.Load())
	}
	return 0
}

func oneTarget(changed *target) []*target {
	return []*target{changed}
}
