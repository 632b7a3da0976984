package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/borageflow/borageflow/api"
)

// plotPoints is the approximate number of points of a plotted line.
const plotPoints = 240

// plotWindows lists the windows whose burn rates are plotted over time.
var plotWindows = []time.Duration{5 * time.Minute, time.Hour}

// Report holds the burn rates and verdicts of every objective at the last event.
type Report struct {
	// From and To are the times of the first and the last event since the start.
	From, To   time.Duration
	Objectives []ObjectiveReport
}

// ObjectiveReport holds the burn rates and the verdict of one objective.
type ObjectiveReport struct {
	Objective api.Objective
	Windows   []api.BurnWindow
	Verdict   Verdict
	Rule      Rule
	// Series holds the burn rates over time, one element for each plotted window.
	Series []Series
}

// Series holds the burn rate of one window over time.
type Series struct {
	Window time.Duration
	Points []Point
}

// Point is the burn rate at a time since the start.
type Point struct {
	At       time.Duration
	BurnRate float64
}

// Report returns the report at the last event. It first counts the arrivals whose
// deadline has passed as bad.
func (m *Meter) Report() Report {
	m.Expire(m.lastEventAt)
	report := Report{From: m.firstEventAt, To: m.lastEventAt}
	for i, status := range m.Status(m.lastEventAt) {
		verdict, rule := EvaluateRules(status)
		report.Objectives = append(report.Objectives, ObjectiveReport{
			Objective: m.meters[i].objective, Windows: status.Windows,
			Verdict: verdict, Rule: rule, Series: m.burnSeries(m.meters[i]),
		})
	}
	return report
}

// burnSeries returns the burn rates of the plotted windows, from the first event on, at
// most for the longest window.
func (m *Meter) burnSeries(om objectiveMeter) []Series {
	from := max(m.firstEventAt, m.lastEventAt-Windows[len(Windows)-1])
	step := max(time.Second, (m.lastEventAt-from)/plotPoints)
	var all []Series
	for _, window := range plotWindows {
		series := Series{Window: window}
		for at := from; at <= m.lastEventAt; at += step {
			series.Points = append(series.Points, Point{At: at, BurnRate: om.burnWindow(at, window).Burn})
		}
		all = append(all, series)
	}
	return all
}

// WorstVerdict returns the most severe verdict of the objectives, or VerdictOK without any.
func (r Report) WorstVerdict() Verdict {
	rank := map[Verdict]int{VerdictOK: 0, VerdictTicket: 1, VerdictPage: 2}
	worst := VerdictOK
	for _, o := range r.Objectives {
		if rank[o.Verdict] > rank[worst] {
			worst = o.Verdict
		}
	}
	return worst
}

// Description returns the target and the time limits of the objective, such as
// "99% good, first token within 800 ms".
func (o ObjectiveReport) Description() string {
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

// Reason describes the rule that fired.
func (o ObjectiveReport) Reason() string {
	if o.Verdict == VerdictOK {
		return "no rule fires"
	}
	return fmt.Sprintf("burn at least %g over %s and %s", o.Rule.MinBurnRate, formatDuration(o.Rule.LongWindow), formatDuration(o.Rule.ShortWindow))
}

// formatDuration formats a window in its largest whole unit, such as "30 min".
func formatDuration(d time.Duration) string {
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

// WriteText writes the report as a table with one row for each objective.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var b strings.Builder
	b.WriteString("class\tobjective")
	for _, window := range Windows {
		b.WriteString("\tburn " + formatDuration(window))
	}
	b.WriteString("\tverdict\n")
	for _, o := range r.Objectives {
		b.WriteString(o.Objective.Class + "\t" + o.Description())
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
