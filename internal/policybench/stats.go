// Package policybench provides queue models, generated traces and a virtual
// clock for the policy benchmarks of the decision packages.
package policybench

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Epoch is the virtual time at which every benchmark starts.
var Epoch = time.Unix(1_700_000_000, 0)

// Percentile returns the p-th percentile, 0 to 100, of values; 0 for none.
func Percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(p / 100 * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}

// Mean returns the mean of values; 0 for none.
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

// Table formats rows in aligned columns.
type Table struct {
	rows [][]string
}

// Row adds a row; numbers are printed with three significant decimals at most.
func (t *Table) Row(cells ...any) {
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

// String returns the table.
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
