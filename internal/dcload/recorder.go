package dcload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
	"github.com/dandelioncart/dandelioncart/pkg/dcclient"
)

const (
	// The histograms cover 1 µs to 10 min with 3 significant figures.
	lowestLatencyUS    = 1
	highestLatencyUS   = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3

	maxViolationExamples = 5
)

// Sample is the measured result of one request.
type Sample struct {
	// Intended is the intended send time, relative to the start of the run.
	Intended time.Duration
	// Latency is the time from the intended send time to the answer.
	Latency time.Duration
	// Outcome and Reason are those of the client's result. If there was no answer,
	// Reason is client-timeout or client-error.
	Outcome string
	Reason  string
	// Attempts is the number of times that the client tried to send the request.
	Attempts int
	// Good reports whether a usable answer arrived within the deadline.
	Good bool
	// Coverage is the fraction of shards that the answer covers, 0 to 1.
	Coverage float64
	// Violation describes a violated guarantee of the tier. It is empty if there
	// is none.
	Violation string
}

// Recorder aggregates the samples of one load. It is safe for concurrent use.
type Recorder struct {
	// Load is the load whose requests are recorded.
	Load *benchv1.Load
	// WarmUp is the time before the measured interval. Only violations are
	// recorded in it.
	WarmUp time.Duration
	// Duration is the length of the measured interval.
	Duration time.Duration

	mu     sync.Mutex
	result benchv1.LoadResult
	// latency holds the latencies of good requests in µs.
	latency *hdrhistogram.Histogram
	// refused holds the latencies of requests with the outcome not-run in µs.
	refused *hdrhistogram.Histogram
	// coverageSum is the sum of the coverage of good requests.
	coverageSum float64
	seconds     []*secondBucket
}

// secondBucket aggregates the samples whose intended send times are within one
// second.
type secondBucket struct {
	// refused counts all requests that are not good, also those that failed.
	sent, good, refused uint32
	// coverageSum is the sum of the coverage of good requests.
	coverageSum float64
	// latency holds the latencies of good requests in µs.
	latency *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyUS, highestLatencyUS, significantFigures)
}

// Add records a sample. Of a sample outside the measured interval, only the
// violation is recorded.
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
	// RecordValue fails only for a value beyond the histogram's range, which is
	// longer than a run.
	_ = r.latency.RecordValue(sample.Latency.Microseconds())
	_ = bucket.latency.RecordValue(sample.Latency.Microseconds())
}

// initOnce allocates the histograms and maps on the first call. r.mu must be
// held.
func (r *Recorder) initOnce() {
	if r.latency != nil {
		return
	}
	r.latency = newHistogram()
	r.refused = newHistogram()
	r.result.Outcomes = map[string]uint32{}
	r.result.Reasons = map[string]uint32{}
}

// addViolation counts the violation of a sample, if any, and keeps the first
// maxViolationExamples descriptions. r.mu must be held.
func (r *Recorder) addViolation(sample Sample) {
	if sample.Violation == "" {
		return
	}
	r.result.Violations++
	if len(r.result.ViolationExamples) < maxViolationExamples {
		r.result.ViolationExamples = append(r.result.ViolationExamples, sample.Violation)
	}
}

// bucket returns the bucket of the second that at falls into. at is relative to
// the start of the measured interval. r.mu must be held.
func (r *Recorder) bucket(at time.Duration) *secondBucket {
	index := int(at / time.Second)
	for len(r.seconds) <= index {
		r.seconds = append(r.seconds, &secondBucket{latency: newHistogram()})
	}
	return r.seconds[index]
}

// Result returns the totals of the measured interval. The returned message is
// the recorder's own: it must not be read while samples are added.
func (r *Recorder) Result() *benchv1.LoadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initOnce()
	r.result.ServiceGroup = r.Load.GetServiceGroup()
	r.result.Department = r.Load.GetDepartment()
	r.result.Kind = r.Load.GetKind()
	r.result.P50Ms = percentileMS(r.latency, 50)
	r.result.P99Ms = percentileMS(r.latency, 99)
	r.result.P999Ms = percentileMS(r.latency, 99.9)
	r.result.RefusedP99Ms = percentileMS(r.refused, 99)
	r.result.Goodput = float64(r.result.Good) / r.Duration.Seconds()
	if r.result.Good > 0 {
		r.result.Coverage = r.coverageSum / float64(r.result.Good)
	}
	return &r.result
}

// MergeSeconds merges the seconds of several loads.
func MergeSeconds(recorders []*Recorder) (merged []*benchv1.Second) {
	var buckets []*secondBucket
	for _, recorder := range recorders {
		recorder.mu.Lock()
		for index, bucket := range recorder.seconds {
			for len(buckets) <= index {
				buckets = append(buckets, &secondBucket{latency: newHistogram()})
			}
			buckets[index].merge(bucket)
		}
		recorder.mu.Unlock()
	}
	for index, bucket := range buckets {
		merged = append(merged, bucket.result(index))
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

// result returns the totals of the bucket. index is the number of the second in
// the measured interval, from 0.
func (s *secondBucket) result(index int) *benchv1.Second {
	result := &benchv1.Second{
		Second:  uint32(index),
		Sent:    s.sent,
		Good:    s.good,
		Refused: s.refused,
		P50Ms:   percentileMS(s.latency, 50),
		P99Ms:   percentileMS(s.latency, 99),
	}
	if s.good > 0 {
		result.Coverage = s.coverageSum / float64(s.good)
	}
	return result
}

// percentileMS returns a percentile, from 0 to 100, of a histogram in µs as
// milliseconds.
func percentileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	const microsecondsPerMS = 1000
	return float64(histogram.ValueAtQuantile(percentile)) / microsecondsPerMS
}
