package cascade

import "time"

// explore returns a plan that gathers evidence, for a small share of requests.
// surplus is what the bound of the chosen plan's quality has beyond the target;
// the share is small enough that the expected quality over both plans stays at
// the target.
func (p *Planner) explore(now time.Time, options []option, r PlanRequest, best, surest draft, surplus float64) (draft, bool) {
	e, ok := p.leastKnown(now, options, r, best, surest)
	if !ok {
		return draft{}, false
	}
	share := p.opts.Explore
	if e.first.evidence(now, &p.opts) < fewRatings {
		share *= eagerness
	}
	if loss := best.quality - e.quality; loss > 0 {
		share = min(share, surplus/loss)
	}
	return e, p.rng.Float64() < share
}

// A version with few ratings is tried more often, so that sparse ratings do not
// keep a cheap version unknown for long.
const (
	fewRatings = 50
	eagerness  = 3
)

// evidence is the number of ratings of a version as first stage that count.
func (o *option) evidence(now time.Time, opts *Options) float64 {
	sum := o.cell.first.sum()
	return sum.count() * freshness(now, sum.at, opts.EvidenceHalfLife)
}

// leastKnown returns a draft that would be cheaper than the best one if its
// quality were proven: the best cascade with a lower threshold, or the least
// rated other version in front of the last stage of the surest draft.
func (p *Planner) leastKnown(now time.Time, options []option, r PlanRequest, best, surest draft) (draft, bool) {
	if best.second != nil && best.bin > 1 && p.rng.Float64() < 0.5 {
		return p.pairAt(now, best.first, best.second, best.bin-1), true
	}
	strong := surest.last()
	var pick *option
	least := 0.0
	for i := range options {
		o := &options[i]
		if o.Version == best.first.Version || !pairFits(o, strong, r) {
			continue
		}
		known := o.evidence(now, &p.opts)
		if pick == nil || known < least {
			pick, least = o, known
		}
	}
	if pick == nil {
		return draft{}, false
	}
	return p.pairAt(now, pick, strong, pick.upperHalf()), true
}

// upperHalf returns the bin from which about half of the answers are accepted.
func (o *option) upperHalf() int {
	for k := confidenceBins - 1; k > 1; k-- {
		if o.curve.share[k] >= 0.5 {
			return k
		}
	}
	return 1
}

func (p *Planner) pairAt(now time.Time, first, second *option, bin int) draft {
	escalated := p.escalatedCurve(now, first, second)
	return p.pair(first, second, &escalated, bin)
}

func (d draft) last() *option {
	if d.second != nil {
		return d.second
	}
	return d.first
}
