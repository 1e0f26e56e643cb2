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
	// shareQuiet is the time without a refusal after which a connection limit
	// recovers by one.
	shareQuiet = 5 * time.Second
	// pollStep is the resolution of the status schedule.
	pollStep = 50 * time.Millisecond
	// pollSpread is the time over which the first polls are spread.
	pollSpread  = 100 * time.Millisecond
	pollTimeout = time.Second
	// confirmDelay is the time from a failed poll to the next.
	confirmDelay = 200 * time.Millisecond
	// silentAfter is the time without any answer after which a server whose
	// status does not come counts as closed.
	silentAfter  = 1500 * time.Millisecond
	limitsPeriod = 250 * time.Millisecond
)

// Server states in the status of an upstream.
const (
	stateServing  = "serving"
	stateCold     = "cold"
	stateDraining = "draining"
)

// target is this host's state of one upstream server, under its own lock.
type target struct {
	addr     dcid.ServerAddr
	inFlight atomic.Int32
	polling  atomic.Bool
	// failedPolls counts failed polls since the last that succeeded.
	failedPolls atomic.Int32
	// lastAnswer is when the server last answered anything, Unix nanoseconds.
	lastAnswer atomic.Int64
	// lastPoll is used by the polling loop only.
	lastPoll time.Time

	mu       sync.Mutex
	share    dcconnshare.Share
	groups   []*group
	operator bool
}

func (t *target) configure(owner *group, limit, seats int, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share.Cap != limit || t.share.Seats != seats {
		t.share = dcconnshare.Share{Cap: limit, Seats: seats, RecoveryInterval: shareQuiet}
	}
	t.operator = leaving
	if !slices.Contains(t.groups, owner) {
		t.groups = append(t.groups, owner)
	}
}

// silent reports whether the server has answered nothing for a while. A late
// status alone does not tell a frozen server from a busy one, whose other
// answers keep coming.
func (t *target) silent(now time.Time) bool {
	return t.silence(now) >= silentAfter
}

func (t *target) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastAnswer.Load()))
}

func (t *target) limit(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share.Limit(now)
}

// serverState is the view of leaving servers.
type serverState struct {
	mu      sync.Mutex
	servers dcmembership.Servers
}

func (s *serverState) usable(addr dcid.ServerAddr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers.Usable(addr)
}

// update changes the view of servers and passes what changed to the shard maps.
func (h *Host) update(targets []*target, change func(*dcmembership.Servers) bool) {
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

func (h *Host) syncUsable(target *target) {
	target.mu.Lock()
	groups := slices.Clone(target.groups)
	target.mu.Unlock()
	for _, group := range groups {
		group.mu.Lock()
		group.table.SetUsable(target.addr, h.servers.usable(target.addr))
		group.mu.Unlock()
	}
}

// observe takes a signal that a server is leaving.
func (h *Host) observe(target *target, signal dcmembership.Signal) {
	h.update(only(target), func(servers *dcmembership.Servers) bool {
		return servers.Observe(target.addr, signal, h.wall())
	})
}

// evidence takes what a response to a search or an order tells of its server.
func (h *Host) evidence(target *target, response dcupstream.Response) {
	h.noteMapEvidence(response.Code)
	if response.Outcome == dcreason.Ran || response.Code.DecisionPoint() == dcreason.UpstreamRefusal {
		target.lastAnswer.Store(h.wall().UnixNano())
	}
	switch response.Code {
	case dcreason.UpstreamDraining:
		h.observe(target, dcmembership.SignalDraining)
	case dcreason.UpstreamCrashed:
		h.observe(target, dcmembership.SignalClosed)
		h.restartRamp(target)
	case dcreason.ConnectionRefused, dcreason.ConnectionFailed:
		target.mu.Lock()
		target.share.Refused(h.Clock.Now())
		target.mu.Unlock()
		h.meter.refusedConnections.Inc(1)
	}
	if response.Connect {
		h.meter.dials.Inc(1)
	}
}

func (h *Host) restartRamp(target *target) {
	h.servers.mu.Lock()
	defer h.servers.mu.Unlock()
	h.servers.servers.RestartRampUp(target.addr, h.wall())
}

// pollStatus polls the servers that this host owns once in each status interval
// and the others rarely. Polls are spread over the interval in random order.
func (h *Host) pollStatus(ctx context.Context) error {
	schedule := pollSchedule{random: h.newRandom()}
	duty := pollDuty{host: h}
	interval := h.Settings.GetStatusInterval().AsDuration()
	return h.every(ctx, pollStep, func(ctx context.Context) {
		if !h.seats.active(h.Clock.Now()) {
			return
		}
		for _, target := range schedule.next(h.view.Load(), interval) {
			if duty.due(target, h.wall(), interval) && target.polling.CompareAndSwap(false, true) {
				h.tasks.Go(func() { h.poll(ctx, target) })
			}
		}
	})
}

// pollSchedule deals the servers of a view out to the steps of an interval. The
// first round after a new configuration is shorter.
type pollSchedule struct {
	random  *rand.Rand
	view    *view
	targets []*target
	step    int
	steps   int
}

func (s *pollSchedule) next(current *view, interval time.Duration) (due []*target) {
	if current != s.view {
		s.view = current
		s.targets = slices.Clone(current.ordered)
		s.random.Shuffle(len(s.targets), func(i, j int) { s.targets[i], s.targets[j] = s.targets[j], s.targets[i] })
		s.step, s.steps = 0, int(pollSpread/pollStep)
	}
	for i := s.step; i < len(s.targets); i += s.steps {
		due = append(due, s.targets[i])
	}
	s.step++
	if s.step >= s.steps {
		s.step, s.steps = 0, max(int(interval/pollStep), 1)
	}
	return due
}

// confirm polls a server again soon after a failed poll, so that peers hear of
// a server that is down within 3 s although only its owners poll it.
func (h *Host) confirm(ctx context.Context, target *target) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(confirmDelay):
		if target.polling.CompareAndSwap(false, true) {
			h.poll(ctx, target)
		}
	}
}

func (h *Host) poll(life context.Context, target *target) {
	asked := h.wall()
	ctx, cancel := timeout(life, h.Clock, pollTimeout)
	defer cancel()
	status, err := h.Upstream.Status(ctx, target.addr)
	target.polling.Store(false)
	target.mu.Lock()
	groups := slices.Clone(target.groups)
	target.mu.Unlock()
	if context.Cause(ctx) == context.Canceled {
		return
	}
	// A poll that only took too long may have waited for this host's share.
	late := context.Cause(ctx) != nil
	h.noteState(target, status, err, asked, late)
	if err != nil {
		if target.failedPolls.Add(1) == 1 {
			h.tasks.Go(func() { h.confirm(life, target) })
		}
		return
	}
	target.failedPolls.Store(0)
	for _, group := range groups {
		group.mu.Lock()
		err := group.table.ApplyReport(target.addr, status, asked)
		group.mu.Unlock()
		if err != nil {
			h.Log.Debug("status is not used", zap.String("server", string(target.addr)), zap.Error(err))
		}
	}
}

// othersAnswered reports whether another server of the target's groups has
// answered since a time. When none has, the cause is hardly this server alone,
// and taking all of them out of use would refuse queries that could still be
// answered.
func (h *Host) othersAnswered(asked *target, since time.Time) bool {
	asked.mu.Lock()
	groups := slices.Clone(asked.groups)
	asked.mu.Unlock()
	return slices.ContainsFunc(h.view.Load().ordered, func(other *target) bool {
		return other != asked && other.lastAnswer.Load() > since.UnixNano() && other.servesAny(groups)
	})
}

func (t *target) servesAny(groups []*group) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(groups, func(wanted *group) bool { return slices.Contains(t.groups, wanted) })
}

func (h *Host) noteState(target *target, status *upstreamv1.Status, err error, asked time.Time, late bool) {
	now := h.wall()
	if err == nil {
		target.lastAnswer.Store(now.UnixNano())
	}
	silent := err != nil && target.silent(now) && h.othersAnswered(target, asked)
	h.update(only(target), func(servers *dcmembership.Servers) bool {
		if err != nil {
			closed := (!late || silent) && servers.Observe(target.addr, dcmembership.SignalClosed, asked)
			return servers.RecordProbe(target.addr, false, asked, now) || closed
		}
		switch status.GetState() {
		case stateDraining:
			return servers.Observe(target.addr, dcmembership.SignalDraining, now)
		case stateCold:
			servers.StartRampUp(target.addr, now)
		}
		return servers.RecordProbe(target.addr, true, asked, now)
	})
}

// applyLimits sets the connection limits and the operator's signals.
func (h *Host) applyLimits(ctx context.Context) error {
	return h.every(ctx, limitsPeriod, func(context.Context) {
		for _, target := range h.view.Load().ordered {
			h.noteOperator(target)
		}
		h.setLimits()
	})
}

// setLimits sets the limit of every server. It also runs when the seat changes,
// so that a host that starts does not wait for the next period.
func (h *Host) setLimits() {
	limiter, ok := h.Upstream.(ConnectionLimiter)
	if !ok {
		return
	}
	now := h.Clock.Now()
	active := h.seats.active(now)
	open := 0
	for _, target := range h.view.Load().ordered {
		limiter.SetLimit(target.addr, h.limitOf(target, active, now))
		open += limiter.ConnectionStats(target.addr).Open
	}
	h.meter.connections.Update(float64(open))
}

// limitOf returns how many connections this host may use to a server. One is
// kept for the status of a server that receives no work.
func (h *Host) limitOf(target *target, active bool, now time.Time) int {
	if !active {
		return 0
	}
	share := target.limit(now)
	h.servers.mu.Lock()
	defer h.servers.mu.Unlock()
	return max(h.servers.servers.InFlightLimit(target.addr, share, now.Round(0)), 1)
}

func (h *Host) noteOperator(target *target) {
	target.mu.Lock()
	leaving := target.operator
	target.mu.Unlock()
	h.update(only(target), func(servers *dcmembership.Servers) bool {
		if leaving {
			return servers.Observe(target.addr, dcmembership.SignalOperator, h.wall())
		}
		return servers.Withdraw(target.addr, dcmembership.SignalOperator, h.wall())
	})
}

func (h *Host) closeConnections() {
	limiter, ok := h.Upstream.(ConnectionLimiter)
	if !ok {
		return
	}
	for _, target := range h.view.Load().ordered {
		limiter.SetLimit(target.addr, 0)
	}
}

// queryServers is what a query asks of servers.
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

func only(changed *target) []*target {
	return []*target{changed}
}
