package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// Exported API of Table:
//
//	NewTable(self string, cfg TableConfig) *Table
//	(*Table).Apply(now, api.Member, Source) (Record, bool)   record from the member or a peer
//	(*Table).ApplyList(now, []platform.Instance) []Record    instance list of the platform, which lags
//	(*Table).MarkDead(now, instance, incarnation) (Record, bool)    connection refused, process exited
//	(*Table).Observe(now, instance, incarnation, Signals) (Record, bool)    probe or load report
//	(*Table).Expire(now) []Record                            returns the dropped records
//	(*Table).Get(now, instance) (Record, bool)
//	(*Table).Each(now, func(Record) bool)
//	(*Table).Len() int; (*Table).Version() uint64
//
// The boolean results of Apply, MarkDead and Observe report whether the record or
// its effective state changed; that of Get reports whether the instance is known.

// Source is the kind of sender of a member record.
type Source int

// The sources of a record.
const (
	// FromPeer is a record relayed by another member.
	FromPeer Source = iota
	// FromMember is a record sent by the member that it describes.
	FromMember
)

// TableConfig holds the timeouts and limits of a Table. Zero values select the
// defaults.
type TableConfig struct {
	// ListOverrideDelay is how long a member must be silent before the instance
	// list may mark it as leaving; default 15 s. It exceeds the lag of the list.
	ListOverrideDelay time.Duration
	// ExpireAfter is how long a member must be silent and missing from the instance
	// list before it is dropped; default 30 s.
	ExpireAfter time.Duration
	// TombstoneTTL is how long relayed records of a dropped member are ignored;
	// default 10 min, which is longer than any peer relays one.
	TombstoneTTL time.Duration
	// MaxRecords bounds the number of members in the table; default 8,192.
	MaxRecords int
}

const (
	defaultListOverrideDelay = 15 * time.Second
	defaultExpireAfter       = 30 * time.Second
	defaultTombstoneTTL      = 10 * time.Minute
	defaultMaxRecords        = 8192
	// massLossFactor multiplies ExpireAfter while more than half of the members are
	// missing from the list, which is more often a fault of the list than a loss of
	// the members.
	massLossFactor = 10
)

func (c TableConfig) withDefaults() TableConfig {
	c.ListOverrideDelay = orDefault(c.ListOverrideDelay, defaultListOverrideDelay)
	c.ExpireAfter = orDefault(c.ExpireAfter, defaultExpireAfter)
	c.TombstoneTTL = orDefault(c.TombstoneTTL, defaultTombstoneTTL)
	c.MaxRecords = orDefault(c.MaxRecords, defaultMaxRecords)
	return c
}

// orDefault returns v, or fallback if v is the zero value.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Signals are the health signals of a sidecar.
type Signals struct {
	// Ready means that every assigned version answers.
	Ready bool
	// Alive means that the main loop has ticked recently.
	Alive bool
	// Leaving means that the process is shutting down gracefully.
	Leaving bool
}

// Record is a copy of the table's information on one member.
type Record struct {
	// Member is the record issued by the member. Incarnation 0 means that the
	// member is known only from the instance list; it gets no work.
	Member api.Member
	// State is the effective state, derived from the member's record, the instance
	// list and the local observations.
	State api.MemberState
	// Listed reports whether the last instance list contains the member.
	Listed bool
}

// Usable reports whether the member may get new work.
func (r Record) Usable() bool {
	return r.State == api.MemberStateReady && r.Member.Incarnation != 0
}

// record is the internal form of one member. Times are Unix nanoseconds, which
// keeps it small: a table holds one for each of some thousand members.
type record struct {
	name          string
	listedAt      int64 // time of the last list that contains the member
	member        *api.Member
	listEntry     *platform.Instance
	lastContactAt int64 // when a newer record or a direct message of the member last arrived
	missingSince  int64 // when the member was first missing from the list; 0 while it is listed
	// observedState is the result of the last probe of the record's incarnation;
	// empty if there is none.
	observedState api.MemberState
}

// tombstone blocks relayed records of a dropped member. expiresAt is in Unix
// nanoseconds.
type tombstone struct {
	incarnation int
	expiresAt   int64
}

// Table holds the known members except the process itself.
type Table struct {
	self    string
	cfg     TableConfig
	records map[string]*record
	// ordered holds the records in insertion order. Iterating over it instead of
	// the map makes runs reproducible from their seed.
	ordered    []*record
	tombstones map[string]tombstone
	version    uint64
	// massLoss is set while more than half of the members are missing from the
	// list.
	massLoss bool
	// listedAt is when the last list arrived, in Unix nanoseconds. Expiry is
	// measured against it instead of the clock, so that no member expires while the
	// list cannot be read.
	listedAt int64
}

// NewTable returns an empty table for the process with the instance name self.
func NewTable(self string, cfg TableConfig) *Table {
	return &Table{
		self:       self,
		cfg:        cfg.withDefaults(),
		records:    map[string]*record{},
		tombstones: map[string]tombstone{},
	}
}

// Len returns the number of members, without the process itself.
func (t *Table) Len() int { return len(t.records) }

// Version returns a counter that increases with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Get returns the record of an instance. It returns false if the instance is
// unknown.
func (t *Table) Get(now time.Time, instance string) (Record, bool) {
	r, ok := t.records[instance]
	if !ok {
		return Record{}, false
	}
	return t.toRecord(now.UnixNano(), r), true
}

// Each calls f for every record, in insertion order, until f returns false.
func (t *Table) Each(now time.Time, f func(Record) bool) {
	at := now.UnixNano()
	for _, r := range t.ordered {
		if !f(t.toRecord(at, r)) {
			return
		}
	}
}

func (t *Table) toRecord(at int64, r *record) Record {
	return Record{Member: r.toMember(), State: t.effectiveState(at, r), Listed: r.missingSince == 0}
}

// peerAttributes returns the attributes used to choose peers and watchers.
func (r *record) peerAttributes() (address, domain, role string) {
	if r.member != nil {
		return r.member.Address, r.member.FailureDomain, r.member.Role
	}
	return r.listEntry.Address, r.listEntry.FailureDomain, r.listEntry.Role
}

// toMember returns the record issued by the member, or one built from the instance
// list.
func (r *record) toMember() api.Member {
	if r.member != nil {
		return *r.member
	}
	return api.Member{
		Instance:      r.listEntry.Name,
		Address:       r.listEntry.Address,
		FailureDomain: r.listEntry.FailureDomain,
		Region:        r.listEntry.Region,
		Role:          r.listEntry.Role,
		State:         api.MemberStateBooting,
	}
}

// effectiveState derives a member's state. In order of precedence: a local
// observation that the member is dead, a terminal state in the member's own record,
// the list's leaving mark if nothing was received from the member for
// ListOverrideDelay, the last probe, and the state in the member's own record.
func (t *Table) effectiveState(at int64, r *record) api.MemberState {
	if r.observedState == api.MemberStateDead {
		return api.MemberStateDead
	}
	reported := api.MemberStateBooting
	if r.member != nil {
		reported = r.member.State
	}
	if reported == api.MemberStateDead || reported == api.MemberStateLeaving {
		return reported
	}
	silent := r.member == nil || at-r.lastContactAt > int64(t.cfg.ListOverrideDelay)
	if r.listEntry != nil && r.listEntry.Leaving && silent {
		return api.MemberStateLeaving
	}
	if r.observedState != "" {
		return r.observedState
	}
	return reported
}
