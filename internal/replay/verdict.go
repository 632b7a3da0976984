package replay

import (
	"fmt"
	"slices"

	"github.com/borageflow/borageflow/api"
)

// maxExamples bounds the requests named for one broken outcome.
const maxExamples = 5

// noEvidence is what a bound shows that nothing in the trace can be held against.
const noEvidence = "no evidence in the trace"

// judge collects broken outcomes.
type judge struct {
	checked int
	broken  []api.BrokenOutcome
}

// check notes an outcome and, unless met, what was seen instead.
func (j *judge) check(outcome string, met bool, stated, seen any, examples []string) {
	j.checked++
	if met {
		return
	}
	if len(examples) > maxExamples {
		examples = examples[:maxExamples]
	}
	j.broken = append(j.broken, api.BrokenOutcome{
		Outcome: outcome, Stated: fmt.Sprint(stated), Seen: fmt.Sprint(seen),
		Examples: append([]string{}, examples...),
	})
}

// atMost checks a count of requests against a bound, if there is one.
func (j *judge) atMost(outcome string, bound *int, examples []string) {
	if bound != nil {
		j.check(outcome, len(examples) <= *bound, *bound, len(examples), examples)
	}
}

// measured checks a figure against an upper (or lower) bound, if there is one.
func (j *judge) measured(outcome string, bound *float64, f figure, lower bool) {
	if bound == nil {
		return
	}
	if !f.known {
		j.check(outcome, false, *bound, noEvidence, nil)
		return
	}
	met := f.value <= *bound
	if lower {
		met = f.value >= *bound
	}
	j.check(outcome, met, *bound, f.value, f.examples)
}

// figure is a measured value, with the requests behind it.
type figure struct {
	value    float64
	known    bool
	examples []string
}

func (h *history) verdict(o api.Outcomes) api.ReplayVerdict {
	j := &judge{broken: []api.BrokenOutcome{}}
	j.atMost("maxLost", o.MaxLost, h.lost())
	j.atMost("maxDoubled", o.MaxDoubled, h.doubled(o.NonIdempotent))
	j.atMost("maxErrors", o.MaxErrors, h.errors())
	all := func(*request) bool { return true }
	j.measured("maxErrorShare", o.MaxErrorShare, h.errorShare(all), false)
	j.measured("maxFirstTokenP95Ms", o.MaxFirstTokenP95Ms, h.quantile(all, firstToken, 0.95), false)
	j.measured("maxFirstTokenP99Ms", o.MaxFirstTokenP99Ms, h.quantile(all, firstToken, 0.99), false)
	j.measured("maxTotalP99Ms", o.MaxTotalP99Ms, h.quantile(all, total, 0.99), false)
	j.measured("minQuality", o.MinQuality, h.quality(all, o), true)
	j.measured("maxCostPerRequest", o.MaxCostPerRequest, h.cost(all), false)
	j.measured("maxAmplification", o.MaxAmplification, h.amplification(), false)
	for _, class := range o.Classes {
		h.judgeClass(j, class, o)
	}
	for _, allowed := range o.Allowed {
		outside := h.outside(allowed)
		j.check("allowed["+allowed.Customer+"]", len(outside) == 0, allowed.Versions, outside, outside)
	}
	for _, bound := range o.Exposure {
		exposed := h.exposed(bound)
		name := fmt.Sprintf("exposure[%s after %d us]", bound.Version, bound.AfterUs)
		j.check(name, len(exposed) <= bound.MaxAttempts, bound.MaxAttempts, len(exposed), exposed)
	}
	return api.ReplayVerdict{Met: len(j.broken) == 0, Requests: h.arrivals(), Checked: j.checked, Broken: j.broken}
}

func (h *history) judgeClass(j *judge, c api.ClassOutcomes, o api.Outcomes) {
	name := func(bound string) string { return "classes[" + c.Class + "]." + bound }
	in := func(r *request) bool { return r.class() == c.Class }
	j.measured(name("maxErrorShare"), c.MaxErrorShare, h.errorShare(in), false)
	j.measured(name("maxFirstTokenP99Ms"), c.MaxFirstTokenP99Ms, h.quantile(in, firstToken, 0.99), false)
	j.measured(name("maxTotalP99Ms"), c.MaxTotalP99Ms, h.quantile(in, total, 0.99), false)
	j.measured(name("minQuality"), c.MinQuality, h.quality(in, o), true)
	j.measured(name("maxCostPerRequest"), c.MaxCostPerRequest, h.cost(in), false)
}

// names returns the names of the requests that match, in order of the trace.
func (h *history) names(match func(*request) bool) []string {
	var names []string
	for _, r := range h.order {
		if match(r) {
			names = append(names, r.name)
		}
	}
	return names
}

func (h *history) arrivals() int {
	return len(h.names(func(r *request) bool { return r.arrived }))
}

func (h *history) lost() []string {
	return h.names(func(r *request) bool { return r.arrived && r.ends == 0 })
}

func (h *history) errors() []string { return h.names((*request).failed) }

// doubled returns the non-idempotent requests that ran, or may have run, more
// than once, counting the repeats of a key together, and every request with more
// than one end.
func (h *history) doubled(operations []string) []string {
	nonIdempotent := map[string]bool{}
	for _, operation := range operations {
		nonIdempotent[operation] = true
	}
	runs := map[string]int{}
	counted := map[string]bool{}
	return h.names(func(r *request) bool {
		key := r.onceKey(nonIdempotent)
		if key == "" {
			return r.ends > 1
		}
		runs[key] += r.runs()
		if (runs[key] > 1 || r.ends > 1) && !counted[key] {
			counted[key] = true
			return true
		}
		return false
	})
}

// outside returns the requests of a customer with an attempt or an answer on a
// version that is not allowed.
func (h *history) outside(allowed api.AllowedVersions) []string {
	forbidden := func(version string) bool {
		return version != "" && !slices.Contains(allowed.Versions, version)
	}
	return h.names(func(r *request) bool {
		if r.customer() != allowed.Customer {
			return false
		}
		for _, a := range r.attempts {
			if a.ran() && forbidden(a.version) {
				return true
			}
		}
		return r.completed() && forbidden(r.end.Version)
	})
}

// exposed returns one name for each attempt on a version from a time on.
func (h *history) exposed(bound api.ExposureBound) []string {
	var names []string
	for _, r := range h.order {
		for _, a := range r.attempts {
			if a.ran() && a.version == bound.Version && a.at >= bound.AfterUs {
				names = append(names, r.name)
			}
		}
	}
	return names
}
