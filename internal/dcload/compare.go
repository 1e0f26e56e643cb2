package dcload

import (
	"maps"
	"slices"

	benchv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/bench/v1"
)

// Compare compares each variant with the first one. For each figure it returns
// the medians of both over their repetitions, and the ratio of the medians. It
// returns nil if there are fewer than two variants.
func Compare(runs []*benchv1.Run) (comparisons []*benchv1.Comparison) {
	var variants []string
	byVariant := map[string][]*benchv1.Run{}
	for _, run := range runs {
		if _, ok := byVariant[run.GetVariant()]; !ok {
			variants = append(variants, run.GetVariant())
		}
		byVariant[run.GetVariant()] = append(byVariant[run.GetVariant()], run)
	}
	if len(variants) < 2 {
		return nil
	}
	base := medianFigures(byVariant[variants[0]])
	for _, variant := range variants[1:] {
		values := medianFigures(byVariant[variant])
		for _, name := range slices.Sorted(maps.Keys(values)) {
			comparisons = append(comparisons, newComparison(variant, name, base[name], values[name]))
		}
	}
	return comparisons
}

// newComparison returns a comparison of value with base. The ratio stays 0 if
// base is 0.
func newComparison(variant, figure string, base, value float64) *benchv1.Comparison {
	comparison := &benchv1.Comparison{Variant: variant, Figure: figure, Base: base, Value: value}
	if base != 0 {
		comparison.Ratio = value / base
	}
	return comparison
}

// medianFigures returns the median of each figure over the runs, by the name of
// the figure.
func medianFigures(runs []*benchv1.Run) map[string]float64 {
	values := map[string][]float64{}
	for _, run := range runs {
		for _, load := range run.GetLoads() {
			prefix := load.GetServiceGroup() + "/" + load.GetDepartment() + " "
			values[prefix+"p50 ms"] = append(values[prefix+"p50 ms"], load.GetP50Ms())
			values[prefix+"p99 ms"] = append(values[prefix+"p99 ms"], load.GetP99Ms())
			values[prefix+"p99.9 ms"] = append(values[prefix+"p99.9 ms"], load.GetP999Ms())
			values[prefix+"goodput /s"] = append(values[prefix+"goodput /s"], load.GetGoodput())
			values[prefix+"coverage"] = append(values[prefix+"coverage"], load.GetCoverage())
		}
		values["extra load"] = append(values["extra load"], run.GetUpstream().GetExtraLoad())
	}
	medians := make(map[string]float64, len(values))
	for name, samples := range values {
		medians[name] = median(samples)
	}
	return medians
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
