package dcreportburncommand

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"github.com/dandelioncart/dandelioncart/internal/dccommand"
	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

// scriptURL is where go-echarts publishes the script that it renders for. The
// library does not hold the script itself.
const scriptURL = "https://go-echarts.github.io/go-echarts-assets/assets/echarts.min.js"

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
{{if .Script}}<script>{{.Script}}</script>{{else}}<script src="{{.ScriptURL}}"></script>{{end}}
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style>
</head>
<body>
<h1>Burn report</h1>
<p>From {{.From}} until {{.Until}}. Hosts: {{.Hosts}}.</p>
{{range .Gaps}}<p>Missing: {{.}}</p>
{{end}}<table>
<tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}{{.Element}}
{{.Script}}
{{end}}</body>
</html>
`))

type plot struct {
	Element template.HTML
	Script  template.HTML
}

type page struct {
	Script      template.JS
	ScriptURL   string
	From, Until string
	Hosts       string
	Gaps        []string
	Header      []string
	Rows        [][]string
	Plots       []plot
}

// render writes a page with the figures as a table and one plot for each
// service group. An empty script is loaded from the network.
func render(out io.Writer, answer *callerv1.ReportResponse, script string) error {
	rows := table(answer)
	return pageTemplate.Execute(out, page{
		Script:    template.JS(script),
		ScriptURL: scriptURL,
		From:      answer.GetFrom(),
		Until:     answer.GetUntil(),
		Hosts:     strings.Join(answer.GetCoveredHosts(), ", "),
		Gaps:      answer.GetGaps(),
		Header:    rows[0],
		Rows:      rows[1:],
		Plots:     plots(answer),
	})
}

// plots returns one bar chart for each service group, in order of the report.
func plots(answer *callerv1.ReportResponse) []plot {
	byGroup := map[string][]*callerv1.ReportRow{}
	var groups []string
	for _, row := range answer.GetRows() {
		group := row.GetServiceGroup()
		if byGroup[group] == nil {
			groups = append(groups, group)
		}
		byGroup[group] = append(byGroup[group], row)
	}
	var drawn []plot
	for i, group := range groups {
		snippet := chart(i, group, byGroup[group], dccommand.Windows(answer)).RenderSnippet()
		drawn = append(drawn, plot{
			Element: template.HTML(snippet.Element),
			Script:  template.HTML(snippet.Script),
		})
	}
	return drawn
}

func chart(place int, group string, rows []*callerv1.ReportRow, windows []string) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithInitializationOpts(opts.Initialization{
			ChartID: fmt.Sprintf("burn%d", place),
			Width:   "1000px",
			Height:  "400px",
		}),
		charts.WithTitleOpts(opts.Title{
			Title:    plain(group),
			Subtitle: "burn rate by window; 1 spends the error budget exactly",
		}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
	)
	var labels []string
	for _, row := range rows {
		labels = append(labels, plain(row.GetDepartment()+" "+row.GetObjective()))
	}
	bar.SetXAxis(labels)
	for _, window := range windows {
		var data []opts.BarData
		for _, row := range rows {
			data = append(data, opts.BarData{Value: row.GetBurn()[window]})
		}
		bar.AddSeries(plain(window), data)
	}
	return bar
}

// plain removes what could end a script element, since go-echarts does not
// escape labels for HTML.
func plain(text string) string {
	return strings.Map(func(letter rune) rune {
		if strings.ContainsRune("<>&\"'`\\", letter) {
			return '_'
		}
		return letter
	}, text)
}
