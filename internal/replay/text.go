package replay

import (
	"fmt"
	"io"
	"strings"

	"github.com/borageflow/borageflow/api"
)

// WriteText writes a verdict as text: a summary line, then one line for each violated
// outcome.
func WriteText(w io.Writer, v api.ReplayVerdict) error {
	var b strings.Builder
	result := "met"
	if !v.Met {
		result = "broken"
	}
	fmt.Fprintf(&b, "%s: %d of %d outcomes broken over %d requests\n", result, len(v.Broken), v.Checked, v.Requests)
	for _, broken := range v.Broken {
		fmt.Fprintf(&b, "  %s: stated %s, seen %s", broken.Outcome, broken.Stated, broken.Seen)
		if len(broken.Examples) > 0 {
			fmt.Fprintf(&b, " (such as %s)", strings.Join(broken.Examples, ", "))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}
