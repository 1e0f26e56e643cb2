package dcadmission

import (
	"math"
	"time"
)

// Parameters of a pace.
const (
	// paceWindowSamples and minPaceWindow are the smallest size of a window after
	// which the rate is adjusted. A window of maxPaceWindow is enough with
	// minPaceSamples.
	paceWindowSamples = 16
	minPaceWindow     = 200 * time.Millisecond
	maxPaceWindow     = time.Second
	minPaceSamples    = 4
	// maxSlowShare is the share of slow answers from which servers are short of room.
	// A server of three that pauses for a short time stays below it.
	maxSlowShare = 0.3
	// maxRefusedSends is the share of refused sends from which servers are short of
	// room, and maxPacedRefusedSends the share while the rate is limited.
	maxRefusedSends      = 0.15
	maxPacedRefusedSends = 0.05
	// shareDeviations is the number of standard deviations by which a share in the
	// samples of a window must exceed its limit while the rate is not limited, and
	// pacedShareDeviations that while it is. A host has few samples.
	shareDeviations      = 2
	pacedShareDeviations = 1
	// minShortages is the number of windows in a row that must show a shortage before
	// the rate is limited. Random arrivals alone fill servers for a moment.
	minShortages = 2
	// firstPaceFactor multiplies the rate of answers of servers that are short of room
	// to give the first rate. They answer as fast as they can, so that rate is this
	// host's share of what they can run; the rest drains their queues. minFirstFactor
	// is the lowest first rate as a fraction of the rate of sends, since a window has
	// few answers. paceFactor multiplies the rate for further decreases, and
	// minPaceFactor limits them. paceMargin multiplies the rate of answers to give one
	// up to which the pace then grows fast.
	firstPaceFactor = 0.75
	minFirstFactor  = 0.1
	paceFactor      = 0.85
	minPaceFactor   = 0.5
	paceMargin      = 0.95
	// settleFactor multiplies the mean latency of a window to give the time after a
	// decrease in which the queues of the servers drain. It is at most maxSettleTime.
	settleFactor  = 2
	maxSettleTime = 2 * time.Second
	// paceIncrease is the fraction by which the rate grows after a window without
	// shortage in which requests had to wait, and fastPaceIncrease that below the
	// last rate of answers.
	paceIncrease     = 0.05
	fastPaceIncrease = 0.2
	// minPaceRequests is the lowest rate, in usual requests a second. It shows when
	// servers have room again.
	minPaceRequests = 1.0
	// paceIdleTime is the time without a shortage and without a waiting request after
	// which the rate is no longer limited.
	paceIdleTime = 2 * time.Second
	// paceBurst is the number of usual requests whose room can be used at once after a
	// pause. It is at least the room of paceBurstTime.
	paceBurst     = reservedRoom + 2
	paceBurstTime = 50 * time.Millisecond
	// costWeight is the weight of a request in the average cost.
	costWeight = 0.1
)

// RoomSample is the outcome of one send to a server.
type RoomSample struct {
	// Sent is the time of the send.
	Sent time.Time
	// Refused is set if the server refused the request for lack of room.
	Refused bool
	// Slow is set if the answer took much longer than usual.
	Slow bool
	// Answered is set if the server answered.
	Answered bool
	// Cost is the cost and Priority the priority of the request, as in RoomRequest.
	Cost     float64
	Priority int
}

// pace limits the rate at which requests of this host start that need a service. It
// is inactive until answers are slow or refused, because a host's share of the slots
// of the servers can be less than one, so that only their behaviour shows whether
// they have room.
type pace struct {
	active bool
	// rate is the cost of the requests that start in a second. threshold is the rate
	// below which it grows fast.
	rate, threshold float64
	// credit is the cost that may still start. The request that uses it up starts as
	// a whole, so it can be negative.
	credit  float64
	updated time.Time
	// cost is the average cost of a request.
	cost float64
	// settledAt is the time by which the queues of the servers follow the present
	// limit. Earlier sends do not count.
	settledAt time.Time
	// neededAt is the last time at which servers were short of room or a request had
	// to wait.
	neededAt time.Time
	// binding is set if a request had to wait within the window.
	binding     bool
	windowStart time.Time
	window      paceWindow
	// shortages counts the windows in a row in which servers were short of room while
	// the rate was not limited.
	shortages int
}

// paceWindow counts the sends that have ended in a window, and sums their costs.
type paceWindow struct {
	sends, slow, refused int
	cost, answeredCost   float64
	// ran is the number of sends that were not refused, and latency the sum of their
	// latencies.
	ran     int
	latency time.Duration
	// urgentSends and urgentSlow count the sends, and the slow ones, of priority, which
	// is the most urgent in the window. Less urgent requests with long latency targets
	// must not hide that they are late.
	priority, urgentSends, urgentSlow int
}

// settleTime returns the time in which the queues of the servers drain that the window
// shows.
func (w *paceWindow) settleTime() time.Duration {
	return min(settleFactor*w.latency/time.Duration(max(w.ran, 1)), maxSettleTime)
}

// congested reports whether the servers were short of room.
func (w *paceWindow) congested(active bool) bool {
	maxRefused, deviations := maxRefusedSends, float64(shareDeviations)
	if active {
		maxRefused, deviations = maxPacedRefusedSends, pacedShareDeviations
	}
	return exceeds(w.slow, w.sends, maxSlowShare, deviations) || exceeds(w.urgentSlow, w.urgentSends, maxSlowShare, deviations) ||
		exceeds(w.refused, w.sends, maxRefused, deviations)
}

// exceeds reports whether a part of the sends exceeds a share by a number of standard
// deviations.
func exceeds(part, sends int, share, deviations float64) bool {
	return float64(part) > share*float64(sends)+deviations*math.Sqrt(share*(1-share)*float64(sends))
}

// observe counts the outcome of a send and reports whether the rate has changed.
func (p *pace) observe(sample RoomSample, now time.Time) (changed bool) {
	if sample.Sent.Before(p.settledAt) {
		return false
	}
	elapsed := now.Sub(p.windowStart)
	if p.window.sends == 0 || elapsed >= maxPaceWindow && p.window.sends < minPaceSamples {
		p.window, p.windowStart, elapsed = paceWindow{}, now, 0
	}
	p.window.add(sample, now)
	if p.cost == 0 {
		p.cost = sample.Cost
	}
	p.cost += costWeight * (sample.Cost - p.cost)
	enough := p.window.sends >= paceWindowSamples && elapsed >= minPaceWindow
	if !enough && (p.window.sends < minPaceSamples || elapsed < maxPaceWindow) {
		return false
	}
	return p.adjust(elapsed, now)
}

func (w *paceWindow) add(sample RoomSample, now time.Time) {
	w.sends++
	if !sample.Refused {
		w.ran++
		w.latency += now.Sub(sample.Sent)
	}
	w.cost += sample.Cost
	if sample.Answered {
		w.answeredCost += sample.Cost
	}
	if w.urgentSends == 0 || sample.Priority < w.priority {
		w.priority, w.urgentSends, w.urgentSlow = sample.Priority, 0, 0
	}
	if sample.Priority == w.priority {
		w.urgentSends++
	}
	switch {
	case sample.Refused:
		w.refused++
	case sample.Slow:
		w.slow++
		if sample.Priority == w.priority {
			w.urgentSlow++
		}
	}
}

// adjust ends a window and changes the rate.
func (p *pace) adjust(elapsed time.Duration, now time.Time) (changed bool) {
	window, binding := p.window, p.binding
	p.window, p.binding = paceWindow{}, false
	switch {
	case window.congested(p.active):
		p.neededAt = now
		if p.shortages++; !p.active && p.shortages < minShortages {
			return false
		}
		p.decrease(window.cost/elapsed.Seconds(), window.answeredCost/elapsed.Seconds(), now)
		p.settledAt = now.Add(window.settleTime())
	case !p.active:
		p.shortages = 0
		return false
	case !binding && now.Sub(p.neededAt) >= paceIdleTime:
		p.active, p.shortages = false, 0
	case binding && p.rate < p.threshold:
		p.refill(now)
		p.rate = min(p.rate*(1+fastPaceIncrease), p.threshold)
	case binding:
		p.refill(now)
		p.rate *= 1 + paceIncrease
	default:
		return false
	}
	return true
}

// decrease limits the rate by what the servers answer. sent and answered are the
// rates of the sends and of the answers.
func (p *pace) decrease(sent, answered float64, now time.Time) {
	if !p.active {
		p.start(max(firstPaceFactor*answered, minFirstFactor*sent), now)
		return
	}
	p.refill(now)
	if math.IsInf(p.threshold, 1) {
		p.threshold = p.rate
	}
	// A series of decreases drains the queues of one shortage, so that the rate before
	// it counts more than those within it.
	p.threshold = max(paceMargin*min(answered, p.rate), paceFactor*max(p.rate, p.threshold))
	p.rate = max(min(paceMargin*answered, paceFactor*p.rate), minPaceFactor*p.rate, p.lowest())
}

// start begins to limit the rate.
func (p *pace) start(rate float64, now time.Time) {
	p.active, p.rate, p.threshold = true, max(rate, p.lowest()), math.Inf(1)
	p.credit, p.updated = 0, now
}

func (p *pace) lowest() float64 { return minPaceRequests * p.cost }

// limit limits the rate to a number of requests a second that is known otherwise, if
// that is lower. It reports whether that is a change.
func (p *pace) limit(requests float64, now time.Time) (changed bool) {
	p.neededAt = now
	rate := requests * p.cost
	switch {
	case rate <= 0:
		return false
	case !p.active:
		p.start(rate, now)
		return true
	case rate < p.rate:
		p.refill(now)
		p.rate = max(rate, p.lowest())
		return true
	}
	return false
}

// refill adds the credit since the last call.
func (p *pace) refill(now time.Time) {
	if !p.active {
		return
	}
	limit := max(paceBurst*p.cost, p.rate*paceBurstTime.Seconds())
	p.credit = min(p.credit+p.rate*max(now.Sub(p.updated).Seconds(), 0), limit)
	p.updated = now
}

// wait returns the time until a request may start that may leave a number of usual
// requests owed.
func (p *pace) wait(debt float64, now time.Time) time.Duration {
	if !p.active {
		return 0
	}
	p.refill(now)
	missing := -debt*p.cost - p.credit
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/p.rate*float64(time.Second)) + 1
}

// take counts a request that starts. The pace never owes more than the given number of
// usual requests, also where they do not wait for it.
func (p *pace) take(cost, maxDebt float64) {
	if p.active {
		p.credit = max(p.credit-cost, -maxDebt*p.cost-cost)
	}
}

// usualPeriod is the length of a period of UsualLatency. A minimum is used during its
// own period and the next.
const usualPeriod = 5 * time.Minute

// UsualLatency is the lowest median latency of the answers to requests of a kind,
// which servers with room have. The zero value is ready to use.
type UsualLatency struct {
	current, previous time.Duration
	periodStart       time.Time
}

// Lowest returns the usual latency, 0 if unknown.
func (u *UsualLatency) Lowest() time.Duration {
	if u.previous > 0 {
		return min(u.current, u.previous)
	}
	return u.current
}

// Slow returns the latency from which an answer shows that its server is short of
// room. median is the present median latency, 0 if unknown, and target the latency
// target: answers within a quarter of it are never slow, and those after half of it
// always are.
func (u *UsualLatency) Slow(median, target time.Duration, now time.Time) time.Duration {
	if median > 0 {
		if u.periodStart.IsZero() || now.Sub(u.periodStart) >= usualPeriod {
			u.previous, u.current, u.periodStart = u.current, median, now
		}
		u.current = min(u.current, median)
	}
	lowest := u.Lowest()
	if lowest == 0 {
		return target / 2
	}
	return max(min(slowFactor*lowest, target/2), target/4)
}

// slowFactor multiplies the usual latency to give that of a server that is short of
// room.
const slowFactor = 3
