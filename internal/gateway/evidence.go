package gateway

import (
	"math"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/news"
	"github.com/borageflow/borageflow/internal/rollout"
)

// startEvidence records that a request was sent to a worker whose service has a rollout in
// progress. It returns nil for other services.
func (d *dispatcher) startEvidence(w forward.Worker, kind string, uncachedTokens int) *rollout.Pending {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rollouts.startEvidence(sinceBoot(), w, rollout.Answer{Kind: kind, Worker: w.ID, UncachedTokens: uncachedTokens})
}

// recordAnswer records that the answer of a request began, as evidence for or against a rollout.
func (d *dispatcher) recordAnswer(p *rollout.Pending, failed bool) {
	if p == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollouts.judging(d.log, func() { p.Answered(sinceBoot(), failed) })
}

// recordAbandoned records that a request ended without an answer. It does nothing after
// recordAnswer.
func (d *dispatcher) recordAbandoned(p *rollout.Pending) {
	if p == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollouts.judging(d.log, func() { p.Abandoned(sinceBoot()) })
}

// paceMeter measures the pace of one stream as evidence for or against a rollout. Only the goroutine
// of the request uses it.
type paceMeter struct {
	dispatcher *dispatcher
	evidence   *rollout.Pending
	running    int
	pace       *rollout.Pace
	events     int
}

// maxBlockedWrite is the time that the write of an event may take to a caller who reads slowly. Beyond
// it, the time to the next event says nothing about the worker.
const maxBlockedWrite = 20 * time.Millisecond

// event records that an event arrived.
func (m *paceMeter) event() {
	if m.events++; m.evidence == nil || m.events > 2 {
		return
	}
	d := m.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.events == 1 {
		m.pace = m.evidence.StartPace(sinceBoot(), m.running)
		return
	}
	d.rollouts.judging(d.log, func() { m.pace.NextEvent(sinceBoot()) })
}

// written records how long the write of an event to the caller took.
func (m *paceMeter) written(took time.Duration) {
	if m.events != 1 || m.evidence == nil || took <= maxBlockedWrite {
		return
	}
	m.dispatcher.mu.Lock()
	defer m.dispatcher.mu.Unlock()
	m.pace.Discard()
}

// end records that the stream ended.
func (m *paceMeter) end() {
	if m.events != 1 || m.evidence == nil {
		return
	}
	d := m.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollouts.judging(d.log, func() { m.pace.Abandoned(sinceBoot()) })
}

// startEvidence records that a request was sent to a worker. It returns nil without a rollout in
// progress.
func (t *rolloutTracker) startEvidence(now time.Duration, w forward.Worker, a rollout.Answer) *rollout.Pending {
	tracked := t.inProgress(w.Service)
	if tracked == nil {
		return nil
	}
	return tracked.progress.Start(now, w.Version == tracked.record.TargetVersion, a)
}

// judging calls observe, which adds evidence, and logs each target that it shows to be bad.
func (t *rolloutTracker) judging(log *zap.Logger, observe func()) {
	observe()
	for service, tracked := range t.byService {
		bad, reason := tracked.progress.TargetIsBad()
		if bad && !tracked.rejectionLogged {
			tracked.rejectionLogged = true
			log.Warn("target version of a rollout is rejected", zap.String("service", service), zap.String("target", tracked.record.TargetVersion), zap.String("reason", reason), evidenceField(tracked.progress.Summary()))
		}
	}
}

// tick counts the requests whose answers are overdue.
func (t *rolloutTracker) tick(now time.Duration, log *zap.Logger) {
	t.judging(log, func() {
		for service := range t.byService {
			if tracked := t.inProgress(service); tracked != nil {
				tracked.progress.Tick(now)
			}
		}
	})
}

// evidenceKey identifies a rollout in the evidence that gateways exchange.
func (tracked *trackedRollout) evidenceKey() string {
	return tracked.record.Service + "/" + tracked.record.TargetVersion + "@" + strconv.FormatInt(tracked.record.CreatedRevision, 10)
}

// paceKeySuffix marks the evidence on paces, which is exchanged in a record of its own.
const paceKeySuffix = "/pace"

// ownEvidence returns the evidence of this gateway on the rollouts in progress.
func (t *rolloutTracker) ownEvidence(origin string) []news.EvidenceRecord {
	var out []news.EvidenceRecord
	for service := range t.byService {
		if tracked := t.inProgress(service); tracked != nil {
			out = append(out,
				news.EvidenceRecord{Rollout: tracked.evidenceKey(), Origin: origin, Evidence: tracked.progress.OwnEvidence()},
				news.EvidenceRecord{Rollout: tracked.evidenceKey() + paceKeySuffix, Origin: origin, Evidence: tracked.progress.OwnPaces()})
		}
	}
	return out
}

// mergeEvidence adds the evidence of the other gateways.
func (t *rolloutTracker) mergeEvidence(records []news.EvidenceRecord, log *zap.Logger) {
	t.judging(log, func() {
		for service := range t.byService {
			tracked := t.inProgress(service)
			if tracked == nil {
				continue
			}
			for _, r := range records {
				switch r.Rollout {
				case tracked.evidenceKey():
					tracked.progress.MergeOthers(r.Evidence)
				case tracked.evidenceKey() + paceKeySuffix:
					tracked.progress.MergePacesOfOthers(r.Evidence)
				}
			}
		}
	})
}

// evidenceField returns the evidence of a rollout as a field of a log line.
func evidenceField(e rollout.EvidenceSummary) zap.Field {
	rounded := func(name string, v float64) zap.Field { return zap.Float64(name, math.Round(v*100)/100) }
	return zap.Dict("evidence", zap.Int("answers", e.Answers), zap.Int("failed", e.Failed), zap.Int("own_answers", e.OwnAnswers),
		zap.Int("other_answers", e.OtherAnswers), rounded("errors", e.Errors), rounded("slowness", e.Slowness),
		rounded("spread_errors", e.SpreadErrors), rounded("spread_slowness", e.SpreadSlowness),
		zap.Int("paces", e.Paces), rounded("pace", e.Pace), rounded("spread_pace", e.SpreadPace))
}
