package news

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
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
	version  int64
}

// NewEvidenceTable returns an empty table. The first version must be above all versions of
// earlier tables of this relay.
func NewEvidenceTable(firstVersion int64) *EvidenceTable {
	return &EvidenceTable{rollouts: map[string]*rolloutEvidence{}, version: firstVersion}
}

// Merge adds what a record holds beyond the known evidence of its origin.
func (t *EvidenceTable) Merge(now Elapsed, r EvidenceRecord) {
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
		origin = &originEvidence{evidence: rollout.NewEvidence()}
		known.origins[r.Origin] = origin
	}
	if rise, changed := origin.evidence.Raise(r.Evidence); changed {
		known.sum.Add(rise)
		t.version++
		origin.version = t.version
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

// ChangedSince returns the records of single origins that changed after a version, and the present
// version.
func (t *EvidenceTable) ChangedSince(version int64) ([]EvidenceRecord, int64) {
	var out []EvidenceRecord
	for name, known := range t.rollouts {
		for origin, e := range known.origins {
			if e.version > version {
				out = append(out, EvidenceRecord{name, origin, e.evidence.Clone()})
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
