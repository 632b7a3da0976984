package replay

import (
	"fmt"
	"slices"

	"github.com/borageflow/borageflow/api"
)

// maxExamples is the maximum number of requests listed for a violated outcome.
const maxExamples = 5

// noEvidence is reported in place of the value when the trace holds no data for a bound.
const noEvidence = "no evidence in the trace"

// evaluator counts the checked outcomes and collects the violated ones.
type evaluator struct {
	checkedCount int
	broken       []api.BrokenOutcome
}

// recordResult counts an outcome and, unless it is met, stores the expected and the seen
// value with at most maxExamples requests.
func (e *evaluator) recordResult(outcome string, met bool, stated, seen any, examples []string) {
	e.checkedCount++
	if met {
		return
	}
	if len(examples) > maxExamples {
		examples = examples[:maxExamples]
	}
	e.broken = append(e.broken, api.BrokenOutcome{
		Outcome: outcome, Stated: fmt.Sprint(stated), Seen: fmt.Sprint(seen),
		Examples: append([]string{}, examples...),
	})
}

// checkCount checks the number of requests against an upper bound. A nil bound is skipped.
func (e *evaluator) checkCount(outcome string, bound *int, examples []string) {
	if bound != nil {
		e.recordResult(outcome, len(examples) <= *bound, *bound, len(examples), examples)
	}
}

// checkMeasurement checks a measurement against an upper bound, or a lower one if
// isLowerBound. A nil bound is skipped; a measurement without data violates its bound.
func (e *evaluator) checkMeasurement(outcome string, bound *float64, m measurement, isLowerBound bool) {
	if bound == nil {
		return
	}
	if !m.hasData {
		e.recordResult(outcome, false, *bound, noEvidence, nil)
		return
	}
	met := m.value <= *bound
	if isLowerBound {
		met = m.value >= *bound
	}
	e.recordResult(outcome, met, *bound, m.value, m.examples)
}

// measurement is a value computed from the trace, with example requests.
type measurement struct {
	value    float64
	hasData  bool
	examples []string
}

// verdict checks every outcome and returns the violated ones.
func (idx *requestIndex) verdict(o api.Outcomes) api.ReplayVerdict {
	e := &evaluator{broken: []api.BrokenOutcome{}}
	e.checkCount("maxLost", o.MaxLost, idx.lostRequests())
	e.checkCount("maxDoubled", o.MaxDoubled, idx.duplicatedRequests(o.NonIdempotent))
	e.checkCount("maxErrors", o.MaxErrors, idx.failedRequests())
	all := func(*request) bool { return true }
	e.checkMeasurement("maxErrorShare", o.MaxErrorShare, idx.errorShare(all), false)
	e.checkMeasurement("maxFirstTokenP95Ms", o.MaxFirstTokenP95Ms, idx.timeQuantileMs(all, firstTokenUs, 0.95), false)
	e.checkMeasurement("maxFirstTokenP99Ms", o.MaxFirstTokenP99Ms, idx.timeQuantileMs(all, firstTokenUs, 0.99), false)
	e.checkMeasurement("maxTotalP99Ms", o.MaxTotalP99Ms, idx.timeQuantileMs(all, totalUs, 0.99), false)
	e.checkMeasurement("minQuality", o.MinQuality, idx.goodAnswerShare(all, o), true)
	e.checkMeasurement("maxCostPerRequest", o.MaxCostPerRequest, idx.meanCost(all), false)
	e.checkMeasurement("maxAmplification", o.MaxAmplification, idx.amplification(), false)
	for _, class := range o.Classes {
		idx.checkClass(e, class, o)
	}
	for _, allowed := range o.Allowed {
		forbidden := idx.forbiddenVersionRequests(allowed)
		e.recordResult("allowed["+allowed.Customer+"]", len(forbidden) == 0, allowed.Versions, forbidden, forbidden)
	}
	for _, bound := range o.Exposure {
		exposed := idx.exposedAttempts(bound)
		name := fmt.Sprintf("exposure[%s after %d us]", bound.Version, bound.AfterUs)
		e.recordResult(name, len(exposed) <= bound.MaxAttempts, bound.MaxAttempts, len(exposed), exposed)
	}
	return api.ReplayVerdict{Met: len(e.broken) == 0, Requests: idx.arrivalCount(), Checked: e.checkedCount, Broken: e.broken}
}

// checkClass checks the outcomes of one request class.
func (idx *requestIndex) checkClass(e *evaluator, c api.ClassOutcomes, o api.Outcomes) {
	name := func(bound string) string { return "classes[" + c.Class + "]." + bound }
	inClass := func(r *request) bool { return r.class() == c.Class }
	e.checkMeasurement(name("maxErrorShare"), c.MaxErrorShare, idx.errorShare(inClass), false)
	e.checkMeasurement(name("maxFirstTokenP99Ms"), c.MaxFirstTokenP99Ms, idx.timeQuantileMs(inClass, firstTokenUs, 0.99), false)
	e.checkMeasurement(name("maxTotalP99Ms"), c.MaxTotalP99Ms, idx.timeQuantileMs(inClass, totalUs, 0.99), false)
	e.checkMeasurement(name("minQuality"), c.MinQuality, idx.goodAnswerShare(inClass, o), true)
	e.checkMeasurement(name("maxCostPerRequest"), c.MaxCostPerRequest, idx.meanCost(inClass), false)
}

// matchingIDs returns the IDs of the matching requests, in the order of the trace.
func (idx *requestIndex) matchingIDs(match func(*request) bool) []string {
	var ids []string
	for _, r := range idx.inOrder {
		if match(r) {
			ids = append(ids, r.id)
		}
	}
	return ids
}

func (idx *requestIndex) arrivalCount() int {
	return len(idx.matchingIDs(func(r *request) bool { return r.hasArrival }))
}

func (idx *requestIndex) lostRequests() []string {
	return idx.matchingIDs(func(r *request) bool { return r.hasArrival && r.endCount == 0 })
}

func (idx *requestIndex) failedRequests() []string { return idx.matchingIDs((*request).hasFailed) }

// duplicatedRequests returns the non-idempotent requests that ran, or may have run, more
// than once, and every request with more than one end. The runs of all requests with the
// same deduplication key are added up, and one request is listed for each key.
func (idx *requestIndex) duplicatedRequests(operations []string) []string {
	nonIdempotent := map[string]bool{}
	for _, operation := range operations {
		nonIdempotent[operation] = true
	}
	runs := map[string]int{}
	counted := map[string]bool{}
	return idx.matchingIDs(func(r *request) bool {
		key := r.deduplicationKey(nonIdempotent)
		if key == "" {
			return r.endCount > 1
		}
		runs[key] += r.runCount()
		if (runs[key] > 1 || r.endCount > 1) && !counted[key] {
			counted[key] = true
			return true
		}
		return false
	})
}

// forbiddenVersionRequests returns the requests of a customer with an attempt or an
// answer on a version that is not allowed.
func (idx *requestIndex) forbiddenVersionRequests(allowed api.AllowedVersions) []string {
	isForbidden := func(version string) bool {
		return version != "" && !slices.Contains(allowed.Versions, version)
	}
	return idx.matchingIDs(func(r *request) bool {
		if r.customer() != allowed.Customer {
			return false
		}
		for _, a := range r.attempts {
			if a.mayHaveRun() && isForbidden(a.version) {
				return true
			}
		}
		return r.hasCompleted() && isForbidden(r.end.Version)
	})
}

// exposedAttempts returns a request ID for each attempt on a version that started at or
// after the time of the bound.
func (idx *requestIndex) exposedAttempts(bound api.ExposureBound) []string {
	var ids []string
	for _, r := range idx.inOrder {
		for _, a := range r.attempts {
			if a.mayHaveRun() && a.version == bound.Version && a.startedAtUs >= bound.AfterUs {
				ids = append(ids, r.id)
			}
		}
	}
	return ids
}
