package quarantine

import (
	"slices"
	"strings"
	"time"
)

// condemn puts a verdict on a part in force.
func (t *Tracker) condemn(now Elapsed, c candidate, version string) Verdict {
	v := Verdict{Part: c.part, Sequence: t.nextSequence(now, c.part), Condemned: true, Version: version, Crashes: c.ends}
	if known := t.ledger.verdicts[c.part]; known != nil && !known.value.ByOperator {
		v.Tries = known.value.Tries + 1
		v.Crashes += known.value.Crashes
	}
	v.Until = now + min(CondemnedFor<<min(v.Tries, 8), maxCondemnedFor)
	t.ledger.mergeVerdict(NoSource, v)
	delete(t.probation, c.part)
	return v
}

// nextSequence returns a sequence above that of the present verdict on a part. Sequences follow the
// time, so that a later decision of another gateway holds even if it did not know this one.
func (t *Tracker) nextSequence(now Elapsed, part Part) int64 {
	sequence := t.firstSequence + now.Milliseconds()
	if known := t.ledger.verdicts[part]; known != nil {
		sequence = max(sequence, known.value.Sequence+1)
	}
	return sequence
}

// isCondemned reports whether requests with a part are refused now.
func (t *Tracker) isCondemned(now Elapsed, part Part) bool {
	v := t.ledger.verdicts[part]
	return v != nil && v.value.Condemned && !t.isOnProbation(now, part)
}

// isOnProbation reports whether a condemnation has ended, so that single requests show whether the
// part still ends workers.
func (t *Tracker) isOnProbation(now Elapsed, part Part) bool {
	since, ok := t.probation[part]
	return ok && now-since > probationDelay
}

// updateProbation finds the parts whose condemnation has ended: its time is over, or no worker has the
// version on which they were condemned.
func (t *Tracker) updateProbation(now Elapsed) {
	for part, v := range t.ledger.verdicts {
		if !v.value.Condemned || now < v.value.Until && !t.isOtherVersion(&v.value) {
			delete(t.probation, part)
			continue
		}
		if _, ok := t.probation[part]; !ok {
			t.probation[part] = now
		}
	}
}

// clear ends the condemnation of a part on probation under which a request has ended in order.
func (t *Tracker) clear(now Elapsed, part Part) (Verdict, bool) {
	known := t.ledger.verdicts[part]
	if known == nil || !known.value.Condemned || !t.isOnProbation(now, part) {
		return Verdict{}, false
	}
	v := Verdict{Part: part, Sequence: t.nextSequence(now, part), Tries: known.value.Tries, Until: now}
	t.ledger.mergeVerdict(NoSource, v)
	delete(t.probation, part)
	return v, true
}

// acquit ends the condemnation of a part under whose ends other gateways have seen requests finish, or
// that is common there and condemned before that was known. Their records may be later than those of
// the ends.
func (t *Tracker) acquit(now Elapsed, part Part) (Verdict, bool) {
	known, p := t.ledger.verdicts[part], t.ledger.parts[part]
	if known == nil || known.value.ByOperator || !t.isCondemned(now, part) || p == nil || len(p.crashes) < minEndedWorkers {
		return Verdict{}, false
	}
	c := t.evidence(now, now, part, nil)
	if !c.isWhole && c.isCommon {
		c = t.evidence(now, now-turnedSettleTime, part, nil)
	}
	if c.ratio > 0 {
		return Verdict{}, false
	}
	v := Verdict{Part: part, Sequence: t.nextSequence(now, part), Tries: known.value.Tries, Until: now}
	t.ledger.mergeVerdict(NoSource, v)
	return v, true
}

// acquitExplained ends the condemnations of parts all of whose ends are those of other condemned ones: sound
// requests that were on the same servers as a fatal one, and sound parts of prompts that fatal ones had.
func (t *Tracker) acquitExplained(now Elapsed, name string) []Verdict {
	var out []Verdict
	for part, known := range t.ledger.verdicts {
		if part.Service != name || known.value.ByOperator || !t.isCondemned(now, part) || !t.isExplainedByOther(now, part) {
			continue
		}
		v := Verdict{Part: part, Sequence: t.nextSequence(now, part), Tries: known.value.Tries, Until: now}
		t.ledger.mergeVerdict(NoSource, v)
		out = append(out, v)
	}
	return out
}

// isExplainedByOther reports whether other condemned parts explain all ends of a part.
func (t *Tracker) isExplainedByOther(now Elapsed, part Part) bool {
	p := t.ledger.parts[part]
	switch {
	case p == nil || len(p.crashes) == 0:
		return false
	case !p.isWhole:
		return t.isExplainedByParts(now, part)
	}
	for other := range t.ledger.verdicts {
		if other.Service == part.Service && t.isCondemned(now, other) && t.hasAllEndsOf(other, part) {
			return true
		}
	}
	return false
}

// isExplainedByParts reports whether each end of a part of prompts is one of another condemned part that has
// ends without it too, so that it is not the other way round. Ends that are not known any more may have been
// its own.
func (t *Tracker) isExplainedByParts(now Elapsed, part Part) bool {
	p := t.ledger.parts[part]
	if len(p.crashes) < t.ledger.verdicts[part].value.Crashes {
		return false
	}
	explained := map[uint64]bool{}
	for other := range t.ledger.verdicts {
		if other == part || other.Service != part.Service || !t.isCondemned(now, other) {
			continue
		}
		o := t.ledger.parts[other]
		if o == nil || len(o.crashes) <= t.sharedEnds(part, other) {
			continue
		}
		for worker := range o.crashes {
			explained[worker] = true
		}
	}
	for worker := range p.crashes {
		if !explained[worker] {
			return false
		}
	}
	return true
}

// hasFailedProbation reports whether a worker has ended under a part on probation.
func (t *Tracker) hasFailedProbation(part Part) bool {
	since, ok := t.probation[part]
	if !ok || t.ledger.parts[part] == nil {
		return false
	}
	for _, c := range t.ledger.parts[part].crashes {
		if c.value.At > since+probationDelay && c.value.Weight >= fullWeight {
			return true
		}
	}
	return false
}

// fullWeight is the weight from which a single end of a worker condemns a part on probation.
const fullWeight = 0.9

// isOtherVersion reports whether no worker of the service has the version on which a part was
// condemned. A verdict of an operator holds for all versions.
func (t *Tracker) isOtherVersion(v *Verdict) bool {
	s := t.services[v.Part.Service]
	return v.Version != "" && !v.ByOperator && s != nil && len(s.versions) > 0 && !slices.Contains(s.versions, v.Version)
}

// Decide returns what to do with a request for a service with some parts.
func (t *Tracker) Decide(now Elapsed, name string, ids []uint64) Decision {
	if len(t.ledger.verdicts) == 0 && len(t.ledger.parts) == 0 {
		return Decision{}
	}
	out := Decision{}
	for _, id := range ids {
		part := Part{name, id}
		if t.isCondemned(now, part) {
			return Decision{Action: Refuse, Part: part}
		}
		if out.Action == Send && t.isSuspected(now, part) {
			out = Decision{Action: SendAlone, Part: part, IsWhole: t.isWhole(part), OnProbation: t.isOnProbation(now, part)}
		}
	}
	return out
}

// isSuspected reports whether requests with a part are sent one at a time.
func (t *Tracker) isSuspected(now Elapsed, part Part) bool {
	if t.isOnProbation(now, part) {
		return true
	}
	p := t.ledger.parts[part]
	if p == nil || len(p.crashes) < minSuspectEnds {
		return false
	}
	explained := t.explained(part)
	c := t.evidence(now, now, part, explained)
	if !c.isWhole && c.isCommon {
		c = t.evidence(now, now-turnedSettleTime, part, explained)
	}
	return c.ends >= minSuspectEnds && c.ratio >= suspectThreshold
}

// Latest returns the latest verdict on each part, also on those that are not condemned any more.
func (t *Tracker) Latest() []Verdict {
	out := make([]Verdict, 0, len(t.ledger.verdicts))
	for _, v := range t.ledger.verdicts {
		out = append(out, v.value)
	}
	return out
}

// DroppedVerdicts returns how many verdicts made room for later ones.
func (t *Tracker) DroppedVerdicts() int { return t.ledger.droppedVerdicts }

// Verdicts returns the condemnations in force and those whose parts are on probation, by service and
// part.
func (t *Tracker) Verdicts() []Verdict {
	var out []Verdict
	for _, v := range t.ledger.verdicts {
		if v.value.Condemned {
			out = append(out, v.value)
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		if c := strings.Compare(a.Part.Service, b.Part.Service); c != 0 {
			return c
		}
		if a.Part.ID < b.Part.ID {
			return -1
		}
		return 1
	})
	return out
}

// Set condemns a part for a time on behalf of an operator.
func (t *Tracker) Set(now Elapsed, part Part, lifetime time.Duration) Verdict {
	v := Verdict{Part: part, Sequence: t.nextSequence(now, part), Condemned: true, ByOperator: true, Until: now + lifetime}
	t.ledger.mergeVerdict(NoSource, v)
	return v
}

// Lift ends the condemnation of a part. What happened before does not accuse it any more. It reports
// whether the part was condemned.
func (t *Tracker) Lift(now Elapsed, part Part) (Verdict, bool) {
	known := t.ledger.verdicts[part]
	if known == nil || !known.value.Condemned {
		return Verdict{}, false
	}
	v := Verdict{Part: part, Sequence: t.nextSequence(now, part), ByOperator: true, Until: now}
	t.ledger.mergeVerdict(NoSource, v)
	return v, true
}
