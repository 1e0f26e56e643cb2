// Package dccapacity measures what each role of a host costs at several sizes
// and works out the cost at the target size from the fitted slope.
package dccapacity

import (
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a straight line through points, by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the explained part of the variance, 0 to 1.
	RSquared float64 `json:"r-squared"`
	// MaxError is the largest distance of a point from the line, as a
	// fraction of the point.
	MaxError float64 `json:"max-error"`
}

// FitLine fits a line. It needs at least two sizes.
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
			distance := math.Abs(fit.At(point.Size)-point.Value) / math.Abs(point.Value)
			fit.MaxError = max(fit.MaxError, distance)
		}
	}
	return fit
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// usage is the processor time and the live heap around a piece of work.
type usage struct {
	elapsed time.Duration
	heap    uint64
}

// measure runs work on one goroutine and returns its elapsed time; with no
// other work in the process it equals the processor time within the noise of
// the garbage collector.
func measure(work func()) usage {
	runtime.GC()
	start := time.Now()
	work()
	elapsed := time.Since(start)
	return usage{elapsed: elapsed, heap: liveHeap()}
}

func liveHeap() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
