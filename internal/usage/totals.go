package usage

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// Line adds up the billed stages of one customer on one version or operation.
type Line struct {
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

// Totals adds up the batches of all processes. The result does not depend on
// the order in which batches are added or on how often.
type Totals struct {
	best map[stageID]api.UsageRecord
	// Duplicates counts records beyond the first of a stage.
	Duplicates int
}

// NewTotals returns empty totals.
func NewTotals() *Totals { return &Totals{best: map[stageID]api.UsageRecord{}} }

// AddValue adds the value of one usage object.
func (t *Totals) AddValue(value []byte) error {
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
		old, ok := t.best[id]
		if ok {
			t.Duplicates++
		}
		if !ok || preferred(r, old) {
			t.best[id] = r
		}
	}
}

// preferred orders the records of one stage: a run that is proven before one
// that is not, the entry's statement of the delivered answer before a sidecar's,
// then the cheaper run, so that a customer never pays for a duplicate.
func preferred(a, b api.UsageRecord) bool {
	if rank(a.RunState) != rank(b.RunState) {
		return rank(a.RunState) > rank(b.RunState)
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

func rank(s api.RunState) int {
	switch s {
	case api.RunStateRan:
		return 2
	case api.RunStateUnknown:
		return 1
	}
	return 0
}

// Record returns the record that counts for a stage.
func (t *Totals) Record(request string, stage int) (api.UsageRecord, bool) {
	r, ok := t.best[stageID{request, stage}]
	return r, ok
}

// Unproven returns how many stages have only records with run state unknown.
// They are listed, not billed.
func (t *Totals) Unproven() int {
	n := 0
	for _, r := range t.best {
		if r.RunState == api.RunStateUnknown {
			n++
		}
	}
	return n
}

// Lines returns the billed stages by customer and version or operation, sorted.
func (t *Totals) Lines() []Line {
	sums := map[lineKey]*Line{}
	for _, id := range t.sortedIDs() {
		r := t.best[id]
		if r.RunState != api.RunStateRan {
			continue
		}
		k := lineKey{r.Customer, r.Version, r.Service, r.Operation}
		line, ok := sums[k]
		if !ok {
			line = &Line{Customer: r.Customer, Version: r.Version, Service: r.Service, Operation: r.Operation}
			sums[k] = line
		}
		line.Stages++
		line.InputTokens += r.InputTokens
		line.OutputTokens += r.OutputTokens
		line.Cost += r.Cost
	}
	return sortedLines(sums)
}

// sortedIDs fixes the order of the float additions of Cost.
func (t *Totals) sortedIDs() []stageID {
	ids := make([]stageID, 0, len(t.best))
	for id := range t.best {
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

func sortedLines(sums map[lineKey]*Line) []Line {
	out := make([]Line, 0, len(sums))
	for _, line := range sums {
		out = append(out, *line)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.Customer+"\x00"+a.Version+"\x00"+a.Service+"\x00"+a.Operation < b.Customer+"\x00"+b.Version+"\x00"+b.Service+"\x00"+b.Operation
	})
	return out
}
