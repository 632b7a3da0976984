package loadgen

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/borageflow/borageflow/api"
)

// WriteText writes a run's result as a table with one row per class, followed by skipped and
// refused requests. It returns the first write error.
func WriteText(w io.Writer, result api.LoadResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &errWriter{w: table}
	p.printLine("class\toffered\tdone\tlost\twrong\tpoor\tdoubled\tuntrue\tmoved\tcost/req\tfirst p50\tp99\tbetween p95\tend p99\t")
	for _, c := range result.Classes {
		p.printLine("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t",
			c.Name, c.Offered, c.Completed, c.Lost, c.Wrong, c.Poor, c.Doubled, c.UntrueRefusals, c.SessionMoves,
			costPerRequest(c), formatMs(c.FirstToken.P50), formatMs(c.FirstToken.P99), formatMs(c.BetweenTokens.P95), formatMs(c.Total.P99))
	}
	if p.err == nil {
		p.err = table.Flush()
	}
	p.w = w
	for _, c := range result.Classes {
		if c.NotSent > 0 || len(c.Refused) > 0 {
			p.printLine("%s: not sent %d, refused %s", c.Name, c.NotSent, formatCounts(c.Refused))
		}
	}
	p.printLine("%.1f s, generator lag p99 %s, %d runs in %d ledgers",
		result.Seconds, formatMs(result.ScheduleLag.P99), result.Runs, result.Ledgers)
	return p.err
}

// errWriter writes lines until the first write error and keeps that error.
type errWriter struct {
	w   io.Writer
	err error
}

func (p *errWriter) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func formatMs(us int) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

func costPerRequest(c api.LoadCounts) string {
	if c.CostKnown == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", c.Cost/float64(c.CostKnown))
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	if len(parts) == 0 {
		return "none"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// IsFaultFree reports whether the run sent every arrival and has no lost requests, wrong answers,
// calls that ran twice, refusals of calls that ran, and sessions that changed their version.
func IsFaultFree(result api.LoadResult) bool {
	for _, c := range result.Classes {
		if c.Lost+c.Wrong+c.Doubled+c.UntrueRefusals+c.SessionMoves+c.NotSent > 0 {
			return false
		}
	}
	return true
}
