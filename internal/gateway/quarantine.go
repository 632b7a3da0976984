package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/news"
	"github.com/borageflow/borageflow/internal/quarantine"
)

const (
	// aloneSlot is the time that one request with a suspected part takes until all gateways know
	// how it ended: to the beginning of its answer, and an exchange with a relay.
	aloneSlot = 300 * time.Millisecond
	// probationSlot is that time for a part on probation. It leaves a gateway whose relay has just
	// restarted the time to learn of an end.
	probationSlot = 3 * time.Second
)

// quarantineGuard keeps the requests of a gateway from workers that would end under them. It owns the
// lock around a quarantine.Tracker.
type quarantineGuard struct {
	log     *zap.Logger
	metrics *gatewayMetrics

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// turns holds the turns of suspected requests that wait or are on their way.
	turns map[quarantine.Part]*aloneTurn
	// pending holds the attempts whose answers have not begun.
	pending map[*attempt]*request
	// pendingWorkers counts them by worker.
	pendingWorkers map[string]*pendingWorker
	ends           endFinder
	// gateways is the number of gateways that exchange what they know.
	gateways int
	// cursors holds how far the records are exchanged with each relay.
	cursors map[string]*news.QuarantineCursor
	writer  *condemnationWriter
}

// pendingWorker counts the attempts of this gateway at a worker whose answers have not begun. sharedAt
// is when there was last more than one.
type pendingWorker struct {
	attempts int
	sharedAt time.Time
}

// aloneTurn is when the next request with a suspected part may go, and whether one is on its way.
type aloneTurn struct {
	at    time.Time
	taken bool
}

func newQuarantineGuard(origin string, isRelay bool, m *gatewayMetrics, log *zap.Logger) *quarantineGuard {
	q := &quarantineGuard{
		log: log, metrics: m, tracker: quarantine.NewTracker(origin, time.Now().Add(-sinceBoot())),
		turns: map[quarantine.Part]*aloneTurn{}, pending: map[*attempt]*request{}, pendingWorkers: map[string]*pendingWorker{}, ends: newEndFinder(), gateways: 1, cursors: map[string]*news.QuarantineCursor{}, writer: newCondemnationWriter(isRelay),
	}
	m.set.NewGauge("borageflow_gateway_condemned_parts", func() float64 { return float64(len(q.condemnations())) })
	m.set.NewGauge("borageflow_gateway_dropped_verdicts", func() float64 { return float64(q.droppedVerdicts()) })
	return q
}

// condemnations returns the condemnations in force and those whose parts are on probation.
func (q *quarantineGuard) condemnations() []quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Verdicts()
}

// droppedVerdicts returns how many verdicts made room for later ones.
func (q *quarantineGuard) droppedVerdicts() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.DroppedVerdicts()
}

func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }

func (q *quarantineGuard) decide(service string, parts []uint64) quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Decide(sinceBoot(), service, parts)
}

// takeAlone reports whether a suspected request may take a turn now, and if so makes it the one on its
// way. Each gateway draws when its next one may go, so that over all gateways about one goes in each
// aloneSlot, or probationSlot.
func (q *quarantineGuard) takeAlone(now time.Time, key quarantine.Part, onProbation bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	turn := q.turns[key]
	if turn == nil {
		slot := aloneSlot
		if onProbation {
			slot = probationSlot
		}
		turn = &aloneTurn{at: now}
		if q.gateways > 1 {
			turn.at = now.Add(time.Duration(rand.Float64() * float64(q.gateways) * float64(slot))) //nolint:gosec // spreads requests
		}
		q.turns[key] = turn
	}
	if turn.taken || now.Before(turn.at) {
		return false
	}
	turn.taken = true
	return true
}

func (q *quarantineGuard) releaseAlone(key quarantine.Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.turns, key)
}

// recordPending records that an attempt was sent. Its connection is closed if a part of its request is
// condemned before its answer begins: it waits at the worker and would end it.
func (q *quarantineGuard) recordPending(r *request, a *attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[a] = r
	q.beginWait(a)
	w := q.pendingWorkers[a.worker.ID]
	if w == nil {
		w = &pendingWorker{}
		q.pendingWorkers[a.worker.ID] = w
	}
	if w.attempts++; w.attempts > 1 {
		w.sharedAt = time.Now()
	}
}

// recordBegun records that the answer of an attempt has begun, or that the attempt has ended before.
func (q *quarantineGuard) recordBegun(a *attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, a)
	w := q.pendingWorkers[a.worker.ID]
	if w.attempts > 1 {
		w.sharedAt = time.Now()
	}
	a.wasAlone = w.sharedAt.Before(a.started)
	if w.attempts--; w.attempts == 0 {
		delete(q.pendingWorkers, a.worker.ID)
	}
}

// changesFor returns the records that the relay at an address may lack, the version up to which they
// reach, and that up to which the records of the relay were read.
func (q *quarantineGuard) changesFor(address string) (records []quarantine.Record, sent, read int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.cursors[address]
	if c == nil {
		c = &news.QuarantineCursor{}
		q.cursors[address] = c
	}
	records, sent = q.tracker.Changes(c.Sent, news.MaxQuarantineRecords, quarantine.Source(c.Run)) //nolint:gosec // identifies the run
	return records, sent, c.Read
}

// applyPeerReport applies the records in an answer of the relay at an address.
func (q *quarantineGuard) applyPeerReport(address string, sent int64, got news.PeerReport) {
	q.mu.Lock()
	q.gateways = got.Gateways
	q.tracker.SetGateways(got.Gateways)
	q.cursors[address].Advance(got.QuarantineRun, got.QuarantineRead, sent)
	verdicts := q.tracker.Merge(sinceBoot(), quarantine.Source(got.QuarantineRun), got.Quarantine) //nolint:gosec // identifies the run
	q.mu.Unlock()
	q.apply(verdicts, "known from another gateway, or from what others know")
}

// recordSurvival records that the prompt of a request did not end its worker, which began with it at begunAt.
func (q *quarantineGuard) recordSurvival(r *request, begunAt time.Time) {
	if !r.hasPrompt() {
		return
	}
	q.mu.Lock()
	now := sinceBoot()
	cleared := q.tracker.RecordFinished(now, now-time.Since(begunAt), r.service, r.parts)
	q.mu.Unlock()
	q.logVerdicts(cleared, "a worker answered a request with it")
}

// recordWholeFinished records that a worker, which began with a request at begunAt, has answered it.
func (q *quarantineGuard) recordWholeFinished(r *request, begunAt time.Time) {
	q.mu.Lock()
	now := sinceBoot()
	begun := now - time.Since(begunAt)
	var cleared []quarantine.Verdict
	if r.hasPrompt() {
		cleared = q.tracker.RecordWholeFinished(now, begun, quarantine.Part{Service: r.service, ID: r.whole})
	} else {
		cleared = q.tracker.RecordFinished(now, begun, r.service, []uint64{r.whole})
	}
	q.mu.Unlock()
	q.logVerdicts(cleared, "a worker answered the request")
}

// setWorkers sets the usable workers. find returns a worker that is listed, also one that leaves. It reports whether
// the list shows runs of workers to be over.
func (q *quarantineGuard) setWorkers(workers []forward.Worker, find func(id string) (forward.Worker, bool)) bool {
	counts, versions := map[string]int{}, map[string][]string{}
	for _, w := range workers {
		counts[w.Service]++
		if !slices.Contains(versions[w.Service], w.Version) {
			versions[w.Service] = append(versions[w.Service], w.Version)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, n := range counts {
		q.tracker.SetWorkers(sinceBoot(), service, n, versions[service])
	}
	q.ends.compare(find)
	return len(q.ends.changed) > 0
}

// tick removes what is out of date.
func (q *quarantineGuard) tick(now time.Duration) {
	q.mu.Lock()
	q.ends.expire()
	verdicts := q.tracker.Tick(now)
	for part, turn := range q.turns {
		if !turn.taken && time.Since(turn.at) > maxAloneWait {
			delete(q.turns, part)
		}
	}
	q.mu.Unlock()
	q.apply(verdicts, "workers ended under requests with it")
}

// logSuspect writes whether a request with a suspected part was sent, and why not.
func (q *quarantineGuard) logSuspect(r *request, d quarantine.Decision, refusal *errkind.Error) {
	q.mu.Lock()
	evidence := q.tracker.Summarize(sinceBoot(), d.Part)
	q.mu.Unlock()
	outcome := "sent"
	if refusal != nil {
		outcome = refusal.Message
	}
	q.log.Info("request has a suspected part", zap.String("request", r.inbound.meta.RequestID), zap.String("service", r.service),
		zap.Any("evidence", evidence), zap.Bool("on_probation", d.OnProbation), zap.Bool("on_trial", r.turn != nil), zap.String("outcome", outcome))
}

// apply logs verdicts and closes the connections of attempts that wait at workers and that a verdict
// condemns.
func (q *quarantineGuard) apply(verdicts []quarantine.Verdict, reason string) {
	if len(verdicts) == 0 {
		return
	}
	q.logVerdicts(verdicts, reason)
	q.mu.Lock()
	defer q.mu.Unlock()
	for a, r := range q.pending {
		if d := q.tracker.Decide(sinceBoot(), r.service, r.identities()); d.Action == quarantine.Refuse {
			_ = a.exchange.conn.Close() // fails only on a closed connection
		}
	}
}

// logVerdicts writes one line for each verdict.
func (q *quarantineGuard) logVerdicts(verdicts []quarantine.Verdict, reason string) {
	for i := range verdicts {
		v := &verdicts[i]
		fields := []zap.Field{
			zap.String("service", v.Part.Service), zap.String("part", formatPart(v.Part.ID)), zap.String("version", v.Version),
			zap.Int("ended_workers", v.Crashes), zap.Int("tries", v.Tries), zap.Bool("by_operator", v.ByOperator), zap.String("reason", reason),
		}
		if v.Condemned {
			q.log.Warn("requests with a part are refused", append(fields, zap.Int64("for_ms", (v.Until-sinceBoot()).Milliseconds()))...)
			continue
		}
		q.log.Info("requests with a part are not refused any more", fields...)
	}
}
