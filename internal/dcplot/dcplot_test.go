package dcplot

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

// TestPageIsSelfContained guards against a report that needs the network or
// does not escape its texts, and against a failure on a series without points,
// which a run with an early outage produces.
func TestPageIsSelfContained(t *testing.T) {
	page := Page{
		Title:  "run <1>",
		Tables: []Table{{Title: "figures", Header: []string{"a"}, Rows: [][]string{{"<b>"}}}},
		Charts: []Drawing{
			LineChart{Title: "empty", Series: []Series{{Name: "none"}}},
			LineChart{Title: "log", LogY: true, Series: []Series{{Name: "zero", Points: []Point{{0, 0}}}}},
			LineChart{Title: "line", Series: []Series{{Name: "p99", Points: []Point{{0, 1}, {1, 2}}}}},
			BarChart{Title: "bars <i>", Labels: []string{"a", "b"}, Series: []BarSeries{{Name: "1h", Values: []float64{1, 2}}}},
		},
	}
	var out bytes.Buffer
	if err := page.Write(&out); err != nil {
		t.Fatal(err)
	}
	html := out.String()
	if strings.Count(html, "<svg") != 4 {
		t.Errorf("got %d charts, want 4", strings.Count(html, "<svg"))
	}
	for _, bad := range []string{"<script", "<link", "src=", "<b>", "<i>", "<?xml"} {
		if strings.Contains(html, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
}

// TestChartReportsBadValues guards against a panic on NaN, which a division by
// zero produces.
func TestChartReportsBadValues(t *testing.T) {
	chart := LineChart{Title: "nan", Series: []Series{{Name: "x", Points: []Point{{0, math.NaN()}}}}}
	if _, err := chart.SVG(); err == nil {
		t.Error("got no error for NaN")
	}
}
