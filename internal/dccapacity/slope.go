// Package dccapacity measures the cost of each role of a host at several sizes
// and computes the cost at the target size from a fitted line.
package dccapacity

import (
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is the measured value of a figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a straight line that is fitted to points by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the coefficient of determination, the fraction of the variance
	// that the line explains, 0 to 1.
	RSquared float64 `json:"r-squared"`
	// MaxError is the largest distance of a point from the line, as a fraction of
	// the point's value. Points with the value 0 are left out.
	MaxError float64 `json:"max-error"`
}

// FitLine fits a line to points of at least two different sizes.
func FitLine(points []Point) (fit Fit) {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for index, point := range points {
		sizes[index], values[index] = point.Size, point.Value
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	fit.RSquared = stat.RSquared(sizes, values, nil, fit.Intercept, fit.Slope)
	for _, point := range points {
		if point.Value != 0 {
			relativeError := math.Abs(fit.At(point.Size)-point.Value) / math.Abs(point.Value)
			fit.MaxError = max(fit.MaxError, relativeError)
		}
	}
	return fit
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// usage is the resource usage of measured work.
type usage struct {
	elapsed time.Duration
	// heap is the live heap of the process after the work, in bytes.
	heap uint64
}

// measure runs work on this goroutine and returns its resource usage. If nothing
// else runs in the process, the elapsed time equals the processor time, apart
// from the time of the garbage collector.
func measure(work func()) usage {
	runtime.GC()
	start := time.Now()
	work()
	elapsed := time.Since(start)
	return usage{elapsed: elapsed, heap: liveHeap()}
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
