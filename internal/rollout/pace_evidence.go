package rollout

import "maps"

// paceTest is the sequential test of the paces of the target. It is apart from that of the times to
// the first byte, which hold queueing: at equal load these speak for a version whose streams are
// several times slower.
type paceTest struct {
	// own is the evidence of this process, others that of the other processes, and workers the sum of
	// both by worker.
	own, others Evidence
	workers     Tallies
	test        cusum
	// before is the evidence by worker when the test was last at zero. What spoke for a version before
	// it became slow is left out.
	before Tallies
	// pending are the streams of the target that have had one event.
	pending map[*Pace]struct{}
}

func newPaceTest() paceTest {
	return paceTest{own: NewEvidence(), others: NewEvidence(), workers: Tallies{}, before: Tallies{}, pending: map[*Pace]struct{}{}}
}

func (t *paceTest) add(rise Tallies) {
	t.workers.add(rise)
	var sum Tally
	for _, tally := range rise {
		sum.add(tally)
	}
	t.test.add(sum.slowness())
	if t.test.statistic == 0 {
		t.before = maps.Clone(t.workers)
	}
}

// spread returns the evidence since the test was last at zero, without the workers that speak most
// against the target.
func (t *paceTest) spread() Tally {
	since := maps.Clone(t.workers)
	since.subtract(t.before)
	return withoutSuspects(since, (*Tally).slowness)
}

func (t *paceTest) isBad() bool {
	if t.test.statistic < timedAlarmThreshold {
		return false
	}
	rest := t.spread()
	return rest.slowness() >= minSpreadEvidence
}

func (t *paceTest) isSuspicious() bool {
	if t.test.statistic < suspicion {
		return false
	}
	return speaksAgainst(t.spread())
}

// observePace adds a pace of the target to the evidence.
func (r *TimedRollout) observePace(a Answer, evidence float64) {
	if r.targetIsBad {
		return
	}
	tally := Tally{Answers: 1}
	tally.SlowAgainst, tally.SlowFor = evidenceParts(evidence)
	rise := Evidence{Workers: Tallies{evidenceHash(a.Worker): tally}}
	r.pace.own.Add(rise)
	r.pace.add(rise.Workers)
	r.judge(NewEvidence())
}

// OwnPaces returns the evidence of this process on paces, to be passed on to the others.
func (r *TimedRollout) OwnPaces() Evidence { return r.pace.own.Clone() }

// MergePacesOfOthers adds the sum of what the other processes have observed of paces, as MergeOthers
// does.
func (r *TimedRollout) MergePacesOfOthers(e Evidence) {
	if rise, changed := r.pace.others.Raise(e); changed && !r.targetIsBad {
		r.pace.add(rise.Workers)
		r.judge(NewEvidence())
	}
}
