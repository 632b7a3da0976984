package membership

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
)

// Exported API of Exchange:
//
//	NewExchange(self api.Member, cfg ExchangeConfig, rng *rand.Rand) *Exchange
//	(*Exchange).Handle(now, ExchangeEvent) []ExchangeEffect
//	(*Exchange).Snapshot() *manifest.Snapshot      nil until a manifest is in force
//	(*Exchange).Revision() api.Revision            of the snapshot; zero without one
//	(*Exchange).Table() *Table
//	(*Exchange).Self() api.Member
//	(*Exchange).Alarms() []string
//	(*Exchange).Rejected() []api.RejectedManifest
//	(*Exchange).StoreReachable() bool              outcome of the last own call
//	(*Exchange).Watching() bool
//
// The daemon sends a Tick every 50 to 100 ms and each event as it happens. It
// carries out the effects in their order. Every WatchStore, ReadStore,
// ReadInstances, FetchConfig and SendDigest is answered by one of the events
// named at the effect; an answer that never comes is made up for by a timeout.

// Peer addresses another daemon.
type Peer struct {
	// Instance is empty for an address from the settings.
	Instance string
	// Address is host:port.
	Address string
}

// ExchangeEvent is an input of Exchange.
type ExchangeEvent interface{ exchangeEvent() }

// ExchangeEffect is an output of Exchange.
type ExchangeEffect interface{ exchangeEffect() }

type (
	// Tick lets time pass.
	Tick struct{}

	// DigestReceived is an exchange.digest request of a peer; it is answered by the
	// AnswerDigest among the effects.
	DigestReceived struct {
		From   Peer
		Digest api.Digest
	}

	// DigestAnswered is the response to a SendDigest.
	DigestAnswered struct {
		From   Peer
		Digest api.Digest
	}

	// ConfigReceived is a manifest from a peer: a config.offer, the response to a
	// config.fetch, or the one that came with a refused attempt. An entry may also
	// send what it has just committed, instead of waiting for a watcher.
	ConfigReceived struct {
		From  Peer
		Offer api.ConfigOffer
	}

	// FetchFailed says that a FetchConfig got no manifest.
	FetchFailed struct{ From Peer }

	// ConfigRequested is a config.fetch request of a peer; it is answered by the
	// AnswerConfig among the effects, or refused when there is none.
	ConfigRequested struct{ From Peer }

	// StoreRead is the outcome of a WatchStore or ReadStore that returned the
	// object. Object.Value is the manifest.
	StoreRead struct{ Object platform.Object }

	// StoreUnchanged is the outcome of a WatchStore whose wait passed.
	StoreUnchanged struct{}

	// StoreEmpty is the outcome of a ReadStore that found no object.
	StoreEmpty struct{}

	// StoreFailed is the outcome of a WatchStore or ReadStore that failed.
	StoreFailed struct {
		// RetryAfter is the store's advice; 0 means none.
		RetryAfter time.Duration
	}

	// InstanceList is the outcome of a ReadInstances. The table keeps the slice.
	InstanceList struct{ Instances []platform.Instance }

	// InstanceListFailed is the outcome of a ReadInstances that failed.
	InstanceListFailed struct{}

	// MemberSeen is a record sent by the member that it describes (hello).
	MemberSeen struct{ Member api.Member }

	// MemberObserved is a probe or load report of a member.
	MemberObserved struct {
		Instance    string
		Incarnation int
		Signals     Signals
	}

	// MemberFailed says that a member's process is gone. The daemon goes on trying
	// to reach a dead member that is listed, at growing intervals; its hello
	// (MemberSeen) brings it back.
	MemberFailed struct {
		Instance    string
		Incarnation int
	}

	// SelfChanged replaces what the process says of itself. The sequence number is
	// set by Exchange.
	SelfChanged struct{ Member api.Member }

	// CutBackDecided is a reduction of a traffic share decided here.
	CutBackDecided struct{ CutBack api.CutBack }

	// DemandMeasured is a new figure of this entry. Its sequence must rise across
	// restarts too, so the entry takes it from the clock.
	DemandMeasured struct{ Demand api.Demand }
)

type (
	// SendDigest calls exchange.digest; answered by DigestAnswered, or not at all.
	SendDigest struct {
		To     Peer
		Digest api.Digest
	}

	// AnswerDigest is the response to a DigestReceived.
	AnswerDigest struct {
		To     Peer
		Digest api.Digest
	}

	// FetchConfig calls config.fetch; answered by ConfigReceived or FetchFailed.
	FetchConfig struct{ From Peer }

	// AnswerConfig is the response to a ConfigRequested.
	AnswerConfig struct {
		To    Peer
		Offer api.ConfigOffer
	}

	// WatchStore waits for a version of the manifest other than After; answered by
	// StoreRead, StoreUnchanged or StoreFailed.
	WatchStore struct {
		After int64
		Wait  time.Duration
	}

	// ReadStore reads the manifest once; answered by StoreRead, StoreEmpty or
	// StoreFailed.
	ReadStore struct{}

	// ReadInstances reads the instance list; answered by InstanceList or
	// InstanceListFailed.
	ReadInstances struct{}

	// ApplyConfig puts a snapshot in force. Its revision exceeds every earlier one.
	ApplyConfig struct{ Snapshot *manifest.Snapshot }

	// RejectConfig says that a manifest is invalid and will not be applied.
	RejectConfig struct{ Rejected api.RejectedManifest }

	// RaiseAlarm and ClearAlarm start and end an alarm.
	RaiseAlarm struct {
		Alarm Alarm
		Text  string
	}
	// ClearAlarm ends an alarm.
	ClearAlarm struct{ Alarm Alarm }

	// MemberUpdated says that a record or its state changed; a dropped member comes
	// with state dead.
	MemberUpdated struct{ Record Record }

	// CutBackLearned is a reduction decided by a peer.
	CutBackLearned struct{ CutBack api.CutBack }

	// DemandLearned is a figure of another entry.
	DemandLearned struct{ Demand api.Demand }
)

// Alarm is a kind of alarm.
type Alarm string

// The kinds of alarm.
const (
	// AlarmStoreRestored means that the store holds an older manifest than the one
	// in force.
	AlarmStoreRestored Alarm = "store_restored"
	// AlarmManifestRejected means that the newest manifest is invalid.
	AlarmManifestRejected Alarm = "manifest_rejected"
	// AlarmStoreUnreachable means that a watcher's calls have failed for some time.
	AlarmStoreUnreachable Alarm = "store_unreachable"
	// AlarmDuplicateInstance means that another process uses this instance's name.
	AlarmDuplicateInstance Alarm = "duplicate_instance"
)

func (Tick) exchangeEvent()               {}
func (DigestReceived) exchangeEvent()     {}
func (DigestAnswered) exchangeEvent()     {}
func (ConfigReceived) exchangeEvent()     {}
func (FetchFailed) exchangeEvent()        {}
func (ConfigRequested) exchangeEvent()    {}
func (StoreRead) exchangeEvent()          {}
func (StoreUnchanged) exchangeEvent()     {}
func (StoreEmpty) exchangeEvent()         {}
func (StoreFailed) exchangeEvent()        {}
func (InstanceList) exchangeEvent()       {}
func (InstanceListFailed) exchangeEvent() {}
func (MemberSeen) exchangeEvent()         {}
func (MemberObserved) exchangeEvent()     {}
func (MemberFailed) exchangeEvent()       {}
func (SelfChanged) exchangeEvent()        {}
func (CutBackDecided) exchangeEvent()     {}
func (DemandMeasured) exchangeEvent()     {}

func (SendDigest) exchangeEffect()     {}
func (AnswerDigest) exchangeEffect()   {}
func (FetchConfig) exchangeEffect()    {}
func (AnswerConfig) exchangeEffect()   {}
func (WatchStore) exchangeEffect()     {}
func (ReadStore) exchangeEffect()      {}
func (ReadInstances) exchangeEffect()  {}
func (ApplyConfig) exchangeEffect()    {}
func (RejectConfig) exchangeEffect()   {}
func (RaiseAlarm) exchangeEffect()     {}
func (ClearAlarm) exchangeEffect()     {}
func (MemberUpdated) exchangeEffect()  {}
func (CutBackLearned) exchangeEffect() {}
func (DemandLearned) exchangeEffect()  {}

// ExchangeConfig holds the times and bounds of an Exchange; zero values mean the
// defaults.
type ExchangeConfig struct {
	// Seeds are addresses of peers, used while no member is known.
	Seeds []string
	// DigestEvery is the time between two digests; default 0.5 s.
	DigestEvery time.Duration
	// WatchSilence is how long no watcher is heard of before a process watches the
	// store itself; default 5 s.
	WatchSilence time.Duration
	// BootWait is how long a starting process waits for a peer before it takes the
	// store's word for the newest manifest; default 1.5 s.
	BootWait time.Duration
	// FetchTimeout is how long a fetch may take before others are asked too;
	// default 150 ms.
	FetchTimeout time.Duration
	// WatchWait is the wait of one WatchStore; default 20 s.
	WatchWait time.Duration
	// InstancesEvery is the mean time between reads of the instance list; default
	// 30 s, at which 1,280 processes read it 43 times a second.
	InstancesEvery time.Duration
	// DigestBytes bounds the JSON of one digest; default 500. A process takes part
	// in about eight digests a second, counting both directions.
	DigestBytes int
	// Table configures the member table.
	Table TableConfig
	// Compile checks a manifest; default manifest.Compile.
	Compile func(raw []byte, revision api.Revision) (*manifest.Snapshot, error)
}

const (
	defaultDigestEvery    = 500 * time.Millisecond
	defaultWatchSilence   = 5 * time.Second
	defaultBootWait       = 1500 * time.Millisecond
	defaultFetchTimeout   = 150 * time.Millisecond
	defaultWatchWait      = 20 * time.Second
	defaultInstancesEvery = 30 * time.Second
	defaultDigestBytes    = 500
)

func (c ExchangeConfig) withDefaults() ExchangeConfig {
	c.DigestEvery = orDefault(c.DigestEvery, defaultDigestEvery)
	c.WatchSilence = orDefault(c.WatchSilence, defaultWatchSilence)
	c.BootWait = orDefault(c.BootWait, defaultBootWait)
	c.FetchTimeout = orDefault(c.FetchTimeout, defaultFetchTimeout)
	c.WatchWait = orDefault(c.WatchWait, defaultWatchWait)
	c.InstancesEvery = orDefault(c.InstancesEvery, defaultInstancesEvery)
	c.DigestBytes = orDefault(c.DigestBytes, defaultDigestBytes)
	if c.Compile == nil {
		c.Compile = manifest.Compile
	}
	return c
}

// offer is a snapshot as peers get it.
func offer(s *manifest.Snapshot) api.ConfigOffer {
	return api.ConfigOffer{Revision: s.Revision, Manifest: json.RawMessage(s.Raw)}
}
