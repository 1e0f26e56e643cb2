package dcengine

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandelioncart/dandelioncart/internal/dcbalance"
	"github.com/dandelioncart/dandelioncart/internal/dcforward"
	"github.com/dandelioncart/dandelioncart/internal/dcid"
	"github.com/dandelioncart/dandelioncart/internal/dcratelimit"
)

// recordRateLimit records what an answer says of the rate limit of its server,
// and logs a limit that begins, changes or ends. The caller holds the lock.
func (s *service) recordRateLimit(call *dcbalance.Call, answer *dcforward.Answer, place dcratelimit.Place, now time.Time) {
	share, change := s.group.RecordRateLimit(call, answer.Outcome, answer.RateLimit, place, now)
	s.updateRateLimitMeter(call.Server.ID, &share, change)
	if change == dcbalance.RateLimitUnchanged {
		return
	}
	fields := []zap.Field{
		zap.String("service", string(s.name)), zap.String("server", string(call.Server.ID)), zap.String("address", string(call.Server.Addr)),
	}
	if share.Limited() {
		fields = append(fields, zap.Float64("limit", float64(share.Limit())), zap.Float64("share", float64(share.Rate())),
			zap.Int("hosts", place.Hosts), zap.Duration("age", now.Sub(share.Since())), zap.Int("passed-over", share.PassedOver))
	}
	switch change {
	case dcbalance.RateLimitNamed:
		s.log.Info("server names a rate limit", fields...)
	case dcbalance.RateLimitEnded:
		s.log.Info("server names no rate limit any more", fields...)
	case dcbalance.RateLimitMalformed:
		s.log.Warn("rate limit of a server ignored, it is not a decimal number", fields...)
	}
}

// updateRateLimitMeter updates the metrics of the rate limit of a server. The
// caller holds the lock.
func (s *service) updateRateLimitMeter(server dcid.ServerID, share *dcratelimit.Share, change dcbalance.RateLimitChange) {
	if !share.Limited() {
		return
	}
	meter := s.rateLimitMeters[server]
	if meter == nil {
		if s.rateLimitMeters == nil {
			s.rateLimitMeters = make(map[dcid.ServerID]*rateLimitMeter)
		}
		meter = s.meter.rateLimit(s.name, server)
		s.rateLimitMeters[server] = meter
	}
	meter.update(share)
	if change == dcbalance.RateLimitEnded {
		meter.inForce.Update(0)
		delete(s.rateLimitMeters, server)
	}
}

// room returns when the servers of the service have room for one more request.
// typical is the typical latency of such requests, 0 if unknown.
func (s *service) room(typical time.Duration, now time.Time) dcbalance.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Room(s.waiting, typical, now)
}

// addWaiting changes the number of parts whose first send waits for a server.
func (s *service) addWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
}

// returnAfter returns when a caller that is refused for lack of room may return.
// The callers of a route return in the order in which they were refused, no
// faster than the limits allow requests, and not before the servers want some.
func (r *routeState) returnAfter(room dcbalance.Room, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	earliest, latest := now.Add(max(room.Wait, minReturnDelay)), now.Add(maxReturnDelay)
	rate := room.Rate
	if room.Cause == dcbalance.Holds {
		rate, latest = returnRate, earliest.Add(maxReturnDelay)
	}
	if next := r.returnAt.Add(dcratelimit.Duration(1, rate)); next.After(earliest) {
		earliest = next
	}
	if earliest.After(latest) {
		earliest = latest
	}
	r.returnAt = earliest
	return earliest.Sub(now)
}
