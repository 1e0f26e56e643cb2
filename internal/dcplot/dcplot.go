// Package dcplot renders line and bar charts as SVG in a self-contained HTML
// page. The page loads nothing from the network, so that a report can be kept
// and passed on as one file.
package dcplot

import (
	"bytes"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 3 * vg.Inch
)

// Point is one point of a series.
type Point struct {
	X, Y float64
}

// Series is one line of a LineChart.
type Series struct {
	Name   string
	Points []Point
}

// LineChart is a chart with one line for each series. XLabel and YLabel name
// the quantity and its unit.
type LineChart struct {
	Title  string
	XLabel string
	YLabel string
	// LogY selects a logarithmic Y axis, without the points at or below zero.
	LogY   bool
	Series []Series
}

// SVG renders the chart as an svg element.
func (c LineChart) SVG() (svg template.HTML, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "draw chart %q", c.Title)
		}
	}()
	figure := plot.New()
	figure.Title.Text = c.Title
	figure.X.Label.Text = c.XLabel
	figure.Y.Label.Text = c.YLabel
	figure.Legend.Top = true
	figure.Add(plotter.NewGrid())
	drawn := 0
	for index, series := range c.Series {
		points := c.plottable(series.Points)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(index)
		line.Width = vg.Points(1.5)
		figure.Add(line)
		figure.Legend.Add(series.Name, line)
		drawn++
	}
	if c.LogY && drawn > 0 {
		figure.Y.Scale = plot.LogScale{}
		figure.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	return render(figure)
}

// render renders a plot as an svg element.
func render(figure *plot.Plot) (svg template.HTML, err error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	figure.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.HTML(trimProlog(out.Bytes())), nil
}

// plottable returns the points that the scale of the Y axis can show.
func (c LineChart) plottable(points []Point) (plottable plotter.XYs) {
	for _, point := range points {
		if c.LogY && point.Y <= 0 {
			continue
		}
		plottable = append(plottable, plotter.XY{X: point.X, Y: point.Y})
	}
	return plottable
}

// trimProlog removes the XML declaration, which is not allowed within HTML.
func trimProlog(svg []byte) []byte {
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		return svg[start:]
	}
	return svg
}

// Table is a table of plain text.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Page is an HTML page with notes, tables and charts.
type Page struct {
	Title string
	Notes []string
	// Tables come before the charts.
	Tables []Table
	Charts []Drawing
}

// Drawing is a chart that can be put on a Page.
type Drawing interface {
	SVG() (template.HTML, error)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font-family:sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}
th,td{border:1px solid #999;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>{{.Title}}</h1>
{{range .Notes}}<p>{{.}}</p>
{{end}}{{range .Tables}}<h2>{{.Title}}</h2>
<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{range .Images}}<figure>{{.}}</figure>
{{end}}</body></html>
`))

// Write writes the page as HTML.
func (p Page) Write(out io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "write page %q", p.Title)
		}
	}()
	var images []template.HTML
	for _, chart := range p.Charts {
		image, err := chart.SVG()
		if err != nil {
			return err
		}
		images = append(images, image)
	}
	return pageTemplate.Execute(out, struct {
		Page
		Images []template.HTML
	}{p, images})
}
