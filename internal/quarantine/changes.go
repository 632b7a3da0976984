package quarantine

import (
	"cmp"
	"slices"
)

// ChangedSince returns at most limit records that changed after a version, the oldest changes first,
// and the version up to which they reach. Those that came from the reader are left out, and so are whole requests
// with one end beyond a share of the limit: nearly all of them are never seen again, and the others must not wait
// for them.
func (l *Ledger) ChangedSince(version int64, limit int, reader Source) ([]Record, int64) {
	if version >= l.version {
		return nil, l.version
	}
	type change struct {
		versioned[Record]
		isSeenOnce bool
	}
	var changed []change
	add := func(at int64, from Source, isSeenOnce bool, r Record) {
		if at > version && (from != reader || reader == NoSource) {
			changed = append(changed, change{versioned[Record]{value: r, version: at}, isSeenOnce})
		}
	}
	for part, p := range l.parts {
		isSeenOnce := p.isWhole && len(p.crashes) == 1
		for _, c := range p.crashes {
			crash := c.value
			add(c.version, c.from, isSeenOnce, Record{Part: part, Crash: &crash})
		}
		for _, f := range p.finished {
			finished := f.value
			add(f.version, f.from, false, Record{Part: part, Finished: &finished})
		}
	}
	for part, v := range l.verdicts {
		verdict := v.value
		add(v.version, v.from, false, Record{Part: part, Verdict: &verdict})
	}
	slices.SortFunc(changed, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	seenOnce := 0
	changed = slices.DeleteFunc(changed, func(c change) bool {
		if c.isSeenOnce {
			seenOnce++
		}
		return c.isSeenOnce && seenOnce > max(limit/seenOnceShare, 1)
	})
	upTo := l.version
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].version
	}
	out := make([]Record, 0, len(changed))
	for _, c := range changed {
		out = append(out, c.value)
	}
	return out, upTo
}

// seenOnceShare divides the records of a message: whole requests with one end may fill one part.
const seenOnceShare = 16
