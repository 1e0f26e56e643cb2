package dcload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
	"github.com/dandelioncart/dandelioncart/pkg/dcclient"
)

const (
	// Histograms cover 1 µs to 10 min with 3 significant figures.
	lowestLatencyUS    = 1
	highestLatencyUS   = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3

	maxViolationExamples = 5
)

// Sample is the measured result of one request.
type Sample struct {
	// Intended is the planned send time, counted from the start of the run.
	Intended time.Duration
	// Latency runs from the intended send time to the answer.
	Latency time.Duration
	Outcome string
	Reason  string
	// Attempts counts the transmissions of the client.
	Attempts int
	// Good reports a usable answer within the deadline.
	Good bool
	// Coverage is the covered fraction of shards, 0 to 1.
	Coverage float64
	// Violation describes a broken promise; empty when there is none.
	Violation string
}

// Recorder sums up the samples of one load. It is safe for concurrent use.
type Recorder struct {
	// Load describes the requests.
	Load *benchv1.Load
	// WarmUp is left out of the result.
	WarmUp time.Duration
	// Duration is the length of the measured interval.
	Duration time.Duration

	mu          sync.Mutex
	result      benchv1.LoadResult
	latency     *hdrhistogram.Histogram
	refused     *hdrhistogram.Histogram
	coverageSum float64
	seconds     []*secondBucket
}

type secondBucket struct {
	sent, good, refused uint32
	coverageSum         float64
	latency             *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyUS, highestLatencyUS, significantFigures)
}

// Add records a sample. Samples of the warm-up count only when they break a
// promise.
func (r *Recorder) Add(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initOnce()
	r.addViolation(sample)
	if sample.Intended < r.WarmUp || sample.Intended >= r.WarmUp+r.Duration {
		return
	}
	r.result.Requests++
	r.result.Outcomes[sample.Outcome]++
	r.result.Reasons[sample.Reason]++
	if sample.Attempts > 1 {
		r.result.Resent++
	}
	if sample.Outcome == string(dcclient.NotRun) {
		_ = r.refused.RecordValue(sample.Latency.Microseconds())
	}
	bucket := r.bucket(sample.Intended - r.WarmUp)
	bucket.sent++
	if !sample.Good {
		bucket.refused++
		return
	}
	r.result.Good++
	bucket.good++
	r.coverageSum += sample.Coverage
	bucket.coverageSum += sample.Coverage
	if sample.Coverage >= 1 {
		r.result.Complete++
	}
	// A value beyond the histogram's range cannot occur: the run is shorter.
	_ = r.latency.RecordValue(sample.Latency.Microseconds())
	_ = bucket.latency.RecordValue(sample.Latency.Microseconds())
}

func (r *Recorder) initOnce() {
	if r.latency != nil {
		return
	}
	r.latency = newHistogram()
	r.refused = newHistogram()
	r.result.Outcomes = map[string]uint32{}
	r.result.Reasons = map[string]uint32{}
}

func (r *Recorder) addViolation(sample Sample) {
	if sample.Violation == "" {
		return
	}
	r.result.Violations++
	if len(r.result.ViolationExamples) < maxViolationExamples {
		r.result.ViolationExamples = append(r.result.ViolationExamples, sample.Violation)
	}
}

func (r *Recorder) bucket(at time.Duration) *secondBucket {
	index := int(at / time.Second)
	for len(r.seconds) <= index {
		r.seconds = append(r.seconds, &secondBucket{latency: newHistogram()})
	}
	return r.seconds[index]
}

// Result returns the sums over the measured interval.
func (r *Recorder) Result() *benchv1.LoadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initOnce()
	r.result.ServiceGroup = r.Load.GetServiceGroup()
	r.result.Department = r.Load.GetDepartment()
	r.result.Kind = r.Load.GetKind()
	r.result.P50Ms = quantileMS(r.latency, 50)
	r.result.P99Ms = quantileMS(r.latency, 99)
	r.result.P999Ms = quantileMS(r.latency, 99.9)
	r.result.RefusedP99Ms = quantileMS(r.refused, 99)
	r.result.Goodput = float64(r.result.Good) / r.Duration.Seconds()
	if r.result.Good > 0 {
		r.result.Coverage = r.coverageSum / float64(r.result.Good)
	}
	return &r.result
}

// MergeSeconds sums up the seconds of several loads.
func MergeSeconds(recorders []*Recorder) (merged []*benchv1.Second) {
	var slots []*secondBucket
	for _, recorder := range recorders {
		recorder.mu.Lock()
		for index, slot := range recorder.seconds {
			for len(slots) <= index {
				slots = append(slots, &secondBucket{latency: newHistogram()})
			}
			slots[index].merge(slot)
		}
		recorder.mu.Unlock()
	}
	for index, slot := range slots {
		merged = append(merged, slot.result(index))
	}
	return merged
}

func (s *secondBucket) merge(other *secondBucket) {
	s.sent += other.sent
	s.good += other.good
	s.refused += other.refused
	s.coverageSum += other.coverageSum
	s.latency.Merge(other.latency)
}

func (s *secondBucket) result(index int) *benchv1.Second {
	result := &benchv1.Second{
		Second:  uint32(index),
		Sent:    s.sent,
		Good:    s.good,
		Refused: s.refused,
		P50Ms:   quantileMS(s.latency, 50),
		P99Ms:   quantileMS(s.latency, 99),
	}
	if s.good > 0 {
		result.Coverage = s.coverageSum / float64(s.good)
	}
	return result
}

func quantileMS(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	const microsecondsPerMS = 1000
	return float64(histogram.ValueAtQuantile(quantile)) / microsecondsPerMS
}
