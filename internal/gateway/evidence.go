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

// ownEvidence returns the evidence of this gateway on the rollouts in progress.
func (t *rolloutTracker) ownEvidence(origin string) []news.EvidenceRecord {
	var out []news.EvidenceRecord
	for service := range t.byService {
		if tracked := t.inProgress(service); tracked != nil {
			out = append(out, news.EvidenceRecord{Rollout: tracked.evidenceKey(), Origin: origin, Evidence: tracked.progress.OwnEvidence()})
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
				if r.Rollout == tracked.evidenceKey() {
					tracked.progress.MergeOthers(r.Evidence)
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
		rounded("spread_errors", e.SpreadErrors), rounded("spread_slowness", e.SpreadSlowness))
}
