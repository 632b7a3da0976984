package burn

import (
	_ "embed" // embeds the page template
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Size of a plot in SVG units.
const (
	plotWidth  = 720.0
	plotHeight = 160.0
)

// minPlotMaximum is the lowest maximum of the vertical axis. It keeps burn rate 1 inside the
// plot when no request is bad.
const minPlotMaximum = 2.0

//go:embed page.html
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"span": formatDuration, "plot": newPlot,
	"windows": func() []time.Duration { return Windows },
}).Parse(pageTemplateText))

// WriteHTML writes the report as an HTML page without external resources.
func (r Report) WriteHTML(w io.Writer) error {
	return eris.Wrap(pageTemplate.Execute(w, r), "burn page cannot be written")
}

// plot holds the values that page.html needs for a diagram of burn rates.
type plot struct {
	Width, Height float64
	MaxLabel      string // label of the top of the vertical axis
	From, To      string
	Lines         []plotLine
	Marks         []plotMark
}

// plotLine is the line of one window.
type plotLine struct {
	Label  string
	Class  string
	Points string // SVG polyline points
}

// plotMark is a horizontal line at a burn rate of an alert rule.
type plotMark struct {
	Label string
	Y     string
}

// newPlot returns the diagram of an objective. Marks above the axis are left out.
func newPlot(o ObjectiveReport) plot {
	maxBurn := plotMaximum(o)
	p := plot{Width: plotWidth, Height: plotHeight, MaxLabel: fmt.Sprintf("%.3g", maxBurn)}
	for i, line := range o.Series {
		p.Lines = append(p.Lines, plotLine{
			Label: "burn over " + formatDuration(line.Window), Class: fmt.Sprintf("line%d", i),
			Points: polylinePoints(line.Points, maxBurn),
		})
		if n := len(line.Points); n > 0 {
			p.From = line.Points[0].At.Round(time.Second).String()
			p.To = line.Points[n-1].At.Round(time.Second).String()
		}
	}
	for _, burn := range []float64{1, 6, 14.4} {
		if burn <= maxBurn {
			p.Marks = append(p.Marks, plotMark{Label: fmt.Sprintf("%g", burn), Y: formatCoordinate(plotY(burn, maxBurn))})
		}
	}
	return p
}

// plotMaximum returns the largest plotted burn rate, at least minPlotMaximum.
func plotMaximum(o ObjectiveReport) float64 {
	maxBurn := minPlotMaximum
	for _, line := range o.Series {
		for _, point := range line.Points {
			maxBurn = max(maxBurn, point.BurnRate)
		}
	}
	return maxBurn
}

// polylinePoints returns the points attribute of an SVG polyline.
func polylinePoints(points []Point, maxBurn float64) string {
	if len(points) == 0 {
		return ""
	}
	from, to := points[0].At, points[len(points)-1].At
	duration := max(to-from, 1)
	coordinates := make([]string, 0, len(points))
	for _, point := range points {
		x := plotWidth * float64(point.At-from) / float64(duration)
		coordinates = append(coordinates, formatCoordinate(x)+","+formatCoordinate(plotY(point.BurnRate, maxBurn)))
	}
	return strings.Join(coordinates, " ")
}

// plotY returns the vertical SVG coordinate of a burn rate.
func plotY(burn, maxBurn float64) float64 { return plotHeight * (1 - burn/maxBurn) }

func formatCoordinate(v float64) string { return fmt.Sprintf("%.1f", v) }
