package dcadmission

import (
	"math"
	"time"
)

const (
	// servedSpan is the time constant with which requests leave a servedShare.
	servedSpan = 10 * time.Second
	// guaranteedShare is the share of requests that start of each department and
	// priority, as a fraction of that of all requests that compete for room. The
	// requirement is a quarter; the rest is for hosts that see few requests of a
	// department. maxGroupShare limits it as a fraction of that of the requests that
	// need the same services, so that not all of these are owed more.
	guaranteedShare = 0.33
	maxGroupShare   = 0.7
	// exceedFactor, exceedRequests and exceedDeviations are the factor, the number of
	// requests and the number of standard deviations of random arrivals by which a
	// department exceeds its share of those that start before others are reserved
	// room. A host sees few requests of most departments.
	exceedFactor     = 1.0
	exceedRequests   = 1
	exceedDeviations = 1
)

// servedShare is the share of requests that start, over about servedSpan.
type servedShare struct {
	offered, started float64
	updated          time.Time
}

func (s *servedShare) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(s.updated)) / float64(servedSpan))
	s.offered, s.started, s.updated = s.offered*weight, s.started*weight, now
}

// owed reports whether at least one request more should have started for a share.
func (s *servedShare) owed(share float64, now time.Time) bool {
	s.decay(now)
	return s.started+1 <= share*s.offered
}

// share returns the share of the requests that start.
func (s *servedShare) share(now time.Time) float64 {
	s.decay(now)
	if s.offered == 0 {
		return 0
	}
	return s.started / s.offered
}

// guaranteed returns the guaranteed share of each department and priority.
func (f *fairQueue) guaranteed(now time.Time) float64 {
	return min(guaranteedShare*f.all.share(now), maxGroupShare*f.served.share(now))
}

// recordOffered counts a request that arrives.
func (f *fairQueue) recordOffered(arrived *entry, now time.Time) {
	for _, share := range f.shares(arrived) {
		share.decay(now)
		share.offered++
	}
}

// recordStarted counts a request that starts.
func (f *fairQueue) recordStarted(started *entry, now time.Time) {
	for _, share := range f.shares(started) {
		share.decay(now)
		share.started++
	}
}

// urgentWorseOff reports whether a more urgent priority of the same department has a
// lower share of requests that start.
func (f *fairQueue) urgentWorseOff(waiting *entry, now time.Time) bool {
	own := waiting.flow.class(waiting.priority)
	own.decay(now)
	for priority, other := range waiting.flow.servedByClass {
		if priority >= waiting.priority {
			continue
		}
		// At least one request more must be owed, since shares of few requests vary.
		if other.decay(now); other.offered > 0 && own.offered > 0 && (other.started+1)*own.offered < own.started*other.offered {
			return true
		}
	}
	return false
}

// class returns the share of a priority of the flow.
func (f *flow) class(priority int) *servedShare {
	found := f.servedByClass[priority]
	if found == nil {
		if f.servedByClass == nil {
			f.servedByClass = make(map[int]*servedShare)
		}
		found = new(servedShare)
		f.servedByClass[priority] = found
	}
	return found
}

// shares returns the shares that a request counts for.
func (f *fairQueue) shares(counted *entry) [5]*servedShare {
	class := f.servedByClass[counted.priority]
	if class == nil {
		if f.servedByClass == nil {
			f.servedByClass = make(map[int]*servedShare)
		}
		class = new(servedShare)
		f.servedByClass[counted.priority] = class
	}
	return [5]*servedShare{&f.served, &counted.flow.served, class, counted.flow.class(counted.priority), f.all}
}

// owed returns the first request of a department that is owed requests, or else of
// a priority, or nil if there is none.
func (f *fairQueue) owed(now time.Time) (first *entry) {
	if f.all == nil {
		return nil
	}
	share := f.guaranteed(now)
	for _, candidate := range f.ordered {
		if candidate.queue.Len() > 0 && candidate.served.owed(share, now) && (first == nil || candidate.start < first.flow.start) {
			first = candidate.queue.Front().Value.(*entry)
		}
	}
	if first != nil {
		return first
	}
	for _, candidate := range f.ordered {
		if owed := f.owedClass(candidate, share, now); owed != nil && (first == nil || owed.flow.start < first.flow.start) {
			first = owed
		}
	}
	return first
}

// owedClass returns the first request of a flow of a priority that is owed requests.
func (f *fairQueue) owedClass(candidate *flow, share float64, now time.Time) *entry {
	for element := candidate.queue.Front(); element != nil; element = element.Next() {
		waiting := element.Value.(*entry)
		if class := f.servedByClass[waiting.priority]; class != nil && class.owed(share, now) {
			return waiting
		}
	}
	return nil
}

// exceedsShare reports whether more requests of a department have started than its
// weight gives it, among the departments with requests.
func (f *fairQueue) exceedsShare(department *flow, now time.Time) bool {
	total := 0.0
	for _, other := range f.ordered {
		if other.served.decay(now); other.served.offered > 0 {
			total += other.weight * min(other.served.offered, 1)
		}
	}
	f.served.decay(now)
	if total == 0 {
		return false
	}
	share := exceedFactor * f.served.started * department.weight / total
	return department.served.started > exceedRequests+share+exceedDeviations*math.Sqrt(share)
}
