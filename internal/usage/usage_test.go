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

// TestMain sets a fixed seed for rapid unless -rapid.seed is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

// process is an entry or a sidecar. A restart discards its records.
type process struct {
	name        string
	incarnation int64
	buffer      *Buffer
	unconfirmed *UnconfirmedRecords
}

// stageRun is a stage that ran, with the incarnations of the processes that hold its
// record.
type stageRun struct {
	record  api.UsageRecord
	holders map[*process]int64
}

// simulation runs entries, sidecars and a store with faults.
type simulation struct {
	t                                   *rapid.T
	now                                 time.Time
	entries                             []*process
	sidecars                            map[string]*process
	sidecarNames                        []string
	objects                             map[string][]byte
	stored                              map[string]bool
	runs                                map[string]*stageRun
	storeUnavailable, loseConfirmations bool
	// faultsDisabled is set for the end of a run, so that every record is stored.
	faultsDisabled bool
	incarnation    int64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_800_000_000, 0), sidecars: map[string]*process{}, objects: map[string][]byte{}, stored: map[string]bool{}, runs: map[string]*stageRun{}}
	for i := range 2 {
		e := &process{name: fmt.Sprintf("entry-%d", i)}
		s := &process{name: fmt.Sprintf("sidecar-%d", i)}
		sim.entries = append(sim.entries, e)
		sim.sidecars[s.name] = s
		sim.sidecarNames = append(sim.sidecarNames, s.name)
		sim.startEntry(e)
		sim.startSidecar(s)
	}
	return sim
}

func (sim *simulation) startEntry(p *process) {
	// Some processes get the same incarnation.
	sim.incarnation += int64(rapid.IntRange(0, 1).Draw(sim.t, "step"))
	p.incarnation++
	p.buffer = NewBuffer(sim.incarnation, Options{})
}

func (sim *simulation) startSidecar(p *process) {
	sim.incarnation += int64(rapid.IntRange(0, 1).Draw(sim.t, "step"))
	p.incarnation++
	p.unconfirmed = NewUnconfirmedRecords(sim.incarnation, 10*time.Second, Options{})
}

// runRequest runs a request on one or two sidecars. In some runs the entry gets no
// record.
func (sim *simulation) runRequest(t *rapid.T) {
	id := fmt.Sprintf("r%d", len(sim.runs))
	e := rapid.SampledFrom(sim.entries).Draw(t, "entry")
	r := &stageRun{record: api.UsageRecord{Request: id, Customer: "acme", RunState: api.RunStateRan, OutputTokens: 10, Cost: 1}, holders: map[*process]int64{}}
	sim.runs[id] = r
	usedSidecars := sim.sidecarNames[:rapid.IntRange(1, 2).Draw(t, "hedges")]
	for _, name := range usedSidecars {
		rec := r.record
		rec.BackendServer = name
		if len(usedSidecars) == 2 && name == usedSidecars[1] {
			rec.Cost, rec.OutputTokens = 3, 30
		}
		assert.Assert(t, sim.sidecars[name].unconfirmed.Add(sim.now, rec) == nil)
		r.holders[sim.sidecars[name]] = sim.sidecars[name].incarnation
	}
	if rapid.IntRange(0, 3).Draw(t, "report lost") > 0 {
		rec := r.record
		rec.BackendServer, rec.Entry = usedSidecars[0], e.name
		assert.Assert(t, e.buffer.Add(sim.now, rec, usedSidecars...) == nil)
		r.holders[e] = e.incarnation
	}
}

func (sim *simulation) write(wr BatchWrite) WriteOutcome {
	if sim.storeUnavailable {
		return WriteFailed
	}
	// 0 loses the write, 1 loses its response, and other values are no fault.
	fault := 5
	if !sim.faultsDisabled {
		fault = rapid.IntRange(0, 5).Draw(sim.t, "fate")
	}
	if fault == 0 {
		return WriteAmbiguous
	}
	if _, taken := sim.objects[wr.ObjectKey]; taken {
		return WriteConflict
	}
	sim.objects[wr.ObjectKey] = wr.Value
	totals := NewTotals()
	assert.NilError(sim.t, totals.AddEncoded(wr.Value))
	for id := range totals.preferred {
		sim.stored[id.request] = true
	}
	if fault == 1 {
		return WriteAmbiguous
	}
	return WriteSucceeded
}

func (sim *simulation) advance(seconds int) {
	for range seconds {
		sim.now = sim.now.Add(time.Second)
		for _, e := range sim.entries {
			for _, wr := range e.buffer.Flush(sim.now) {
				for _, c := range e.buffer.HandleWriteResult(sim.now, wr.ObjectKey, sim.write(wr)) {
					sim.confirm(c)
				}
			}
		}
		for _, name := range sim.sidecarNames {
			u := sim.sidecars[name].unconfirmed
			for _, wr := range u.Flush(sim.now) {
				u.HandleWriteResult(sim.now, wr.ObjectKey, sim.write(wr))
			}
		}
	}
}

func (sim *simulation) confirm(c Confirmation) {
	if !sim.stored[c.Params.Request] {
		sim.t.Fatalf("request %s is confirmed but not stored", c.Params.Request)
	}
	if !sim.loseConfirmations {
		sim.sidecars[c.Sidecar].unconfirmed.Confirm(c.Params)
	}
}

func (sim *simulation) restartProcess(t *rapid.T) {
	if rapid.Bool().Draw(t, "entry") {
		sim.startEntry(rapid.SampledFrom(sim.entries).Draw(t, "which"))
		return
	}
	sim.startSidecar(sim.sidecars[rapid.SampledFrom(sim.sidecarNames).Draw(t, "which")])
}

// checkBilling compares the totals of the stored batches with the stages that ran.
func (sim *simulation) checkBilling() {
	totals := NewTotals()
	for _, value := range sim.objects {
		assert.NilError(sim.t, totals.AddEncoded(value))
	}
	billed := 0
	for id, r := range sim.runs {
		isRecordKept := sim.stored[id]
		for p, incarnation := range r.holders {
			isRecordKept = isRecordKept || p.incarnation == incarnation
		}
		_, ok := totals.Record(id, 0)
		if isRecordKept && !ok {
			sim.t.Fatalf("request %s ran and a live process held its record, but it is not billed", id)
		}
		if ok {
			billed++
		}
	}
	stages := 0
	for _, line := range totals.BillingLines() {
		stages += line.Stages
	}
	assert.Equal(sim.t, stages, billed)
}

// Guards against a stage that is billed twice, or not at all although a process with
// its record is alive, under restarts, store outages, lost responses and equal
// incarnations.
func TestBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"serve": sim.runRequest, "serve2": sim.runRequest, "kill": sim.restartProcess,
			"pass":   func(t *rapid.T) { sim.advance(rapid.IntRange(1, 8).Draw(t, "seconds")) },
			"outage": func(t *rapid.T) { sim.storeUnavailable = rapid.Bool().Draw(t, "outage") },
			"acks":   func(t *rapid.T) { sim.loseConfirmations = rapid.Bool().Draw(t, "lost") },
		})
		sim.storeUnavailable, sim.faultsDisabled = false, true
		sim.advance(200)
		sim.checkBilling()
	})
}

func sampleRecord(n int) api.UsageRecord {
	return api.UsageRecord{
		Request: fmt.Sprintf("0190b8e2-7c1a-7%03x-8b1f-%012x", n%4096, n), Customer: "customer-" + fmt.Sprint(n%10), Class: "quick",
		Version: fmt.Sprintf("model-%d", n%37), BackendServer: fmt.Sprintf("kbh-a-%d", n%40), Entry: "entry-17",
		InputTokens: 900 + n%500, OutputTokens: 300 + n%200, Cost: 1.234 + float64(n), RunState: api.RunStateRan, EndedAt: 1_800_000_000_000 + n,
	}
}

// Guards against records that change when they are encoded and decoded.
func TestBatchEncodingKeepsRecords(t *testing.T) {
	b := NewBuffer(1, Options{})
	totals := NewTotals()
	for i := range 100 {
		assert.Assert(t, b.Add(time.Unix(0, 0), sampleRecord(i), "s1", "s2") == nil)
	}
	writes := b.Drain(time.Unix(1, 0))
	assert.Equal(t, len(writes), 1)
	assert.Equal(t, writes[0].ObjectKey, "usage/1/1")
	assert.NilError(t, totals.AddEncoded(writes[0].Value))
	for i := range 100 {
		got, _ := totals.Record(sampleRecord(i).Request, 0)
		assert.DeepEqual(t, got, sampleRecord(i))
	}
	assert.Equal(t, len(b.HandleWriteResult(time.Unix(1, 0), "usage/1/1", WriteSucceeded)), 200)
	assert.Equal(t, b.Bytes(), 0)
}

// Guards against an accepted request whose record does not fit into the buffer, and
// against more memory than MaxBytes in a long store outage. Logs how long an outage
// the buffer can hold.
func TestPolicyOutage(t *testing.T) {
	const requestsPerSecond = 4800.0 / 370 // of one entry at the target load
	b := NewBuffer(1, Options{})
	now := time.Unix(0, 0)
	n, largestBatch := 0, 0
	const concurrentRequests = 200
	for range concurrentRequests {
		assert.Assert(t, b.Reserve() == nil)
	}
	for b.Reserve() == nil {
		assert.Assert(t, b.Add(now, sampleRecord(n), "kbh-a-1") == nil)
		n++
		if n%1000 != 0 {
			continue
		}
		now = now.Add(77 * time.Second) // the time of 1,000 records at that rate
		for _, w := range b.Flush(now) {
			largestBatch = max(largestBatch, len(w.Value))
			b.HandleWriteResult(now, w.ObjectKey, WriteFailed)
		}
	}
	for i := range concurrentRequests {
		assert.Assert(t, b.Add(now, sampleRecord(n+i), "kbh-a-1") == nil, "a record with a reservation was refused")
	}
	assert.Assert(t, b.Bytes() <= 8<<20)
	for !b.Full() {
		assert.Assert(t, b.Add(now, sampleRecord(n)) == nil)
	}
	err := b.Add(now, sampleRecord(0))
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	assert.Equal(t, err.RunState, api.RunStateNotRun)
	t.Logf("8 MiB hold %d records of %d bytes; at %.1f records/s that is %.2f h; largest batch %d KB",
		n, b.Bytes()/n, requestsPerSecond, float64(n)/requestsPerSecond/3600, largestBatch>>10)
	assert.Assert(t, largestBatch < 1<<20)
}

// Guards against totals that depend on the order of the batches, and against billing
// a hedge whose answer was not delivered.
func TestTotalsPreferDeliveredAnswer(t *testing.T) {
	delivered := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateRan, Entry: "e", Cost: 2}
	hedge := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateRan, Cost: 1}
	unknown := api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateUnknown, Entry: "e", Cost: 9}
	for _, order := range [][]api.UsageRecord{{delivered, hedge, unknown}, {unknown, hedge, delivered}, {hedge, delivered, unknown}} {
		totals := NewTotals()
		for _, r := range order {
			totals.Add(api.UsageBatch{Records: []api.UsageRecord{r}})
		}
		lines := totals.BillingLines()
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Cost, 2.0)
		assert.Equal(t, totals.Duplicates, 2)
	}
}

// Guards against flush intervals at which the usage batches of a large fleet take more
// than their share of the store's writes.
func TestIntervalsBoundWrites(t *testing.T) {
	flush, confirm := ScaleIntervals(370, time.Second, 10*time.Second)
	assert.Assert(t, 370/flush.Seconds() <= maxBatchesPerSecond)
	assert.Assert(t, confirm >= 2*flush)
	flush, _ = ScaleIntervals(3, time.Second, 10*time.Second)
	assert.Equal(t, flush, time.Second)
}

// Guards against sidecars that write a record which their entry is about to write,
// because the flush interval grew with the number of entries while the sidecar held
// the record.
func TestConfirmTimeoutGrowsForUnconfirmedRecords(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	u := NewUnconfirmedRecords(1, 10*time.Second, Options{})
	assert.Assert(t, u.Reserve() == nil)
	assert.Assert(t, u.Add(now, api.UsageRecord{Request: "r", RunState: api.RunStateRan}) == nil)
	_, confirm := ScaleIntervals(370, time.Second, 10*time.Second)
	u.SetConfirmTimeout(confirm)
	u.Flush(now.Add(confirm - time.Second))
	assert.Equal(t, len(u.unconfirmed), 1)
	u.Flush(now.Add(confirm))
	assert.Equal(t, len(u.unconfirmed), 0)
}
