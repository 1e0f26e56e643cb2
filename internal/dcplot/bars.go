package dcplot

import (
	"html/template"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// barGroupWidth is the width of all bars of one label together, in points.
const barGroupWidth = 60

// BarChart is a bar chart with one group of bars for each label.
type BarChart struct {
	Title  string
	YLabel string
	Labels []string
	Series []BarSeries
}

// BarSeries holds the value of one series for each label.
type BarSeries struct {
	Name   string
	Values []float64
}

// SVG renders the chart as an svg element.
func (b BarChart) SVG() (svg template.HTML, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "draw chart %q", b.Title)
		}
	}()
	figure := plot.New()
	figure.Title.Text = b.Title
	figure.Y.Label.Text = b.YLabel
	figure.Y.Min = 0
	figure.Legend.Top = true
	figure.NominalX(b.Labels...)
	width := vg.Points(barGroupWidth / float64(max(len(b.Series), 1)))
	for index, series := range b.Series {
		if len(series.Values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(plotter.Values(series.Values), width)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(index)
		bars.Offset = width * vg.Length(float64(index)-float64(len(b.Series)-1)/2)
		figure.Add(bars)
		figure.Legend.Add(series.Name, bars)
	}
	return render(figure)
}
