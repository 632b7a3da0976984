package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// Exported API of Table:
//
//	NewTable(self string, cfg TableConfig) *Table
//	(*Table).Apply(now, api.Member, Source) (Record, bool)   a record from the member or from a peer
//	(*Table).ApplyList(now, []platform.Instance) []Record    the platform's lagging list
//	(*Table).MarkDead(now, instance, incarnation) (Record, bool)    connection refused, process gone
//	(*Table).Observe(now, instance, incarnation, Signals) (Record, bool)    a probe or load report
//	(*Table).Expire(now) []Record                            records that were dropped
//	(*Table).Get(now, instance) (Record, bool)
//	(*Table).Each(now, func(Record) bool)
//	(*Table).Len() int; (*Table).Version() uint64
//
// The boolean results report whether the effective state or the record changed.

// Source states how a record arrived.
type Source int

// The sources of a record.
const (
	// FromPeer is a record relayed by another member.
	FromPeer Source = iota
	// FromMember is a record sent by the member that it describes.
	FromMember
)

// TableConfig holds the times of a Table; zero values mean the defaults.
type TableConfig struct {
	// ListTrust is how long the member's own word outweighs the instance list;
	// default 15 s. It exceeds the lag of the list.
	ListTrust time.Duration
	// ExpireAfter is how long a member that the list no longer holds is kept after
	// its last word; default 30 s.
	ExpireAfter time.Duration
	// TombstoneTime is how long relayed records of a dropped member are ignored;
	// default 10 min, longer than any peer keeps relaying one.
	TombstoneTime time.Duration
	// MaxRecords bounds the table; default 8,192.
	MaxRecords int
}

const (
	defaultListTrust     = 15 * time.Second
	defaultExpireAfter   = 30 * time.Second
	defaultTombstoneTime = 10 * time.Minute
	defaultMaxRecords    = 8192
	// massLossFactor lengthens ExpireAfter when the list lost more than half of
	// the members at once, which is more often a fault of the list.
	massLossFactor = 10
)

func (c TableConfig) withDefaults() TableConfig {
	c.ListTrust = orDefault(c.ListTrust, defaultListTrust)
	c.ExpireAfter = orDefault(c.ExpireAfter, defaultExpireAfter)
	c.TombstoneTime = orDefault(c.TombstoneTime, defaultTombstoneTime)
	c.MaxRecords = orDefault(c.MaxRecords, defaultMaxRecords)
	return c
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Signals are the two signals of a sidecar, and whether it leaves.
type Signals struct {
	// Ready means that every assigned version answers.
	Ready bool
	// Alive means that the main loop's tick is fresh.
	Alive bool
	// Leaving means that the process stops gracefully.
	Leaving bool
}

// Record is what the table knows of one member.
type Record struct {
	// Member is the member's own record. Incarnation 0 means that only the
	// instance list names it; such a member gets no work.
	Member api.Member
	// State is the effective state: the member's own word, the list and the local
	// observations taken together.
	State api.MemberState
	// Listed reports whether the last instance list holds the member.
	Listed bool
}

// Usable reports whether the member may get new work.
func (r Record) Usable() bool {
	return r.State == api.MemberStateReady && r.Member.Incarnation != 0
}

// record is kept small: a table holds one for each of some thousand members.
type record struct {
	name     string
	listedAt int64 // the last list that held the member
	member   *api.Member
	listed   *platform.Instance
	newsAt   int64 // when the member's word last rose or was heard directly
	missing  int64 // since when the list lacks the member; 0 when it holds it
	// observed is the last probe's outcome for the record's incarnation.
	observed api.MemberState
}

type tombstone struct {
	incarnation int
	until       int64
}

// Table holds the known members except the process itself.
type Table struct {
	self    string
	cfg     TableConfig
	records map[string]*record
	// order holds the records in the order of their arrival, so that a run depends
	// on its seed alone.
	order   []*record
	graves  map[string]tombstone
	version uint64
	// massLoss is set while the list lacks more than half of the members.
	massLoss bool
	// listedAt is when the last list came. Members expire by it and not by the
	// clock, so that none does while the list cannot be read.
	listedAt int64
}

// NewTable returns an empty table of the process named self.
func NewTable(self string, cfg TableConfig) *Table {
	return &Table{
		self:    self,
		cfg:     cfg.withDefaults(),
		records: map[string]*record{},
		graves:  map[string]tombstone{},
	}
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.records) }

// Version rises with every change.
func (t *Table) Version() uint64 { return t.version }

// Get returns the record of an instance.
func (t *Table) Get(now time.Time, instance string) (Record, bool) {
	r, ok := t.records[instance]
	if !ok {
		return Record{}, false
	}
	return t.export(now.UnixNano(), r), true
}

// Each calls f for every record until f returns false.
func (t *Table) Each(now time.Time, f func(Record) bool) {
	at := now.UnixNano()
	for _, r := range t.order {
		if !f(t.export(at, r)) {
			return
		}
	}
}

func (t *Table) export(at int64, r *record) Record {
	return Record{Member: r.describe(), State: t.state(at, r), Listed: r.missing == 0}
}

// place returns what the choice of peers and watchers needs.
func (r *record) place() (address, domain, role string) {
	if r.member != nil {
		return r.member.Address, r.member.FailureDomain, r.member.Role
	}
	return r.listed.Address, r.listed.FailureDomain, r.listed.Role
}

// describe returns the member's own record, or what the list says.
func (r *record) describe() api.Member {
	if r.member != nil {
		return *r.member
	}
	return api.Member{
		Instance:      r.listed.Name,
		Address:       r.listed.Address,
		FailureDomain: r.listed.FailureDomain,
		Region:        r.listed.Region,
		Role:          r.listed.Role,
		State:         api.MemberStateBooting,
	}
}

// state weighs the sources: a local observation of death first, then the
// member's own end, then the list when the member has been silent, then the last
// probe, then the member's record.
func (t *Table) state(at int64, r *record) api.MemberState {
	if r.observed == api.MemberStateDead {
		return api.MemberStateDead
	}
	own := api.MemberStateBooting
	if r.member != nil {
		own = r.member.State
	}
	if own == api.MemberStateDead || own == api.MemberStateLeaving {
		return own
	}
	silent := r.member == nil || at-r.newsAt > int64(t.cfg.ListTrust)
	if r.listed != nil && r.listed.Leaving && silent {
		return api.MemberStateLeaving
	}
	if r.observed != "" {
		return r.observed
	}
	return own
}
