package dcplot

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

// Guards against a report that needs the network or that fails on series with
// no points, which a run with an early outage produces.
func TestPageIsSelfContained(t *testing.T) {
	page := Page{
		Title:  "run <1>",
		Tables: []Table{{Title: "figures", Header: []string{"a"}, Rows: [][]string{{"<b>"}}}},
		Charts: []Chart{
			{Title: "empty", Series: []Series{{Name: "none"}}},
			{Title: "log", LogY: true, Series: []Series{{Name: "zero", Points: []Point{{0, 0}}}}},
			{Title: "line", Series: []Series{{Name: "p99", Points: []Point{{0, 1}, {1, 2}}}}},
		},
	}
	var out bytes.Buffer
	if err := page.Write(&out); err != nil {
		t.Fatal(err)
	}
	html := out.String()
	if strings.Count(html, "<svg") != 3 {
		t.Errorf("got %d charts, want 3", strings.Count(html, "<svg"))
	}
	for _, bad := range []string{"<script", "<link", "src=", "<b>", "<?xml"} {
		if strings.Contains(html, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
}

// Guards against a panic on values that a division by zero produces.
func TestChartReportsBadValues(t *testing.T) {
	chart := Chart{Title: "nan", Series: []Series{{Name: "x", Points: []Point{{0, math.NaN()}}}}}
	if _, err := chart.SVG(); err == nil {
		t.Error("got no error for NaN")
	}
}
