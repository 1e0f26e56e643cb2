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

const stopPollInterval = 50 * time.Millisecond

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

// runStopSequence waits for ctx to end and goes through the stop sequence. It
// returns early when life ends, because a component failed.
func (h *Host) runStopSequence(ctx, life context.Context) {
	select {
	case <-ctx.Done():
	case <-life.Done():
		return
	}
	for h.waitForGate(life) {
		h.drain.mu.Lock()
		h.drain.drain.Stop(h.Clock.Now())
		h.drain.mu.Unlock()
		h.announceState(life, dcmembership.Leaving)
		if h.drainRequests(life) {
			h.announceState(life, dcmembership.Gone)
			return
		}
		h.announceState(life, dcmembership.Alive)
	}
}

// stopGate decides whether this host may leave. A second signal overrides it.
func (h *Host) stopGate() dcdrain.Gate {
	stopGate := dcdrain.Gate{Self: h.self.ID, Expected: int(h.view.Load().configuration().GetEntryHosts())}
	select {
	case <-h.override:
		stopGate.Override = true
	default:
	}
	return stopGate
}

// waitForGate waits while other hosts are away, at most the stop timeout, so
// that a rolling restart takes one host away at a time.
func (h *Host) waitForGate(life context.Context) bool {
	deadline := h.Clock.Now().Add(h.Settings.GetStopTimeout().AsDuration())
	for {
		away, ok := h.stopGate().Check(h.members.hosts())
		if ok {
			return true
		}
		if !h.Clock.Now().Before(deadline) {
			h.Log.Warn("stop timeout passed while other hosts are away, leaving anyway", zap.Any("away", away))
			h.StopNow()
			return true
		}
		if !h.sleep(life, stopPollInterval) {
			return false
		}
	}
}

// drainRequests steps through the sequence until it is done. It returns false when
// another host that started to leave at the same time goes first.
func (h *Host) drainRequests(life context.Context) bool {
	held := 1
	for {
		if h.stopGate().MustYield(h.members.hosts()) && h.drain.cancelStop() {
			h.Log.Info("another host leaves first")
			return false
		}
		work := dcdrain.Work{InFlight: int(h.activeRequests.Load() + h.backgroundRuns.Load()), HeldResources: held}
		phase, forced := h.drain.advance(h.Clock.Now(), work)
		if phase == dcdrain.Released && held > 0 && h.releaseResources(life) {
			held = 0
			continue
		}
		if phase == dcdrain.Done {
			h.Log.Info("host stopped", zap.Bool("forced", forced))
			return true
		}
		if !h.sleep(life, stopPollInterval) {
			return true
		}
	}
}

// releaseResources gives back the lease and the seat. Connections to upstreams are
// closed first, because the seat is free for anyone at once.
func (h *Host) releaseResources(life context.Context) bool {
	h.counters.close(h.Clock.Now())
	h.closeConnections()
	return h.releaseSeat(life) && h.revokeHostRecord(life)
}
