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
//	(*Exchange).Snapshot() *manifest.Snapshot      nil while no manifest is in force
//	(*Exchange).Revision() api.Revision            of the snapshot; zero without one
//	(*Exchange).Table() *Table
//	(*Exchange).Self() api.Member
//	(*Exchange).Alarms() []string
//	(*Exchange).Rejected() []api.RejectedManifest
//	(*Exchange).StoreReachable() bool              result of the last store call
//	(*Exchange).Watching() bool
//
// The daemon sends a Tick every 50 to 100 ms and every other event when it
// occurs, and carries out the effects in order. The result of a WatchStore,
// ReadStore, ReadInstances, FetchConfig or SendDigest arrives as one of the
// events named in the comment of the effect. Exchange times out if no result
// arrives.

// Peer is the address of another daemon.
type Peer struct {
	// Instance is the peer's instance name; empty for a seed address from the
	// settings.
	Instance string
	// Address is host:port.
	Address string
}

// ExchangeEvent is an input of Exchange.
type ExchangeEvent interface{ exchangeEvent() }

// ExchangeEffect is an output of Exchange.
type ExchangeEffect interface{ exchangeEffect() }

type (
	// Tick advances time. The daemon sends one every 50 to 100 ms.
	Tick struct{}

	// DigestReceived is an exchange.digest request from a peer. Handle returns the
	// response as an AnswerDigest effect.
	DigestReceived struct {
		From   Peer
		Digest api.Digest
	}

	// DigestAnswered is the response to a SendDigest.
	DigestAnswered struct {
		From   Peer
		Digest api.Digest
	}

	// ConfigReceived is a manifest from a peer. It comes from a config.offer, from
	// the response to a config.fetch, or with the refusal of an attempt. An entry
	// may also send it for a manifest that the entry has just committed, to avoid
	// waiting for a watcher.
	ConfigReceived struct {
		From  Peer
		Offer api.ConfigOffer
	}

	// FetchFailed reports that a FetchConfig returned no manifest.
	FetchFailed struct{ From Peer }

	// ConfigRequested is a config.fetch request from a peer. Handle returns the
	// response as an AnswerConfig effect; without that effect the daemon refuses
	// the request.
	ConfigRequested struct{ From Peer }

	// StoreRead is the result of a WatchStore or ReadStore that returned the
	// object. Object.Value is the manifest.
	StoreRead struct{ Object platform.Object }

	// StoreUnchanged is the result of a WatchStore that saw no change within its
	// wait.
	StoreUnchanged struct{}

	// StoreEmpty is the result of a ReadStore that found no object.
	StoreEmpty struct{}

	// StoreFailed is the result of a WatchStore or ReadStore that failed.
	StoreFailed struct {
		// RetryAfter is the retry delay that the store requested; 0 means none.
		RetryAfter time.Duration
	}

	// InstanceList is the result of a ReadInstances. The table retains the slice.
	InstanceList struct{ Instances []platform.Instance }

	// InstanceListFailed is the result of a ReadInstances that failed.
	InstanceListFailed struct{}

	// MemberRecordReceived is a record sent directly by the member that it describes, in a
	// hello message.
	MemberRecordReceived struct{ Member api.Member }

	// MemberObserved holds the signals of a member from a probe or load report.
	MemberObserved struct {
		Instance    string
		Incarnation int
		Signals     Signals
	}

	// MemberFailed reports that a member's process no longer runs. The daemon keeps
	// reconnecting, at growing intervals, to a dead member that is still in the
	// instance list. A hello from the member clears the dead state.
	MemberFailed struct {
		Instance    string
		Incarnation int
	}

	// SelfChanged replaces the member record of this process. Exchange sets the
	// instance, the incarnation and the sequence number.
	SelfChanged struct{ Member api.Member }

	// CutBackDecided is a reduction of a version's traffic share that this process
	// decided.
	CutBackDecided struct{ CutBack api.CutBack }

	// DemandMeasured is a new demand measurement by this entry. Sequence must
	// increase across restarts too, so the entry derives it from the clock.
	DemandMeasured struct{ Demand api.Demand }
)

type (
	// SendDigest calls exchange.digest. The response arrives as DigestAnswered; a
	// failed call produces no event.
	SendDigest struct {
		To     Peer
		Digest api.Digest
	}

	// AnswerDigest is the response to a DigestReceived.
	AnswerDigest struct {
		To     Peer
		Digest api.Digest
	}

	// FetchConfig calls config.fetch. The result arrives as ConfigReceived or
	// FetchFailed.
	FetchConfig struct{ From Peer }

	// AnswerConfig is the response to a ConfigRequested.
	AnswerConfig struct {
		To    Peer
		Offer api.ConfigOffer
	}

	// WatchStore waits for a manifest object with a version other than After. The
	// result arrives as StoreRead, StoreUnchanged or StoreFailed.
	WatchStore struct {
		After int64
		Wait  time.Duration
	}

	// ReadStore reads the manifest once. The result arrives as StoreRead,
	// StoreEmpty or StoreFailed.
	ReadStore struct{}

	// ReadInstances reads the instance list. The result arrives as InstanceList or
	// InstanceListFailed.
	ReadInstances struct{}

	// ApplyConfig puts a snapshot in force. Its revision is higher than that of
	// every snapshot applied before.
	ApplyConfig struct{ Snapshot *manifest.Snapshot }

	// RejectConfig reports that a manifest is invalid and is not applied.
	RejectConfig struct{ Rejected api.RejectedManifest }

	// RaiseAlarm starts an alarm, or replaces the text of one that is already
	// raised.
	RaiseAlarm struct {
		Alarm Alarm
		Text  string
	}
	// ClearAlarm ends an alarm.
	ClearAlarm struct{ Alarm Alarm }

	// MemberUpdated reports that a member's record or effective state changed. A
	// member that was dropped from the table is reported with state dead.
	MemberUpdated struct{ Record Record }

	// CutBackReceived is a reduction of a version's traffic share received from a
	// peer.
	CutBackReceived struct{ CutBack api.CutBack }

	// DemandReceived is a demand measurement received from another entry.
	DemandReceived struct{ Demand api.Demand }
)

// Alarm identifies a kind of alarm.
type Alarm string

// The kinds of alarm.
const (
	// AlarmStoreRestored means that the store holds an older manifest than the one
	// in force, or none.
	AlarmStoreRestored Alarm = "store_restored"
	// AlarmManifestRejected means that the newest manifest is invalid.
	AlarmManifestRejected Alarm = "manifest_rejected"
	// AlarmStoreUnreachable means that a watcher's calls to the store have failed
	// for at least 10 s.
	AlarmStoreUnreachable Alarm = "store_unreachable"
	// AlarmDuplicateInstance means that another process with a later incarnation
	// uses this instance's name.
	AlarmDuplicateInstance Alarm = "duplicate_instance"
)

func (Tick) exchangeEvent()                 {}
func (DigestReceived) exchangeEvent()       {}
func (DigestAnswered) exchangeEvent()       {}
func (ConfigReceived) exchangeEvent()       {}
func (FetchFailed) exchangeEvent()          {}
func (ConfigRequested) exchangeEvent()      {}
func (StoreRead) exchangeEvent()            {}
func (StoreUnchanged) exchangeEvent()       {}
func (StoreEmpty) exchangeEvent()           {}
func (StoreFailed) exchangeEvent()          {}
func (InstanceList) exchangeEvent()         {}
func (InstanceListFailed) exchangeEvent()   {}
func (MemberRecordReceived) exchangeEvent() {}
func (MemberObserved) exchangeEvent()       {}
func (MemberFailed) exchangeEvent()         {}
func (SelfChanged) exchangeEvent()          {}
func (CutBackDecided) exchangeEvent()       {}
func (DemandMeasured) exchangeEvent()       {}

func (SendDigest) exchangeEffect()      {}
func (AnswerDigest) exchangeEffect()    {}
func (FetchConfig) exchangeEffect()     {}
func (AnswerConfig) exchangeEffect()    {}
func (WatchStore) exchangeEffect()      {}
func (ReadStore) exchangeEffect()       {}
func (ReadInstances) exchangeEffect()   {}
func (ApplyConfig) exchangeEffect()     {}
func (RejectConfig) exchangeEffect()    {}
func (RaiseAlarm) exchangeEffect()      {}
func (ClearAlarm) exchangeEffect()      {}
func (MemberUpdated) exchangeEffect()   {}
func (CutBackReceived) exchangeEffect() {}
func (DemandReceived) exchangeEffect()  {}

// ExchangeConfig holds the intervals, timeouts and limits of an Exchange. Zero
// values select the defaults.
type ExchangeConfig struct {
	// Seeds are peer addresses (host:port) that are contacted while no other member
	// is known.
	Seeds []string
	// DigestInterval is the interval between regular digests; default 0.5 s.
	DigestInterval time.Duration
	// WatcherTimeout is how long no watcher must have called the store before a
	// process that is not elected watches the store itself; default 5 s.
	WatcherTimeout time.Duration
	// BootTimeout is how long a starting process waits for a peer to announce a
	// revision before it accepts the store's manifest as the newest; default 1.5 s.
	BootTimeout time.Duration
	// FetchTimeout is how long a fetch may take before the next attempt, which asks
	// two holders; default 150 ms.
	FetchTimeout time.Duration
	// MaxWatchWait is how long one WatchStore waits for a change; default 20 s.
	MaxWatchWait time.Duration
	// InstanceListInterval is the mean interval between reads of the instance list;
	// default 30 s, at which 1,280 processes make 43 reads a second.
	InstanceListInterval time.Duration
	// MaxDigestBytes bounds the JSON size of one digest; default 500. A process
	// sends and receives about eight digests a second in total.
	MaxDigestBytes int
	// Table configures the member table.
	Table TableConfig
	// Compile validates a manifest and builds its snapshot; default
	// manifest.Compile.
	Compile func(raw []byte, revision api.Revision) (*manifest.Snapshot, error)
}

const (
	defaultDigestInterval       = 500 * time.Millisecond
	defaultWatcherTimeout       = 5 * time.Second
	defaultBootTimeout          = 1500 * time.Millisecond
	defaultFetchTimeout         = 150 * time.Millisecond
	defaultMaxWatchWait         = 20 * time.Second
	defaultInstanceListInterval = 30 * time.Second
	defaultMaxDigestBytes       = 500
)

func (c ExchangeConfig) withDefaults() ExchangeConfig {
	c.DigestInterval = orDefault(c.DigestInterval, defaultDigestInterval)
	c.WatcherTimeout = orDefault(c.WatcherTimeout, defaultWatcherTimeout)
	c.BootTimeout = orDefault(c.BootTimeout, defaultBootTimeout)
	c.FetchTimeout = orDefault(c.FetchTimeout, defaultFetchTimeout)
	c.MaxWatchWait = orDefault(c.MaxWatchWait, defaultMaxWatchWait)
	c.InstanceListInterval = orDefault(c.InstanceListInterval, defaultInstanceListInterval)
	c.MaxDigestBytes = orDefault(c.MaxDigestBytes, defaultMaxDigestBytes)
	if c.Compile == nil {
		c.Compile = manifest.Compile
	}
	return c
}

// newConfigOffer returns the message that sends a snapshot to a peer.
func newConfigOffer(s *manifest.Snapshot) api.ConfigOffer {
	return api.ConfigOffer{Revision: s.Revision, Manifest: json.RawMessage(s.Raw)}
}
