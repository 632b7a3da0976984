package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// supersedes reports whether record a of a member is newer than record b.
func supersedes(a, b *api.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Apply merges a record issued by a member, received from source. It returns the
// resulting record and whether the record or its effective state changed. A record
// with an earlier incarnation, or with an earlier sequence number of the same
// incarnation, is ignored.
func (t *Table) Apply(now time.Time, m api.Member, source Source) (Record, bool) {
	if m.Instance == t.self || m.Instance == "" || m.Incarnation <= 0 {
		return Record{}, false
	}
	at := now.UnixNano()
	if source == FromPeer && t.hasTombstone(m) {
		return Record{}, false
	}
	r, ok := t.records[m.Instance]
	if !ok {
		if len(t.records) >= t.cfg.MaxRecords {
			return Record{}, false
		}
		r = t.add(&record{name: m.Instance, lastContactAt: at, missingSince: at})
	}
	return t.applyChange(at, r, func() bool { return t.mergeMember(at, r, &m, source) })
}

func (t *Table) add(r *record) *record {
	t.records[r.name] = r
	t.ordered = append(t.ordered, r)
	return r
}

// hasTombstone reports whether the incarnation of m or a later one was dropped from
// the table.
func (t *Table) hasTombstone(m api.Member) bool {
	entry, ok := t.tombstones[m.Instance]
	return ok && m.Incarnation <= entry.incarnation
}

// mergeMember merges a record issued by the member and reports whether it replaced
// the stored one.
func (t *Table) mergeMember(at int64, r *record, m *api.Member, source Source) bool {
	if r.member != nil && supersedes(r.member, m) {
		return false
	}
	if source == FromMember {
		delete(t.tombstones, m.Instance)
		r.lastContactAt = at
		if r.observedState == api.MemberStateDead {
			r.observedState = ""
		}
	}
	if r.member != nil && !supersedes(m, r.member) {
		return false
	}
	if r.member == nil || m.Incarnation > r.member.Incarnation || !isTerminal(r.observedState) {
		r.observedState = ""
	}
	copied := *m
	r.member = &copied
	r.lastContactAt = at
	return true
}

// isTerminal reports whether a state is final for its incarnation.
func isTerminal(s api.MemberState) bool {
	return s == api.MemberStateDead || s == api.MemberStateLeaving
}

// applyChange runs update and reports whether the record or its effective state
// changed.
func (t *Table) applyChange(at int64, r *record, update func() bool) (Record, bool) {
	before := t.effectiveState(at, r)
	changed := update()
	after := t.toRecord(at, r)
	if after.State == before && !changed {
		return after, false
	}
	t.version++
	return after, true
}

// MarkDead records that the process of an incarnation no longer runs, for example
// because its address refuses connections. The mark is local. A record sent
// directly by the member or a higher incarnation clears it.
func (t *Table) MarkDead(now time.Time, instance string, incarnation int) (Record, bool) {
	return t.setObservedState(now, instance, incarnation, api.MemberStateDead)
}

// Observe records the signals from a probe or load report. They also prove that the
// incarnation still runs. It returns the resulting record and whether the record or
// its effective state changed; an unknown instance or another incarnation changes
// nothing.
func (t *Table) Observe(now time.Time, instance string, incarnation int, s Signals) (Record, bool) {
	state := api.MemberStateReady
	switch {
	case s.Leaving:
		state = api.MemberStateLeaving
	case !s.Alive:
		state = api.MemberStateWedged
	case !s.Ready:
		state = api.MemberStateBooting
	}
	return t.setObservedState(now, instance, incarnation, state)
}

func (t *Table) setObservedState(now time.Time, instance string, incarnation int, state api.MemberState) (Record, bool) {
	r, ok := t.records[instance]
	if !ok || r.member == nil || r.member.Incarnation != incarnation {
		return Record{}, false
	}
	at := now.UnixNano()
	return t.applyChange(at, r, func() bool {
		// Leaving is final for an incarnation; only dead may follow it.
		if r.observedState == api.MemberStateLeaving && state != api.MemberStateDead {
			return false
		}
		r.observedState = state
		if state != api.MemberStateDead {
			r.lastContactAt = at
		}
		return false
	})
}

// ApplyList merges the platform's instance list and returns the changed records.
// The list adds members. It marks members from which nothing was received recently as
// leaving, and members missing from it expire later. An empty list is treated as a
// fault and ignored. The table retains the slice.
func (t *Table) ApplyList(now time.Time, list []platform.Instance) []Record {
	if len(list) == 0 {
		return nil
	}
	at := now.UnixNano()
	var changed []Record
	t.listedAt = at
	for i := range list {
		if r, ok := t.applyListEntry(at, &list[i]); ok {
			changed = append(changed, r)
		}
	}
	missing := 0
	for _, r := range t.ordered {
		if r.listedAt == at {
			continue
		}
		missing++
		r.listEntry = t.retainedListEntry(r)
		if r.missingSince == 0 {
			r.missingSince = at
		}
	}
	t.massLoss = 2*missing > len(t.records)
	return changed
}

// retainedListEntry returns the list entry that a member missing from the list
// keeps. A member without a record of its own keeps its entry until it expires.
func (t *Table) retainedListEntry(r *record) *platform.Instance {
	if r.member == nil {
		return r.listEntry
	}
	return nil
}

func (t *Table) applyListEntry(at int64, instance *platform.Instance) (Record, bool) {
	if instance.Name == t.self || instance.Name == "" {
		return Record{}, false
	}
	r, ok := t.records[instance.Name]
	if !ok {
		if len(t.records) >= t.cfg.MaxRecords {
			return Record{}, false
		}
		r = t.add(&record{name: instance.Name, listEntry: instance, listedAt: at, lastContactAt: at})
		t.version++
		return t.toRecord(at, r), true
	}
	return t.applyChange(at, r, func() bool {
		r.listEntry, r.listedAt = instance, at
		r.missingSince = 0
		return false
	})
}

// Expire drops members that are missing from the list and from which nothing was
// received recently. It returns their last records with state dead.
func (t *Table) Expire(now time.Time) []Record {
	at := now.UnixNano()
	for name, entry := range t.tombstones {
		if at > entry.expiresAt {
			delete(t.tombstones, name)
		}
	}
	minAge := int64(t.cfg.ExpireAfter)
	if t.massLoss {
		minAge *= massLossFactor
	}
	var dropped []Record
	kept := t.ordered[:0]
	for _, r := range t.ordered {
		if r.missingSince == 0 || !t.isExpired(at, r, minAge) {
			kept = append(kept, r)
			continue
		}
		last := t.toRecord(at, r)
		last.State = api.MemberStateDead
		dropped = append(dropped, last)
		delete(t.records, r.name)
		t.tombstones[r.name] = tombstone{incarnation: last.Member.Incarnation, expiresAt: at + int64(t.cfg.TombstoneTTL)}
		t.version++
	}
	clear(t.ordered[len(kept):])
	t.ordered = kept
	return dropped
}

// isExpired reports whether a member missing from the list may be dropped. minAge
// applies unless the member is dead; a dead member is dropped after
// ListOverrideDelay, because the list may not contain a recent restart yet.
func (t *Table) isExpired(at int64, r *record, minAge int64) bool {
	if t.effectiveState(at, r) == api.MemberStateDead {
		minAge = int64(t.cfg.ListOverrideDelay)
	}
	return t.listedAt-r.missingSince > minAge && at-r.lastContactAt > minAge
}
