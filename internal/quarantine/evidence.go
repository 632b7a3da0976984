package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

// explained returns the ends of workers of the service of a part that condemned parts explain. A whole
// request that had all ends of a condemned one, and more, explains these itself. A part of prompts does not: where
// few workers are left, a common part is under each end.
func (t *Tracker) explained(part Part) map[uint64]bool {
	out := map[uint64]bool{}
	for other, v := range t.ledger.verdicts {
		if other.Service != part.Service || !v.value.Condemned {
			continue
		}
		p := t.ledger.parts[other]
		if p == nil || p.isWhole && t.isWhole(part) && t.hasAllEndsOf(part, other) {
			continue
		}
		for worker := range p.crashes {
			out[worker] = true
		}
	}
	return out
}

func (t *Tracker) isWhole(part Part) bool {
	p := t.ledger.parts[part]
	return p != nil && p.isWhole
}

// hasAllEndsOf reports whether workers ended under a part whenever they did under another, and more often.
func (t *Tracker) hasAllEndsOf(part, other Part) bool {
	p, q := t.ledger.parts[part], t.ledger.parts[other]
	return p != nil && part != other && len(p.crashes) > len(q.crashes) && t.sharedEnds(part, other) == len(q.crashes)
}

// behindAllParts is the position of whole requests: they are behind the parts of prompts, also of those of others.
const behindAllParts = math.MaxInt

// candidate is a part with the evidence against it.
type candidate struct {
	part Part
	// ratio is the log-likelihood ratio since the part has turned fatal, if it has, and ends the number
	// of ends of workers since then.
	ratio    float64
	ends     int
	position int
	isWhole  bool
	// onTrial is set if one of the ends was under a request that was sent alone.
	onTrial bool
	// mostWeight is the greatest weight of an end.
	mostWeight float64
	// wasAnswered is set if requests with the part finished before the first of the ends, and isCommon
	// if many did at one gateway.
	wasAnswered, isCommon bool
}

// judge condemns the parts of a service that the evidence speaks against: the one that explains most
// first. What it explains does not accuse another part any more.
func (t *Tracker) judge(now Elapsed, name, version string) []Verdict {
	var out []Verdict
	t.findRivals(now, name)
	for range maxCondemnedAtOnce {
		best, ok := t.mostAccused(now, name)
		if !ok {
			break
		}
		out = append(out, t.condemn(now, best, version))
	}
	return append(out, t.acquitExplained(now, name)...)
}

// maxCondemnedAtOnce bounds the parts that are condemned at a time. With more than maxVerdicts fatal
// parts, each verdict drops another one, whose part would be condemned again.
const maxCondemnedAtOnce = 16

// mostAccused returns the part of a service that is to be condemned next. Of parts that much the same
// requests had, the last one is taken: requests share the first parts of a prompt more often than
// those behind them.
func (t *Tracker) mostAccused(now Elapsed, name string) (candidate, bool) {
	if part, ok := t.failedProbation(now, name); ok {
		return t.evidence(now, now, part, nil), true
	}
	suspects := t.accused(now, name, suspectThreshold)
	var found []candidate
	for _, c := range suspects {
		if c = t.settled(now, c, t.explained(c.part)); (c.isEnough() || t.isInSmallService(c)) && !t.needsTrial(c, suspects) {
			found = append(found, c)
		}
	}
	sortByRatio(found)
	var best candidate
	for _, c := range found {
		isBetter := best.ends == 0 || c.position > best.position && found[0].ratio-c.ratio <= ratioMargin
		if isBetter && !t.isExplainedLater(now, c, suspects) {
			best = c
		}
	}
	return best, best.ends > 0
}

// accused returns the parts of a service that are not condemned and whose evidence, the latest included,
// reaches a threshold.
func (t *Tracker) accused(now Elapsed, name string, threshold float64) []candidate {
	var out []candidate
	for part, p := range t.ledger.parts {
		if part.Service != name || len(p.crashes) < minSuspectEnds || t.isCondemned(now, part) {
			continue
		}
		if c := t.evidence(now, now, part, t.explained(part)); c.ends >= minSuspectEnds && c.ratio >= threshold {
			out = append(out, c)
		}
	}
	return out
}

// failedProbation returns a part of a service under which a worker has ended on probation.
func (t *Tracker) failedProbation(now Elapsed, name string) (Part, bool) {
	for part := range t.probation {
		if part.Service == name && !t.isCondemned(now, part) && t.hasFailedProbation(part) {
			return part, true
		}
	}
	return Part{}, false
}

// sortByRatio sorts candidates, those with the greatest ratio first.
func sortByRatio(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.ratio, a.ratio), cmp.Compare(a.part.ID, b.part.ID))
	})
}

// isEnough reports whether the evidence condemns a part.
func (c *candidate) isEnough() bool { return c.ends >= minEndedWorkers && c.ratio >= condemnThreshold }

// isInSmallService reports whether a suspected whole request is condemned because its service is small.
func (t *Tracker) isInSmallService(c candidate) bool {
	return c.isWhole && c.ends >= minSuspectEnds && c.ratio >= suspectThreshold && t.serviceOf(c.part.Service).mostWorkers <= smallService
}

// settled returns the evidence on a part without the ends that are too recent to condemn it.
func (t *Tracker) settled(now Elapsed, c candidate, explained map[uint64]bool) candidate {
	settleTime := t.settleTime
	if c.wasAnswered && !c.isWhole {
		settleTime = max(settleTime, turnedSettleTime)
	}
	return t.evidence(now, now-settleTime, c.part, explained)
}

// isExplainedLater reports whether the ends that condemn a part are those of suspected parts further back
// in prompts, or of one suspected whole request, which will be condemned or cleared first. Sound first parts
// have the ends of several fatal parts behind them, and may reach the threshold before each of these.
func (t *Tracker) isExplainedLater(now Elapsed, c candidate, suspects []candidate) bool {
	if c.isWhole {
		return false
	}
	without := t.explained(c.part)
	own := t.ledger.parts[c.part]
	for _, s := range suspects {
		if s.position <= c.position || s.isWhole && t.sharedEnds(c.part, s.part) < len(own.crashes) {
			continue
		}
		for worker := range t.ledger.parts[s.part].crashes {
			if own.crashes[worker] != nil {
				without[worker] = true
			}
		}
	}
	rest := t.settled(now, c, without)
	return !rest.isEnough()
}

// needsTrial reports whether a whole request must end a server while it is sent alone before it is
// condemned: it was answered before, each end came late, or another suspect was on the same servers when they ended.
// Callers repeat sound requests that were cut together with a fatal one.
func (t *Tracker) needsTrial(c candidate, suspects []candidate) bool {
	if !c.isWhole || c.onTrial {
		return false
	}
	return c.wasAnswered || c.mostWeight < leastUntriedWeight || slices.ContainsFunc(suspects, func(s candidate) bool {
		return s.isWhole && s.part != c.part && c.ratio-s.ratio <= ratioMargin && t.sharedEnds(c.part, s.part) >= minSuspectEnds
	})
}

// sharedEnds returns the number of workers that ended under both parts.
func (t *Tracker) sharedEnds(a, b Part) int {
	n := 0
	for worker := range t.ledger.parts[a].crashes {
		if t.ledger.parts[b].crashes[worker] != nil {
			n++
		}
	}
	return n
}

// evidence returns the log-likelihood ratio between "requests with the part end their workers since some
// time" and "they were there when workers ended for another reason": the CUSUM statistic of Page over
// the ends of workers under the part and its finished requests, in the order in which they began. A
// finished request takes back an end at least, and what came before the ratio was last 0 says nothing:
// a part may turn fatal. The chance that a worker ends for another reason follows from the ends of
// workers that the part has nothing to do with: those of all gateways by worker and time, and those of
// this gateway by its requests, so that a version whose workers end on their own accuses nothing. Ends
// up to upTo count.
func (t *Tracker) evidence(now, upTo Elapsed, part Part, explained map[uint64]bool) candidate {
	if t.ledger.parts[part] == nil {
		return candidate{part: part}
	}
	finished, since := t.finishedOf(now, part)
	ends := t.countedEnds(now, part, max(since, t.acquittedAt(part)), upTo, explained)
	out := candidate{part: part}
	for _, c := range ends {
		out.position = max(out.position, c.Position)
		out.isWhole = out.isWhole || c.IsWhole
	}
	if out.isWhole {
		out.position = behindAllParts
	}
	firstAt := out.cumulate(atDifferentMoments(ends), finished, math.Log(fatalShare/t.otherChance(now, part, explained)))
	before := map[uint64]int{}
	for _, f := range finished {
		if f.begun < firstAt {
			out.wasAnswered = true
			before[f.origin]++
			out.isCommon = out.isCommon || before[f.origin] >= commonFinishes/2
		}
	}
	return out
}

// cumulate sets the ratio from ends and finished requests in order of time. It returns the time of the
// first end that counts.
func (c *candidate) cumulate(ends []Crash, finished []finishedRequest, ratioPerEnd float64) (firstAt Elapsed) {
	penalty := max(finishedPenalty, ratioPerEnd)
	next := 0
	for _, end := range ends {
		for ; next < len(finished) && finished[next].begun < end.At; next++ {
			c.ratio -= penalty
		}
		if c.ratio <= 0 {
			c.ratio, c.ends, c.onTrial, c.mostWeight, firstAt = 0, 0, false, 0, end.At
		}
		c.ratio += end.Weight * ratioPerEnd
		c.ends++
		c.onTrial = c.onTrial || end.OnTrial
		c.mostWeight = max(c.mostWeight, end.Weight)
	}
	c.ratio = max(c.ratio-penalty*float64(len(finished)-next), 0)
	return firstAt
}

// acquittedAt returns when the condemnation of a part ended, if it has.
func (t *Tracker) acquittedAt(part Part) Elapsed {
	if v := t.ledger.verdicts[part]; v != nil && !v.value.Condemned {
		return v.value.Until
	}
	return math.MinInt64
}

// countedEnds returns the ends of workers under a part after one time and up to another.
func (t *Tracker) countedEnds(now Elapsed, part Part, after, upTo Elapsed, explained map[uint64]bool) []Crash {
	var out []Crash
	for worker, c := range t.ledger.parts[part].crashes {
		if !explained[worker] && now-c.value.At <= evidenceWindow && c.value.At > after && c.value.At <= upTo {
			out = append(out, c.value)
		}
	}
	return out
}

const (
	// rivalThreshold is the ratio from which the ends under a part may be its doing: odds of 20 to 1.
	rivalThreshold = 3
	// maxRivals bounds the rivals of a service, those with the greatest ratio.
	maxRivals = 16
)

// findRivals finds the parts of a service that may be fatal too. Where several parts are, the ends under
// each would make the others look as if workers ended anyway.
func (t *Tracker) findRivals(now Elapsed, name string) {
	s := t.serviceOf(name)
	s.rivals = nil
	found := t.accused(now, name, rivalThreshold)
	sortByRatio(found)
	for _, c := range found[:min(len(found), maxRivals)] {
		s.rivals = append(s.rivals, c.part)
	}
}

// rivalEnds returns the ends of workers under the rivals of a part that have no end in common with it.
func (t *Tracker) rivalEnds(part Part) map[uint64]bool {
	out := map[uint64]bool{}
	for _, rival := range t.serviceOf(part.Service).rivals {
		p := t.ledger.parts[rival]
		if p == nil || rival == part || t.sharedEnds(part, rival) > 0 {
			continue
		}
		for worker := range p.crashes {
			out[worker] = true
		}
	}
	return out
}

// otherChance returns the chance that a request with a part is on a worker that ends for a reason that has
// nothing to do with it.
func (t *Tracker) otherChance(now Elapsed, part Part, explained map[uint64]bool) float64 {
	p, s, rivalEnds := t.ledger.parts[part], t.serviceOf(part.Service), t.rivalEnds(part)
	unrelated, unrelatedBegun := 0.0, 0.0
	for worker, end := range s.ends {
		if p.crashes[worker] == nil && !explained[worker] && !rivalEnds[worker] && now-end.at <= evidenceWindow {
			unrelated++
			unrelatedBegun += end.begun
		}
	}
	byTime := (unrelated + 0.5) * fullWeightTime.Seconds() / (float64(max(s.workers, 1)) * evidenceWindow.Seconds())
	byRequest := (unrelatedBegun + 0.5) / (s.finishedNow(now) + unrelatedBegun + 1)
	return min(max(byTime, byRequest, minChance), maxChance)
}

// finishedRequest is a finished request of a gateway.
type finishedRequest struct {
	begun  Elapsed
	origin uint64
}

// finishedOf returns the known finished requests with a part, in the order in which they began, and
// since when they are known: a gateway keeps its last ones only.
func (t *Tracker) finishedOf(now Elapsed, part Part) (out []finishedRequest, since Elapsed) {
	since = math.MinInt64
	add := func(origin uint64, begun []Elapsed) {
		if len(begun) >= commonFinishes {
			since = max(since, begun[0])
		}
		for _, at := range begun {
			if now-at <= evidenceWindow {
				out = append(out, finishedRequest{at, origin})
			}
		}
	}
	if k, ok := t.known.Peek(part); ok {
		add(t.origin, k.begun)
	}
	for origin, f := range t.ledger.parts[part].finished {
		if origin != t.origin {
			add(origin, f.value.begun())
		}
	}
	slices.SortFunc(out, func(a, b finishedRequest) int { return cmp.Compare(a.begun, b.begun) })
	return out, since
}

// atDifferentMoments returns the ends in order of time. Of ends at the same moment one stays, with the
// most weight.
func atDifferentMoments(ends []Crash) []Crash {
	slices.SortFunc(ends, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	out := ends[:0]
	for _, c := range ends {
		if len(out) == 0 || c.At-out[len(out)-1].At > sameMoment {
			out = append(out, c)
			continue
		}
		last := &out[len(out)-1]
		last.Weight, last.OnTrial = max(last.Weight, c.Weight), last.OnTrial || c.OnTrial
	}
	return out
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
	c := t.evidence(now, now, part, t.explained(part))
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
