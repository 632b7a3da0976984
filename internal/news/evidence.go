package news

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/rollout"
)

const (
	// evidenceTTL is how long a relay keeps the evidence of a rollout that no gateway states any
	// more.
	evidenceTTL = 30 * time.Second
	// maxRollouts bounds the rollouts whose evidence a relay keeps.
	maxRollouts = 256
)

// EvidenceRecord is the evidence of one gateway on a rollout, or a sum over gateways without an
// origin.
type EvidenceRecord struct {
	Rollout, Origin string
	Evidence        rollout.Evidence
}

// EvidenceTable holds at a relay what each gateway observed of the targets of rollouts. The
// counters of one origin only increase, so that records merge to the same sum in any order and
// however often they arrive. It is pure: it uses no lock and no clock.
type EvidenceTable struct {
	rollouts map[string]*rolloutEvidence
	// version increases with each change. It starts at the time of the start, so that a relay
	// that restarted does not fall behind the versions that it had given out.
	version int64
}

// rolloutEvidence is the evidence on one rollout. sum is that of all origins.
type rolloutEvidence struct {
	origins map[string]*originEvidence
	sum     rollout.Evidence
	at      Elapsed
}

type originEvidence struct {
	evidence rollout.Evidence
	// workers, kinds and baseline hold the last change of each part of the evidence, last that of all.
	workers, kinds map[uint32]evidenceChange
	baseline, last evidenceChange
}

// evidenceChange is the version of a change and the process that it came from, which has it already:
// each statement of an origin holds all earlier ones.
type evidenceChange struct {
	version int64
	from    quarantine.Source
}

func newOriginEvidence() *originEvidence {
	return &originEvidence{evidence: rollout.NewEvidence(), workers: map[uint32]evidenceChange{}, kinds: map[uint32]evidenceChange{}}
}

// isNews reports whether a reader who knows a version lacks the change.
func (c evidenceChange) isNews(version int64, reader quarantine.Source) bool {
	return c.version > version && (reader == quarantine.NoSource || c.from != reader)
}

// changedSince returns the parts that a reader who knows a version lacks, and whether there are any.
func (o *originEvidence) changedSince(version int64, reader quarantine.Source) (rollout.Evidence, bool) {
	out := rollout.NewEvidence()
	if o.last.version <= version {
		return out, false
	}
	pick := func(to, from rollout.Tallies, changes map[uint32]evidenceChange) {
		for hash, c := range changes {
			if c.isNews(version, reader) {
				to[hash] = from[hash]
			}
		}
	}
	pick(out.Workers, o.evidence.Workers, o.workers)
	pick(out.Kinds, o.evidence.Kinds, o.kinds)
	hasBaseline := o.baseline.isNews(version, reader)
	if hasBaseline {
		*out.Baseline = *o.evidence.Baseline
	}
	return out, hasBaseline || len(out.Workers)+len(out.Kinds) > 0
}

// changed records which parts of the evidence rose.
func (o *originEvidence) changed(rise rollout.Evidence, c evidenceChange) {
	for hash := range rise.Workers {
		o.workers[hash] = c
	}
	for hash := range rise.Kinds {
		o.kinds[hash] = c
	}
	if *rise.Baseline != (rollout.RatioHistogram{}) {
		o.baseline = c
	}
	o.last = c
}

// NewEvidenceTable returns an empty table. The first version must be above all versions of
// earlier tables of this relay.
func NewEvidenceTable(firstVersion int64) *EvidenceTable {
	return &EvidenceTable{rollouts: map[string]*rolloutEvidence{}, version: firstVersion}
}

// Merge adds what a record from a source holds beyond the known evidence of its origin.
func (t *EvidenceTable) Merge(now Elapsed, from quarantine.Source, r EvidenceRecord) {
	known := t.rollouts[r.Rollout]
	if known == nil {
		t.expire(now)
		if len(t.rollouts) >= maxRollouts {
			return
		}
		known = &rolloutEvidence{origins: map[string]*originEvidence{}, sum: rollout.NewEvidence()}
		t.rollouts[r.Rollout] = known
	}
	known.at = now
	origin := known.origins[r.Origin]
	if origin == nil {
		if len(known.origins) >= maxGateways {
			return
		}
		origin = newOriginEvidence()
		known.origins[r.Origin] = origin
	}
	if rise, changed := origin.evidence.Raise(r.Evidence); changed {
		known.sum.Add(rise)
		t.version++
		origin.changed(rise, evidenceChange{t.version, from})
	}
}

// expire removes the rollouts that no gateway states any more.
func (t *EvidenceTable) expire(now Elapsed) {
	for name, r := range t.rollouts {
		if now-r.at > evidenceTTL {
			delete(t.rollouts, name)
		}
	}
}

// OthersOf returns the sum of the evidence on a rollout of all origins but one.
func (t *EvidenceTable) OthersOf(name, origin string) rollout.Evidence {
	known := t.rollouts[name]
	if known == nil {
		return rollout.NewEvidence()
	}
	out := known.sum.Clone()
	if own := known.origins[origin]; own != nil {
		out.Subtract(own.evidence)
	}
	return out
}

// ChangedSince returns the parts of the records of single origins that changed after a version, without
// those that came from the reader, and the present version.
func (t *EvidenceTable) ChangedSince(version int64, reader quarantine.Source) ([]EvidenceRecord, int64) {
	var out []EvidenceRecord
	for name, known := range t.rollouts {
		for origin, e := range known.origins {
			if changes, ok := e.changedSince(version, reader); ok {
				out = append(out, EvidenceRecord{name, origin, changes})
			}
		}
	}
	return out, t.version
}

func encodeEvidence(records []EvidenceRecord) []api.RolloutEvidence {
	out := make([]api.RolloutEvidence, 0, len(records))
	for _, r := range records {
		out = append(out, api.RolloutEvidence{Rollout: r.Rollout, Origin: r.Origin, Workers: r.Evidence.Workers.Encode(), Kinds: r.Evidence.Kinds.Encode(), Baseline: r.Evidence.Baseline.Encode()})
	}
	return out
}

func decodeEvidence(records []api.RolloutEvidence) ([]EvidenceRecord, error) {
	out := make([]EvidenceRecord, 0, len(records))
	for _, r := range records {
		workers, err := rollout.DecodeTallies(r.Workers)
		if err != nil {
			return nil, eris.Wrapf(err, "evidence on rollout %s", r.Rollout)
		}
		kinds, err := rollout.DecodeTallies(r.Kinds)
		if err != nil {
			return nil, eris.Wrapf(err, "evidence on rollout %s", r.Rollout)
		}
		baseline, err := rollout.DecodeRatioHistogram(r.Baseline)
		if err != nil {
			return nil, eris.Wrapf(err, "evidence on rollout %s", r.Rollout)
		}
		out = append(out, EvidenceRecord{r.Rollout, r.Origin, rollout.Evidence{Workers: workers, Kinds: kinds, Baseline: baseline}})
	}
	return out, nil
}
