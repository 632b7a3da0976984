package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

// explained returns the ends of workers of a service that condemned parts explain.
func (t *Tracker) explained(name string) map[uint64]bool {
	out := map[uint64]bool{}
	for part, v := range t.ledger.verdicts {
		if part.Service != name || !v.value.Condemned {
			continue
		}
		if p := t.ledger.parts[part]; p != nil {
			for worker := range p.crashes {
				out[worker] = true
			}
		}
	}
	return out
}

// candidate is a part with the evidence against it.
type candidate struct {
	part     Part
	ratio    float64
	ends     int
	position int
}

// judge condemns the parts of a service that the evidence speaks against: the one that explains most
// first. What it explains does not accuse another part any more.
func (t *Tracker) judge(now Elapsed, name, version string) []Verdict {
	var out []Verdict
	for range maxCondemnedAtOnce {
		best, ok := t.mostAccused(now, name)
		if !ok {
			break
		}
		out = append(out, t.condemn(now, best, version))
	}
	return out
}

// maxCondemnedAtOnce bounds the parts that are condemned at a time. With more than maxVerdicts fatal
// parts, each verdict drops another one, whose part would be condemned again.
const maxCondemnedAtOnce = 16

// mostAccused returns the part of a service that is to be condemned next. Of parts that much the same
// requests had, the last one is taken: requests share the first parts of a prompt more often than
// those behind them.
func (t *Tracker) mostAccused(now Elapsed, name string) (candidate, bool) {
	explained := t.explained(name)
	var found []candidate
	for part, p := range t.ledger.parts {
		if part.Service != name || t.isCondemned(now, part) {
			continue
		}
		if t.hasFailedProbation(part) {
			return t.evidence(now, now, part, nil), true
		}
		if len(p.crashes) < minEndedWorkers {
			continue
		}
		c := t.evidence(now, now-t.settleTime, part, explained)
		if c.ends >= minEndedWorkers && c.ratio >= condemnThreshold {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return candidate{}, false
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.ratio, a.ratio), cmp.Compare(a.part.ID, b.part.ID))
	})
	best := found[0]
	for _, c := range found[1:] {
		if c.position > best.position && found[0].ratio-c.ratio <= ratioMargin {
			best = c
		}
	}
	return best, true
}

// evidence returns the log-likelihood ratio between "requests with the part end their workers" and
// "they were there when workers ended for another reason". The chance of the latter follows from
// the ends of workers that the part has nothing to do with: those of all gateways by worker and time,
// and those of this gateway by its requests, so that a version whose workers end on their own
// accuses nothing. Ends up to upTo count.
func (t *Tracker) evidence(now, upTo Elapsed, part Part, explained map[uint64]bool) candidate {
	p := t.ledger.parts[part]
	if p == nil {
		return candidate{part: part}
	}
	s := t.serviceOf(part.Service)
	unrelated, unrelatedBegun := 0.0, 0.0
	for worker, end := range s.ends {
		if p.crashes[worker] == nil && !explained[worker] && now-end.at <= evidenceWindow {
			unrelated++
			unrelatedBegun += end.begun
		}
	}
	byTime := (unrelated + 0.5) * fullWeightTime.Seconds() / (float64(max(s.workers, 1)) * evidenceWindow.Seconds())
	byRequest := (unrelatedBegun + 0.5) / (s.finishedNow(now) + unrelatedBegun + 1)
	chance := min(max(byTime, byRequest, minChance), maxChance)
	out := candidate{part: part}
	var counted []Crash
	acquittedAt := Elapsed(math.MinInt64)
	if v := t.ledger.verdicts[part]; v != nil && !v.value.Condemned {
		acquittedAt = v.value.Until
	}
	for worker, c := range p.crashes {
		if explained[worker] || now-c.value.At > evidenceWindow || c.value.At <= acquittedAt || c.value.At > upTo {
			continue
		}
		counted = append(counted, c.value)
		out.position = max(out.position, c.value.Position)
	}
	out.ratio, out.ends = endsAtDifferentMoments(counted, math.Log(fatalShare/chance))
	for _, f := range p.finished {
		if now-f.value.At <= evidenceWindow {
			out.ratio -= finishedPenalty * float64(f.value.Count)
		}
	}
	return out
}

// endsAtDifferentMoments returns the sum of the weights of ends, each times ratioPerEnd, and their
// number. Of ends at the same moment the one with the most weight counts.
func endsAtDifferentMoments(ends []Crash, ratioPerEnd float64) (ratio float64, n int) {
	slices.SortFunc(ends, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	var start Elapsed
	weight := 0.0
	for i, c := range ends {
		if i == 0 || c.At-start > sameMoment {
			ratio += weight * ratioPerEnd
			start, weight = c.At, 0
			n++
		}
		weight = max(weight, c.Weight)
	}
	return ratio + weight*ratioPerEnd, n
}

// Summary is the evidence on one part, for logs.
type Summary struct {
	Part string `json:"part"`
	// Ends is the number of ended workers at different moments that count against the part.
	Ends int `json:"ends"`
	// Ratio is the log-likelihood ratio; see suspectThreshold and condemnThreshold.
	Ratio float64 `json:"ratio"`
	// Finished is the number of requests with the part that finished lately, as far as it is counted:
	// those of this gateway, and those that others have stated.
	Finished int `json:"finished"`
}

// Summarize returns the evidence on a part.
func (t *Tracker) Summarize(now Elapsed, part Part) Summary {
	c := t.evidence(now, now, part, t.explained(part.Service))
	out := Summary{Part: strconv.FormatUint(part.ID, 16), Ends: c.ends, Ratio: math.Round(10*c.ratio) / 10}
	if k, ok := t.known.Peek(part); ok {
		out.Finished = k.finishedLately(now)
	}
	if p := t.ledger.parts[part]; p != nil {
		for origin, f := range p.finished {
			if origin != t.origin && now-f.value.At <= finishedTTL {
				out.Finished += f.value.Count
			}
		}
	}
	return out
}
