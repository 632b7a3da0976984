package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// model plays requests of several gateways at workers in virtual time. Its workers end on fatal parts,
// and on their own.
type model struct {
	gateways, workers int
	// perSecond is the rate of all requests, fatalShare that of those with one of fatalParts parts.
	perSecond, fatalShare float64
	fatalParts            int
	// turnsFatalAt is when the fatal parts begin to end workers. Before that they are answered; 0 if
	// they come from second 4 on only.
	turnsFatalAt time.Duration
	// crashesPerMinute is the share of the workers that end on their own in a minute, massCrash that
	// of those that end at one moment every ten seconds.
	crashesPerMinute, massCrash float64
	length                      time.Duration
	seed                        uint64
	// maxRecords bounds the records of one message, modelMaxRecords if 0.
	maxRecords int
	// repeatsCut is set if callers repeat requests that were cut, up to three times each.
	repeatsCut bool

	rng      *rand.Rand
	trackers []*Tracker
	relays   []*Ledger
	cursors  []modelCursor
	nodes    []*modelWorker
	runs     []*modelRun
	turns    []map[Part]time.Duration
	repeats  []modelRepeat
	// repeatRNG draws what concerns repeats, so that the other draws are those of a play without them.
	repeatRNG *rand.Rand
	requests  uint64
	started   int
	out       modelResult
}

type modelWorker struct {
	name string
	upAt time.Duration
}

// modelRun is a request on a worker.
type modelRun struct {
	gateway           int
	worker            *modelWorker
	name              string
	ids               []uint64
	whole             uint64
	repeated          int
	begunAt, finishAt time.Duration
	fatalAt           time.Duration
}

// modelRepeat is a request that its caller sends again, at any gateway.
type modelRepeat struct {
	at  time.Duration
	run *modelRun
}

type modelResult struct {
	// ends is the number of workers that ended on a fatal part, late that of those later than 3 s
	// after the fifth one of a part.
	ends, late int
	// condemnedSound is the number of sound parts that were condemned, stillCondemned that of those that are so
	// at a gateway at the end, and sound and refused those of sound requests.
	condemnedSound, stillCondemned, sound, refused int
	// condemnedWholes is the number of whole requests that were condemned; none of them is fatal by itself.
	condemnedWholes int
	lastEnd         time.Duration
}

const (
	// waitingWeight is the accusation of a request whose answer had not begun, as in package gateway.
	waitingWeight = 0.75
	modelStep     = 10 * time.Millisecond
	modelExchange = 300 * time.Millisecond
	modelRestart  = 3300 * time.Millisecond
	// firstFatalID is above the IDs of sound parts, and firstWholeID above those of parts.
	firstFatalID = uint64(1) << 40
	firstWholeID = uint64(1) << 50
)

func (m *model) run() modelResult {
	m.rng, m.repeatRNG = rand.New(rand.NewPCG(m.seed, 7)), rand.New(rand.NewPCG(m.seed, 8))
	for i := range m.gateways {
		tracker := NewTracker(fmt.Sprint("g", i), time.UnixMilli(0))
		tracker.SetWorkers(0, testService, m.workers, []string{"v1"})
		m.trackers = append(m.trackers, tracker)
		tracker.SetGateways(m.gateways)
		m.turns = append(m.turns, map[Part]time.Duration{})
		m.cursors = append(m.cursors, modelCursor{next: time.Duration(m.rng.Float64() * float64(modelExchange))})
	}
	for range 3 {
		m.relays = append(m.relays, NewLedger(0))
	}
	for range m.workers {
		m.nodes = append(m.nodes, m.newWorker(0))
	}
	sound := map[Part]bool{}
	endsOf := map[uint64][]time.Duration{}
	for now := time.Duration(0); now < m.length; now += modelStep {
		for range m.poisson(m.perSecond * modelStep.Seconds()) {
			m.arrive(now)
		}
		m.repeat(now)
		m.crash(now)
		m.finish(now, endsOf)
		m.exchange(now, sound)
	}
	for part := range sound {
		switch {
		case part.ID < firstFatalID:
			m.out.condemnedSound++
		case part.ID >= firstWholeID:
			m.out.condemnedWholes++
		}
	}
	m.out.stillCondemned = m.countSoundVerdicts()
	for _, times := range endsOf {
		m.out.ends += len(times)
		m.out.lastEnd = max(m.out.lastEnd, times[len(times)-1])
		for i, at := range times {
			if i >= 5 && at-times[4] > 3*time.Second {
				m.out.late++
			}
		}
	}
	return m.out
}

// countSoundVerdicts returns the number of sound parts that a gateway refuses now.
func (m *model) countSoundVerdicts() int {
	refused := map[Part]bool{}
	for _, t := range m.trackers {
		for _, v := range t.Verdicts() {
			refused[v.Part] = v.Part.ID < firstFatalID || refused[v.Part]
		}
	}
	n := 0
	for _, isSound := range refused {
		if isSound {
			n++
		}
	}
	return n
}

func (m *model) newWorker(upAt time.Duration) *modelWorker {
	m.started++
	return &modelWorker{fmt.Sprint("w", m.started), upAt}
}

func (m *model) poisson(mean float64) int {
	n := 0
	for mean -= m.rng.ExpFloat64(); mean > 0; mean -= m.rng.ExpFloat64() {
		n++
	}
	return n
}

// arrive sends a request. Its first part is one of 12, the second one of 200, and the next one fatal or
// missing.
func (m *model) arrive(now time.Duration) {
	g := m.rng.IntN(m.gateways)
	first := m.rng.Uint64N(12)
	ids := []uint64{first, 1000 + first*100 + m.rng.Uint64N(17)}
	hasFatal := (now > 4*time.Second || m.turnsFatalAt > 0) && m.rng.Float64() < m.fatalShare
	if hasFatal {
		ids = append(ids, firstFatalID+m.rng.Uint64N(uint64(m.fatalParts)))
	}
	m.requests++
	m.send(now, &modelRun{gateway: g, ids: ids, whole: firstWholeID + m.requests})
}

// repeat sends the requests again whose time has come.
func (m *model) repeat(now time.Duration) {
	due := m.repeats
	m.repeats = nil
	for _, r := range due {
		if r.at > now {
			m.repeats = append(m.repeats, r)
			continue
		}
		m.send(now, &modelRun{gateway: m.repeatRNG.IntN(m.gateways), ids: r.run.ids, whole: r.run.whole, repeated: r.run.repeated + 1})
	}
}

// send sends a request at its gateway, unless that refuses it.
func (m *model) send(now time.Duration, r *modelRun) {
	g := r.gateway
	isFatal := len(r.ids) > 2 && now >= m.turnsFatalAt
	if !isFatal {
		m.out.sound++
	}
	identities := append(slices.Clone(r.ids), r.whole)
	d := m.trackers[g].Decide(now, testService, identities)
	if d.Action == Refuse || d.Action == SendAlone && !m.hasTurn(now, g, d.Part) {
		if !isFatal {
			m.out.refused++
		}
		return
	}
	worker := m.nodes[m.rng.IntN(len(m.nodes))]
	if worker.upAt > now {
		return // the connection is refused; the caller comes back
	}
	begunAt := now + 80*time.Millisecond + time.Duration(m.rng.ExpFloat64()*float64(60*time.Millisecond))
	r.worker, r.name, r.begunAt = worker, worker.name, begunAt
	r.finishAt = begunAt + time.Duration(m.rng.ExpFloat64()*float64(700*time.Millisecond))
	if isFatal {
		r.fatalAt = begunAt + 20*time.Millisecond + time.Duration(m.rng.Float64()*float64(100*time.Millisecond))
		r.finishAt = r.fatalAt + time.Hour
	}
	m.runs = append(m.runs, r)
}

// hasTurn reports whether a request with a suspected part may go. It is drawn as in package gateway.
func (m *model) hasTurn(now time.Duration, g int, part Part) bool {
	at, ok := m.turns[g][part]
	if !ok {
		at = now + time.Duration(m.rng.Float64()*float64(m.gateways)*float64(300*time.Millisecond))
		m.turns[g][part] = at
	}
	if now < at {
		return false
	}
	delete(m.turns[g], part)
	return true
}

// crash ends workers that end on their own.
func (m *model) crash(now time.Duration) {
	chance := m.crashesPerMinute * modelStep.Seconds() / 60
	if m.massCrash > 0 && now%(10*time.Second) == 5*time.Second {
		chance = m.massCrash
	}
	for i, w := range m.nodes {
		if chance > 0 && w.upAt <= now && m.rng.Float64() < chance {
			m.end(now, i)
		}
	}
}

// end ends a worker, under which its requests break off.
func (m *model) end(now time.Duration, i int) {
	w := m.nodes[i]
	m.nodes[i] = m.newWorker(now + modelRestart)
	m.runs = slices.DeleteFunc(m.runs, func(r *modelRun) bool {
		if r.worker != w {
			return false
		}
		weight, wholeWeight := Weight(now-r.begunAt), WholeWeight(now-r.begunAt)
		if now < r.begunAt {
			weight, wholeWeight = waitingWeight, waitingWeight
		}
		m.trackers[r.gateway].RecordEnd(now, WorkerEnd{Service: testService, Version: "v1", Worker: r.name, IDs: r.ids, Whole: r.whole, Weight: weight, WholeWeight: wholeWeight})
		if m.repeatsCut && r.fatalAt == 0 && r.repeated < 3 {
			m.repeats = append(m.repeats, modelRepeat{now + 100*time.Millisecond + time.Duration(m.repeatRNG.Float64()*float64(time.Second)), r})
		}
		return true
	})
}

// finish ends the runs that are over, and the workers under fatal ones.
func (m *model) finish(now time.Duration, endsOf map[uint64][]time.Duration) {
	for i := 0; i < len(m.runs); i++ {
		r := m.runs[i]
		if r.fatalAt > 0 && now >= r.fatalAt {
			endsOf[r.ids[2]] = append(endsOf[r.ids[2]], now)
			m.end(now, slices.Index(m.nodes, r.worker))
			i = -1
		}
	}
	m.runs = slices.DeleteFunc(m.runs, func(r *modelRun) bool {
		if now < r.finishAt {
			return false
		}
		m.trackers[r.gateway].RecordFinished(now, r.begunAt, testService, r.ids)
		m.trackers[r.gateway].RecordWholeFinished(now, r.begunAt, Part{testService, r.whole})
		return true
	})
}

// modelCursor is how far a gateway and its relay have read each other's records, and when they exchange
// next.
type modelCursor struct {
	next       time.Duration
	sent, read int64
}

// modelMaxRecords bounds the records of one message. It is a quarter of the bound of package news, so that
// evidence is later than in a fleet.
const modelMaxRecords = 64

// exchange exchanges the records of each gateway whose time has come with one of three relays, and those
// of the relays among each other.
func (m *model) exchange(now time.Duration, condemned map[Part]bool) {
	limit := cmp.Or(m.maxRecords, modelMaxRecords)
	for i, t := range m.trackers {
		c := &m.cursors[i]
		if now < c.next {
			continue
		}
		c.next = now + modelExchange
		relay := m.relays[i%len(m.relays)]
		var records []Record
		records, c.sent = t.Changes(c.sent, limit, NoSource)
		for _, r := range records {
			relay.Merge(NoSource, r)
		}
		records, c.read = relay.ChangedSince(c.read, limit, NoSource)
		t.Merge(now, NoSource, records)
		t.Tick(now)
		for _, v := range t.Verdicts() {
			condemned[v.Part] = true
		}
	}
	if now%modelExchange == 0 {
		for i, from := range m.relays {
			records, _ := from.ChangedSince(0, 1<<20, NoSource)
			for _, r := range records {
				m.relays[(i+1)%len(m.relays)].Merge(NoSource, r)
				m.relays[(i+2)%len(m.relays)].Merge(NoSource, r)
			}
		}
	}
}
