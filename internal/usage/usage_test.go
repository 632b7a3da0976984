package usage

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// TestMain fixes the seed of rapid, so that runs repeat; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

// process is an entry or a sidecar; a kill replaces its records.
type process struct {
	name        string
	incarnation int64
	buffer      *Buffer
	unconfirmed *Unconfirmed
}

// run is one stage that ran and the incarnations that hold its record.
type run struct {
	record  api.UsageRecord
	holders map[*process]int64
}

type usageWorld struct {
	t                *rapid.T
	now              time.Time
	entries          []*process
	sidecars         map[string]*process
	names            []string
	objects          map[string][]byte
	stored           map[string]bool
	runs             map[string]*run
	outage, loseAcks bool
	// calm ends the faults, so that the last pass has time for every record.
	calm        bool
	incarnation int64
}

func newUsageWorld(t *rapid.T) *usageWorld {
	w := &usageWorld{t: t, now: time.Unix(1_800_000_000, 0), sidecars: map[string]*process{}, objects: map[string][]byte{}, stored: map[string]bool{}, runs: map[string]*run{}}
	for i := range 2 {
		e := &process{name: fmt.Sprintf("entry-%d", i)}
		s := &process{name: fmt.Sprintf("sidecar-%d", i)}
		w.entries = append(w.entries, e)
		w.sidecars[s.name] = s
		w.names = append(w.names, s.name)
		w.startEntry(e)
		w.startSidecar(s)
	}
	return w
}

func (w *usageWorld) startEntry(p *process) {
	// Two processes share an incarnation now and then.
	w.incarnation += int64(rapid.IntRange(0, 1).Draw(w.t, "step"))
	p.incarnation++
	p.buffer = NewBuffer(w.incarnation, Options{})
}

func (w *usageWorld) startSidecar(p *process) {
	w.incarnation += int64(rapid.IntRange(0, 1).Draw(w.t, "step"))
	p.incarnation++
	p.unconfirmed = NewUnconfirmed(w.incarnation, 10*time.Second, Options{})
}

// serve runs a request, sometimes on two sidecars, and loses some of the reports.
func (w *usageWorld) serve(t *rapid.T) {
	id := fmt.Sprintf("r%d", len(w.runs))
	e := rapid.SampledFrom(w.entries).Draw(t, "entry")
	r := &run{record: api.UsageRecord{Request: id, Customer: "acme", RunState: api.RunStateRan, OutputTokens: 10, Cost: 1}, holders: map[*process]int64{}}
	w.runs[id] = r
	ran := w.names[:rapid.IntRange(1, 2).Draw(t, "hedges")]
	for _, name := range ran {
		rec := r.record
		rec.BackendServer = name
		if len(ran) == 2 && name == ran[1] {
			rec.Cost, rec.OutputTokens = 3, 30
		}
		assert.Assert(t, w.sidecars[name].unconfirmed.Add(w.now, rec) == nil)
		r.holders[w.sidecars[name]] = w.sidecars[name].incarnation
	}
	if rapid.IntRange(0, 3).Draw(t, "report lost") > 0 {
		rec := r.record
		rec.BackendServer, rec.Entry = ran[0], e.name
		assert.Assert(t, e.buffer.Add(w.now, rec, ran...) == nil)
		r.holders[e] = e.incarnation
	}
}

func (w *usageWorld) write(wr Write) Outcome {
	if w.outage {
		return Failed
	}
	fate := 5
	if !w.calm {
		fate = rapid.IntRange(0, 5).Draw(w.t, "fate")
	}
	if fate == 0 {
		return Ambiguous
	}
	if _, taken := w.objects[wr.ObjectKey]; taken {
		return Conflict
	}
	w.objects[wr.ObjectKey] = wr.Value
	totals := NewTotals()
	assert.NilError(w.t, totals.AddValue(wr.Value))
	for id := range totals.best {
		w.stored[id.request] = true
	}
	if fate == 1 {
		return Ambiguous
	}
	return Written
}

func (w *usageWorld) pass(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, e := range w.entries {
			for _, wr := range e.buffer.Flush(w.now) {
				for _, c := range e.buffer.WriteResult(w.now, wr.ObjectKey, w.write(wr)) {
					w.confirm(c)
				}
			}
		}
		for _, name := range w.names {
			u := w.sidecars[name].unconfirmed
			for _, wr := range u.Flush(w.now) {
				u.WriteResult(w.now, wr.ObjectKey, w.write(wr))
			}
		}
	}
}

func (w *usageWorld) confirm(c Confirmation) {
	if !w.stored[c.Confirm.Request] {
		w.t.Fatalf("%s is confirmed and not stored", c.Confirm.Request)
	}
	if !w.loseAcks {
		w.sidecars[c.Sidecar].unconfirmed.Confirm(c.Confirm)
	}
}

func (w *usageWorld) kill(t *rapid.T) {
	if rapid.Bool().Draw(t, "entry") {
		w.startEntry(rapid.SampledFrom(w.entries).Draw(t, "which"))
		return
	}
	w.startSidecar(w.sidecars[rapid.SampledFrom(w.names).Draw(t, "which")])
}

// check adds up the store and compares it with the runs.
func (w *usageWorld) check() {
	totals := NewTotals()
	for _, value := range w.objects {
		assert.NilError(w.t, totals.AddValue(value))
	}
	billed := 0
	for id, r := range w.runs {
		alive := w.stored[id]
		for p, incarnation := range r.holders {
			alive = alive || p.incarnation == incarnation
		}
		_, ok := totals.Record(id, 0)
		if alive && !ok {
			w.t.Fatalf("%s ran, its record was held, and it is not billed", id)
		}
		if ok {
			billed++
		}
	}
	stages := 0
	for _, line := range totals.Lines() {
		stages += line.Stages
	}
	assert.Equal(w.t, stages, billed)
}

// Guards against a run that is billed twice or not at all while a process lives
// that holds its record, under kills, outages, lost responses and equal incarnations.
func TestBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newUsageWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"serve": w.serve, "serve2": w.serve, "kill": w.kill,
			"pass":   func(t *rapid.T) { w.pass(rapid.IntRange(1, 8).Draw(t, "seconds")) },
			"outage": func(t *rapid.T) { w.outage = rapid.Bool().Draw(t, "outage") },
			"acks":   func(t *rapid.T) { w.loseAcks = rapid.Bool().Draw(t, "lost") },
		})
		w.outage, w.calm = false, true
		w.pass(200)
		w.check()
	})
}

func sample(n int) api.UsageRecord {
	return api.UsageRecord{
		Request: fmt.Sprintf("0190b8e2-7c1a-7%03x-8b1f-%012x", n%4096, n), Customer: "customer-" + fmt.Sprint(n%10), Class: "quick",
		Version: fmt.Sprintf("model-%d", n%37), BackendServer: fmt.Sprintf("kbh-a-%d", n%40), Entry: "entry-17",
		InputTokens: 900 + n%500, OutputTokens: 300 + n%200, Cost: 1.234 + float64(n), RunState: api.RunStateRan, EndedAt: 1_800_000_000_000 + n,
	}
}

// Guards against a record that the compact form changes.
func TestBatchHoldsRecords(t *testing.T) {
	b := NewBuffer(1, Options{})
	totals := NewTotals()
	for i := range 100 {
		assert.Assert(t, b.Add(time.Unix(0, 0), sample(i), "s1", "s2") == nil)
	}
	writes := b.Drain(time.Unix(1, 0))
	assert.Equal(t, len(writes), 1)
	assert.Equal(t, writes[0].ObjectKey, "usage/1/1")
	assert.NilError(t, totals.AddValue(writes[0].Value))
	for i := range 100 {
		got, _ := totals.Record(sample(i).Request, 0)
		assert.DeepEqual(t, got, sample(i))
	}
	assert.Equal(t, len(b.WriteResult(time.Unix(1, 0), "usage/1/1", Written)), 200)
	assert.Equal(t, b.Bytes(), 0)
}

// Guards against an accepted request whose record finds no room, and against
// memory beyond the bound in a long outage. Prints how long an outage fits.
func TestPolicyOutage(t *testing.T) {
	const rate = 4800.0 / 370 // requests/s of one entry at the target
	b := NewBuffer(1, Options{})
	now := time.Unix(0, 0)
	n, largest := 0, 0
	const concurrent = 200
	for range concurrent {
		assert.Assert(t, b.Reserve() == nil)
	}
	for b.Reserve() == nil {
		assert.Assert(t, b.Add(now, sample(n), "kbh-a-1") == nil)
		n++
		if n%1000 != 0 {
			continue
		}
		now = now.Add(77 * time.Second) // 1,000 records at the rate
		for _, w := range b.Flush(now) {
			largest = max(largest, len(w.Value))
			b.WriteResult(now, w.ObjectKey, Failed)
		}
	}
	for i := range concurrent {
		assert.Assert(t, b.Add(now, sample(n+i), "kbh-a-1") == nil, "a reserved record was refused")
	}
	assert.Assert(t, b.Bytes() <= 8<<20)
	for !b.Full() {
		assert.Assert(t, b.Add(now, sample(n)) == nil)
	}
	err := b.Add(now, sample(0))
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	assert.Equal(t, err.RunState, api.RunStateNotRun)
	t.Logf("8 MiB hold %d records of %d bytes; at %.1f records/s that is %.2f h; largest batch %d KB",
		n, b.Bytes()/n, rate, float64(n)/rate/3600, largest>>10)
	assert.Assert(t, largest < 1<<20)
}

// Guards against a total that depends on the order of the batches, and against
// billing the second run of a hedge.
func TestTotalsPreferDeliveredAnswer(t *testing.T) {
	delivered := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateRan, Entry: "e", Cost: 2}
	hedge := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateRan, Cost: 1}
	unknown := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateUnknown, Entry: "e", Cost: 9}
	for _, order := range [][]api.UsageRecord{{delivered, hedge, unknown}, {unknown, hedge, delivered}, {hedge, delivered, unknown}} {
		totals := NewTotals()
		for _, r := range order {
			totals.Add(api.UsageBatch{Records: []api.UsageRecord{r}})
		}
		lines := totals.Lines()
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Cost, 2.0)
		assert.Equal(t, totals.Duplicates, 2)
	}
}

// Guards against a fleet whose usage batches use up the store's writes.
func TestIntervalsBoundWrites(t *testing.T) {
	flush, confirm := Intervals(370, time.Second, 10*time.Second)
	assert.Assert(t, 370/flush.Seconds() <= flushBudget)
	assert.Assert(t, confirm >= 2*flush)
	flush, _ = Intervals(3, time.Second, 10*time.Second)
	assert.Equal(t, flush, time.Second)
}

// Guards against sidecars that write what their entry is about to write, because
// the entries have become more while the record was held.
func TestConfirmWaitGrowsForHeldRecords(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	u := NewUnconfirmed(1, 10*time.Second, Options{})
	assert.Assert(t, u.Reserve() == nil)
	assert.Assert(t, u.Add(now, api.UsageRecord{Request: "r", RunState: api.RunStateRan}) == nil)
	_, confirm := Intervals(370, time.Second, 10*time.Second)
	u.SetConfirmAfter(confirm)
	u.Flush(now.Add(confirm - time.Second))
	assert.Equal(t, len(u.held), 1)
	u.Flush(now.Add(confirm))
	assert.Equal(t, len(u.held), 0)
}
