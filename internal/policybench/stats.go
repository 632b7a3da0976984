// Package policybench provides queue models, generated traces and a virtual clock for the
// policy benchmarks of the packages routing and cascade.
package policybench

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Epoch is the virtual time at which each benchmark starts.
var Epoch = time.Unix(1_700_000_000, 0)

// Percentile returns the p-th percentile of values, p being 0 to 100. It returns 0 for no
// values and leaves their order unchanged.
func Percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(p / 100 * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}

// Mean returns the mean of values, or 0 for no values.
func Mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Table collects rows and formats them in aligned columns.
type Table struct {
	rows [][]string
}

// AddRow adds a row. Floating-point numbers are printed with three decimals, or none from 100.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			row[i] = formatNumber(f)
			continue
		}
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

func formatNumber(f float64) string {
	if f >= 100 {
		return fmt.Sprintf("%.0f", f)
	}
	return fmt.Sprintf("%.3f", f)
}

// String returns the table as text, one line per row.
func (t *Table) String() string {
	var width []int
	for _, row := range t.rows {
		for i, c := range row {
			if i == len(width) {
				width = append(width, 0)
			}
			width[i] = max(width[i], len(c))
		}
	}
	var b strings.Builder
	for _, row := range t.rows {
		b.WriteByte('\n')
		for i, c := range row {
			fmt.Fprintf(&b, "%-*s  ", width[i], c)
		}
	}
	return b.String()
}
