package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// newer reports whether record a of a member supersedes b.
func newer(a, b *api.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Apply takes a member's record. A record of an earlier incarnation, or of an
// earlier sequence number of the same one, changes nothing.
func (t *Table) Apply(now time.Time, m api.Member, source Source) (Record, bool) {
	if m.Instance == t.self || m.Instance == "" || m.Incarnation <= 0 {
		return Record{}, false
	}
	at := now.UnixNano()
	if source == FromPeer && t.buried(m) {
		return Record{}, false
	}
	r, ok := t.records[m.Instance]
	if !ok {
		if len(t.records) >= t.cfg.MaxRecords {
			return Record{}, false
		}
		r = t.add(&record{name: m.Instance, newsAt: at, missing: at})
	}
	return t.changing(at, r, func() bool { return t.update(at, r, &m, source) })
}

func (t *Table) add(r *record) *record {
	t.records[r.name] = r
	t.order = append(t.order, r)
	return r
}

func (t *Table) buried(m api.Member) bool {
	grave, ok := t.graves[m.Instance]
	return ok && m.Incarnation <= grave.incarnation
}

// update reports whether the member's record itself changed.
func (t *Table) update(at int64, r *record, m *api.Member, source Source) bool {
	if r.member != nil && newer(r.member, m) {
		return false
	}
	if source == FromMember {
		delete(t.graves, m.Instance)
		r.newsAt = at
		if r.observed == api.MemberStateDead {
			r.observed = ""
		}
	}
	if r.member != nil && !newer(m, r.member) {
		return false
	}
	if r.member == nil || m.Incarnation > r.member.Incarnation || !ended(r.observed) {
		r.observed = ""
	}
	copied := *m
	r.member = &copied
	r.newsAt = at
	return true
}

// ended reports whether a state is final for its incarnation.
func ended(s api.MemberState) bool {
	return s == api.MemberStateDead || s == api.MemberStateLeaving
}

// changing runs an update and reports whether record or state changed.
func (t *Table) changing(at int64, r *record, update func() bool) (Record, bool) {
	before := t.state(at, r)
	changed := update()
	after := t.export(at, r)
	if after.State == before && !changed {
		return after, false
	}
	t.version++
	return after, true
}

// MarkDead records that the process of an incarnation is gone, for example
// because its address refuses connections. The mark is local and is lifted by a
// word of the member itself or by a higher incarnation.
func (t *Table) MarkDead(now time.Time, instance string, incarnation int) (Record, bool) {
	return t.observe(now, instance, incarnation, api.MemberStateDead)
}

// Observe takes the signals of a probe or load report. They count as the word of
// the member that its incarnation still runs.
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
	return t.observe(now, instance, incarnation, state)
}

func (t *Table) observe(now time.Time, instance string, incarnation int, state api.MemberState) (Record, bool) {
	r, ok := t.records[instance]
	if !ok || r.member == nil || r.member.Incarnation != incarnation {
		return Record{}, false
	}
	at := now.UnixNano()
	return t.changing(at, r, func() bool {
		// A process that said it leaves does not come back in the same incarnation.
		if r.observed == api.MemberStateLeaving && state != api.MemberStateDead {
			return false
		}
		r.observed = state
		if state != api.MemberStateDead {
			r.newsAt = at
		}
		return false
	})
}

// ApplyList takes the platform's instance list and returns the changed records.
// The list adds members and, for members that have been silent, marks them as
// leaving or lets them expire; an empty list is taken for a fault and ignored. The
// table keeps the slice.
func (t *Table) ApplyList(now time.Time, list []platform.Instance) []Record {
	if len(list) == 0 {
		return nil
	}
	at := now.UnixNano()
	var changed []Record
	t.listedAt = at
	for i := range list {
		if r, ok := t.list(at, &list[i]); ok {
			changed = append(changed, r)
		}
	}
	missing := 0
	for _, r := range t.order {
		if r.listedAt == at {
			continue
		}
		missing++
		r.listed = t.unlisted(r)
		if r.missing == 0 {
			r.missing = at
		}
	}
	t.massLoss = 2*missing > len(t.records)
	return changed
}

// unlisted keeps the list's description of a member that has no record of its
// own until it expires.
func (t *Table) unlisted(r *record) *platform.Instance {
	if r.member == nil {
		return r.listed
	}
	return nil
}

func (t *Table) list(at int64, instance *platform.Instance) (Record, bool) {
	if instance.Name == t.self || instance.Name == "" {
		return Record{}, false
	}
	r, ok := t.records[instance.Name]
	if !ok {
		if len(t.records) >= t.cfg.MaxRecords {
			return Record{}, false
		}
		r = t.add(&record{name: instance.Name, listed: instance, listedAt: at, newsAt: at})
		t.version++
		return t.export(at, r), true
	}
	return t.changing(at, r, func() bool {
		r.listed, r.listedAt = instance, at
		r.missing = 0
		return false
	})
}

// Expire drops members that the list lacks and that have been silent, and returns
// their last records with state dead.
func (t *Table) Expire(now time.Time) []Record {
	at := now.UnixNano()
	for name, grave := range t.graves {
		if at > grave.until {
			delete(t.graves, name)
		}
	}
	wait := int64(t.cfg.ExpireAfter)
	if t.massLoss {
		wait *= massLossFactor
	}
	var dropped []Record
	kept := t.order[:0]
	for _, r := range t.order {
		if r.missing == 0 || !t.expired(at, r, wait) {
			kept = append(kept, r)
			continue
		}
		last := t.export(at, r)
		last.State = api.MemberStateDead
		dropped = append(dropped, last)
		delete(t.records, r.name)
		t.graves[r.name] = tombstone{incarnation: last.Member.Incarnation, until: at + int64(t.cfg.TombstoneTime)}
		t.version++
	}
	clear(t.order[len(kept):])
	t.order = kept
	return dropped
}

// expired reports whether a member missing from the list may go. A dead one goes
// after ListTrust, because the list may not hold a fresh restart yet.
func (t *Table) expired(at int64, r *record, wait int64) bool {
	if t.state(at, r) == api.MemberStateDead {
		wait = int64(t.cfg.ListTrust)
	}
	return t.listedAt-r.missing > wait && at-r.newsAt > wait
}
