package usage

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// BillingLine is the sum of the billed stages of one customer on one version or operation.
type BillingLine struct {
	Customer  string
	Version   string
	Service   string
	Operation string
	// Stages counts the stages that ran.
	Stages       int
	InputTokens  int
	OutputTokens int
	// Cost is in cost units.
	Cost float64
}

type lineKey struct{ customer, version, service, operation string }

// Totals sums up the batches of all processes. The billed sums do not depend on the
// order in which batches are added, or on how often.
type Totals struct {
	// preferred holds the record that counts for each stage.
	preferred map[stageID]api.UsageRecord
	// Duplicates is the number of records beyond the first one of a stage.
	Duplicates int
}

// NewTotals returns empty totals.
func NewTotals() *Totals { return &Totals{preferred: map[stageID]api.UsageRecord{}} }

// AddEncoded adds the JSON value of one usage object in the store. It returns an error
// when the value cannot be decoded.
func (t *Totals) AddEncoded(value []byte) error {
	var batch api.UsageBatch
	if err := json.Unmarshal(value, &batch); err != nil {
		return eris.Wrap(err, "usage batch cannot be decoded")
	}
	t.Add(batch)
	return nil
}

// Add adds one batch.
func (t *Totals) Add(batch api.UsageBatch) {
	for _, r := range batch.Records {
		id := stageID{r.Request, r.Stage}
		current, ok := t.preferred[id]
		if ok {
			t.Duplicates++
		}
		if !ok || isPreferred(r, current) {
			t.preferred[id] = r
		}
	}
}

// isPreferred reports whether record a counts instead of record b of the same stage.
// A proven run is preferred to an unproven one, then the record of the entry, which
// describes the delivered answer, to that of a sidecar, then the cheaper run, so that
// a customer never pays for a duplicate. The other fields make the order total.
func isPreferred(a, b api.UsageRecord) bool {
	if runStateRank(a.RunState) != runStateRank(b.RunState) {
		return runStateRank(a.RunState) > runStateRank(b.RunState)
	}
	if (a.Entry != "") != (b.Entry != "") {
		return a.Entry != ""
	}
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	if a.BackendServer != b.BackendServer {
		return a.BackendServer < b.BackendServer
	}
	if a.EndedAt != b.EndedAt {
		return a.EndedAt < b.EndedAt
	}
	return a.InputTokens+a.OutputTokens < b.InputTokens+b.OutputTokens
}

func runStateRank(s api.RunState) int {
	switch s {
	case api.RunStateRan:
		return 2
	case api.RunStateUnknown:
		return 1
	}
	return 0
}

// Record returns the record that counts for a stage, and false when there is none.
func (t *Totals) Record(request string, stage int) (api.UsageRecord, bool) {
	r, ok := t.preferred[stageID{request, stage}]
	return r, ok
}

// UnprovenStages returns the number of stages whose preferred record has run state unknown.
// They are reported but not billed.
func (t *Totals) UnprovenStages() int {
	n := 0
	for _, r := range t.preferred {
		if r.RunState == api.RunStateUnknown {
			n++
		}
	}
	return n
}

// BillingLines returns the sums of the billed stages by customer and version or operation,
// sorted by these.
func (t *Totals) BillingLines() []BillingLine {
	sums := map[lineKey]*BillingLine{}
	for _, id := range t.sortedIDs() {
		r := t.preferred[id]
		if r.RunState != api.RunStateRan {
			continue
		}
		k := lineKey{r.Customer, r.Version, r.Service, r.Operation}
		line, ok := sums[k]
		if !ok {
			line = &BillingLine{Customer: r.Customer, Version: r.Version, Service: r.Service, Operation: r.Operation}
			sums[k] = line
		}
		line.Stages++
		line.InputTokens += r.InputTokens
		line.OutputTokens += r.OutputTokens
		line.Cost += r.Cost
	}
	return sortedLines(sums)
}

// sortedIDs returns the stages in a fixed order, because the floating-point sum of the
// costs depends on the order.
func (t *Totals) sortedIDs() []stageID {
	ids := make([]stageID, 0, len(t.preferred))
	for id := range t.preferred {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].request != ids[j].request {
			return ids[i].request < ids[j].request
		}
		return ids[i].stage < ids[j].stage
	})
	return ids
}

func sortedLines(sums map[lineKey]*BillingLine) []BillingLine {
	out := make([]BillingLine, 0, len(sums))
	for _, line := range sums {
		out = append(out, *line)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.Customer+"\x00"+a.Version+"\x00"+a.Service+"\x00"+a.Operation < b.Customer+"\x00"+b.Version+"\x00"+b.Service+"\x00"+b.Operation
	})
	return out
}
