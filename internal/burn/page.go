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

// Size of a plot, in SVG units.
const (
	plotWidth  = 720.0
	plotHeight = 160.0
)

// smallestScale keeps the line of burn rate 1 inside a plot without losses.
const smallestScale = 2.0

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"span": span, "plot": newPlot,
	"windows": func() []time.Duration { return Windows },
}).Parse(pageText))

// WriteHTML writes the report as one page that loads nothing from elsewhere.
func (r Report) WriteHTML(w io.Writer) error {
	return eris.Wrap(page.Execute(w, r), "burn page cannot be written")
}

// plot is one drawn diagram.
type plot struct {
	Width, Height float64
	Top           string // label of the largest burn rate
	From, To      string
	Lines         []plotLine
	Marks         []plotMark
}

type plotLine struct {
	Label  string
	Class  string
	Points string // SVG polyline points
}

type plotMark struct {
	Label string
	Y     string
}

func newPlot(o ObjectiveReport) plot {
	top := scale(o)
	p := plot{Width: plotWidth, Height: plotHeight, Top: fmt.Sprintf("%.3g", top)}
	for i, line := range o.Lines {
		p.Lines = append(p.Lines, plotLine{
			Label: "burn over " + span(line.Window), Class: fmt.Sprintf("line%d", i),
			Points: polyline(line.Points, top),
		})
		if n := len(line.Points); n > 0 {
			p.From = line.Points[0].At.Round(time.Second).String()
			p.To = line.Points[n-1].At.Round(time.Second).String()
		}
	}
	for _, burn := range []float64{1, 6, 14.4} {
		if burn <= top {
			p.Marks = append(p.Marks, plotMark{Label: fmt.Sprintf("%g", burn), Y: coordinate(height(burn, top))})
		}
	}
	return p
}

func scale(o ObjectiveReport) float64 {
	top := smallestScale
	for _, line := range o.Lines {
		for _, point := range line.Points {
			top = max(top, point.Burn)
		}
	}
	return top
}

func polyline(points []Point, top float64) string {
	if len(points) == 0 {
		return ""
	}
	from, to := points[0].At, points[len(points)-1].At
	length := max(to-from, 1)
	coordinates := make([]string, 0, len(points))
	for _, point := range points {
		x := plotWidth * float64(point.At-from) / float64(length)
		coordinates = append(coordinates, coordinate(x)+","+coordinate(height(point.Burn, top)))
	}
	return strings.Join(coordinates, " ")
}

func height(burn, top float64) float64 { return plotHeight * (1 - burn/top) }

func coordinate(v float64) string { return fmt.Sprintf("%.1f", v) }
