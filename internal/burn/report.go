package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/borageflow/borageflow/api"
)

// plotPoints is the number of points of a plotted line.
const plotPoints = 240

// plotWindows are the windows that are plotted over time.
var plotWindows = []time.Duration{5 * time.Minute, time.Hour}

// Report is the state of every objective at one time.
type Report struct {
	// From and To are the first and the last event, since the start.
	From, To   time.Duration
	Objectives []ObjectiveReport
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Objective api.Objective
	Windows   []api.BurnWindow
	Verdict   Verdict
	Rule      Rule
	// Lines are burn rates over time, one for each plotted window.
	Lines []Line
}

// Line is the burn rate of one window over time.
type Line struct {
	Window time.Duration
	Points []Point
}

// Point is a burn rate at a time since the start.
type Point struct {
	At   time.Duration
	Burn float64
}

// Report returns the state at the last event.
func (m *Meter) Report() Report {
	m.Expire(m.to)
	report := Report{From: m.from, To: m.to}
	for i, status := range m.Status(m.to) {
		verdict, rule := Judge(status)
		report.Objectives = append(report.Objectives, ObjectiveReport{
			Objective: m.meters[i].objective, Windows: status.Windows,
			Verdict: verdict, Rule: rule, Lines: m.lines(m.meters[i]),
		})
	}
	return report
}

func (m *Meter) lines(each meter) []Line {
	from := max(m.from, m.to-Windows[len(Windows)-1])
	step := max(time.Second, (m.to-from)/plotPoints)
	var lines []Line
	for _, window := range plotWindows {
		line := Line{Window: window}
		for at := from; at <= m.to; at += step {
			line.Points = append(line.Points, Point{At: at, Burn: each.window(at, window).Burn})
		}
		lines = append(lines, line)
	}
	return lines
}

// Worst returns the worst verdict of a report.
func (r Report) Worst() Verdict {
	rank := map[Verdict]int{VerdictOK: 0, VerdictTicket: 1, VerdictPage: 2}
	worst := VerdictOK
	for _, o := range r.Objectives {
		if rank[o.Verdict] > rank[worst] {
			worst = o.Verdict
		}
	}
	return worst
}

// Bounds describes an objective, such as "99% good, first token within 800 ms".
func (o ObjectiveReport) Bounds() string {
	parts := []string{fmt.Sprintf("%g%% good", o.Objective.Target*100)}
	add := func(name string, ms int) {
		if ms > 0 {
			parts = append(parts, fmt.Sprintf("%s within %d ms", name, ms))
		}
	}
	add("first token", o.Objective.FirstTokenMs)
	add("tokens", o.Objective.TokenMs)
	add("end", o.Objective.TotalMs)
	return strings.Join(parts, ", ")
}

// Reason says which rule stands behind the verdict.
func (o ObjectiveReport) Reason() string {
	if o.Verdict == VerdictOK {
		return "no rule fires"
	}
	return fmt.Sprintf("burn at least %g over %s and %s", o.Rule.Burn, span(o.Rule.Long), span(o.Rule.Short))
}

func span(d time.Duration) string {
	switch {
	case d >= 24*time.Hour:
		return fmt.Sprintf("%d d", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%d h", d/time.Hour)
	case d >= time.Minute:
		return fmt.Sprintf("%d min", d/time.Minute)
	default:
		return d.String()
	}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var b strings.Builder
	b.WriteString("class\tobjective")
	for _, window := range Windows {
		b.WriteString("\tburn " + span(window))
	}
	b.WriteString("\tverdict\n")
	for _, o := range r.Objectives {
		b.WriteString(o.Objective.Class + "\t" + o.Bounds())
		for _, window := range o.Windows {
			fmt.Fprintf(&b, "\t%.2f (%d/%d)", window.Burn, window.Total-window.Good, window.Total)
		}
		fmt.Fprintf(&b, "\t%s: %s\n", o.Verdict, o.Reason())
	}
	if _, err := io.WriteString(table, b.String()); err != nil {
		return err
	}
	return table.Flush()
}
