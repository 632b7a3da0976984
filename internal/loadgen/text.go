package loadgen

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/borageflow/borageflow/api"
)

// WriteText writes a summary of a run for people.
func WriteText(w io.Writer, result api.LoadResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: table}
	p.line("class\toffered\tdone\tlost\twrong\tpoor\tdoubled\tuntrue\tmoved\tcost/req\tfirst p50\tp99\tbetween p95\tend p99\t")
	for _, c := range result.Classes {
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t",
			c.Name, c.Offered, c.Completed, c.Lost, c.Wrong, c.Poor, c.Doubled, c.UntrueRefusals, c.SessionMoves,
			costPerRequest(c), ms(c.FirstToken.P50), ms(c.FirstToken.P99), ms(c.BetweenTokens.P95), ms(c.Total.P99))
	}
	if p.err == nil {
		p.err = table.Flush()
	}
	p.w = w
	for _, c := range result.Classes {
		if c.NotSent > 0 || len(c.Refused) > 0 {
			p.line("%s: not sent %d, refused %s", c.Name, c.NotSent, counted(c.Refused))
		}
	}
	p.line("%.1f s, generator lag p99 %s, %d runs in %d ledgers",
		result.Seconds, ms(result.ScheduleLag.P99), result.Runs, result.Ledgers)
	return p.err
}

// printer keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func ms(us int) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

func costPerRequest(c api.LoadCounts) string {
	if c.CostKnown == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", c.Cost/float64(c.CostKnown))
}

func counted(counts map[string]int) string {
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

// Met reports whether a run lost, doubled, corrupted or moved nothing, refused
// nothing untruly and sent every arrival.
func Met(result api.LoadResult) bool {
	for _, c := range result.Classes {
		if c.Lost+c.Wrong+c.Doubled+c.UntrueRefusals+c.SessionMoves+c.NotSent > 0 {
			return false
		}
	}
	return true
}
