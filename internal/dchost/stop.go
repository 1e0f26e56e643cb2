package dchost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcdrain"
	"github.com/dandelioncart/dandelioncart/internal/dcmembership"
	"github.com/dandelioncart/dandelioncart/internal/dcreason"
)

// stopPollInterval is the interval at which the stop sequence checks its
// conditions.
const stopPollInterval = 50 * time.Millisecond

// drainState holds the state of the stop sequence, which mu guards.
type drainState struct {
	mu    sync.Mutex
	drain dcdrain.Drain
}

func (s *drainState) admit(kind dcdrain.RequestKind) dcreason.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.Admit(kind)
}

func (s *drainState) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.Ready()
}

func (s *drainState) cancelStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.CancelStop()
}

func (s *drainState) advance(now time.Time, work dcdrain.Work) (dcdrain.Phase, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.Advance(now, work), s.drain.Forced()
}

// runStopSequence waits for ctx to end and then runs the stop sequence. It
// returns early when runCtx ends because a component failed.
func (h *Host) runStopSequence(ctx, runCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return
	}
	for h.waitForGate(runCtx) {
		h.drain.mu.Lock()
		h.drain.drain.Stop(h.Clock.Now())
		h.drain.mu.Unlock()
		h.announceState(runCtx, dcmembership.Leaving)
		if h.drainRequests(runCtx) {
			h.announceState(runCtx, dcmembership.Gone)
			return
		}
		h.announceState(runCtx, dcmembership.Alive)
	}
}

// stopGate returns the gate that decides whether this host may leave. StopNow
// overrides it.
func (h *Host) stopGate() dcdrain.Gate {
	stopGate := dcdrain.Gate{Self: h.self.ID, Expected: int(h.view.Load().configuration().GetEntryHosts())}
	select {
	case <-h.override:
		stopGate.Override = true
	default:
	}
	return stopGate
}

// waitForGate waits while other hosts are unavailable, for at most the stop
// timeout, so that a rolling restart takes down one host at a time. It returns
// false if ctx ends.
func (h *Host) waitForGate(ctx context.Context) bool {
	deadline := h.Clock.Now().Add(h.Settings.GetStopTimeout().AsDuration())
	for {
		unavailable, ok := h.stopGate().Check(h.members.hosts())
		if ok {
			return true
		}
		if !h.Clock.Now().Before(deadline) {
			h.Log.Warn("stop timeout elapsed while other hosts are unavailable; leaving anyway", zap.Any("away", unavailable))
			h.StopNow()
			return true
		}
		if !h.sleep(ctx, stopPollInterval) {
			return false
		}
	}
}

// drainRequests advances the stop sequence until it is done or ctx ends. It
// returns false only if the stop is cancelled because another host started to
// leave at the same time and takes precedence.
func (h *Host) drainRequests(ctx context.Context) bool {
	// heldResources is 1 until the seat, the lease and the connections are
	// released, then 0.
	heldResources := 1
	for {
		if h.stopGate().MustYield(h.members.hosts()) && h.drain.cancelStop() {
			h.Log.Info("stop cancelled; another host leaves first")
			return false
		}
		work := dcdrain.Work{InFlight: int(h.activeRequests.Load() + h.backgroundRuns.Load()), HeldResources: heldResources}
		phase, forced := h.drain.advance(h.Clock.Now(), work)
		if phase == dcdrain.Released && heldResources > 0 && h.releaseResources(ctx) {
			heldResources = 0
			continue
		}
		if phase == dcdrain.Done {
			h.Log.Info("host stopped", zap.Bool("forced", forced))
			return true
		}
		if !h.sleep(ctx, stopPollInterval) {
			return true
		}
	}
}

// releaseResources gives back the seat and the lease. It closes the connections
// to upstreams first, because another host may take the seat at once.
func (h *Host) releaseResources(ctx context.Context) bool {
	h.counters.close(h.Clock.Now())
	h.closeConnections()
	return h.releaseSeat(ctx) && h.revokeHostRecord(ctx)
}
