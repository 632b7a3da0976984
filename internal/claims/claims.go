// Package claims admits each non-idempotent request at most once. Every shard is
// an append-only log of claim records, split into numbered segments. A segment is
// extended only by a conditional update of its object in the store, so safety
// depends on no lease, clock or elected writer.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Key identifies one non-idempotent call of a customer. Calls with equal keys run
// at most once within the retention.
type Key struct {
	Customer       string
	Service        string
	Operation      string
	IdempotencyKey string
}

// keyHash is the first 16 bytes of the SHA-256 of a Key. It stands for the key in
// the stored records.
type keyHash [16]byte

func (k Key) hash() keyHash {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{k.Customer, k.Service, k.Operation, k.IdempotencyKey} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return keyHash(h.Sum(nil)[:16])
}

// HashHex returns the hash of the key as stored in claim records, 32 hex digits.
func (k Key) HashHex() string {
	h := k.hash()
	return hex.EncodeToString(h[:])
}

func (h keyHash) shardIndex(shards int) int {
	return int(binary.BigEndian.Uint32(h[:4]) % uint32(shards))
}

// Answer is the stored response to a completed call.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Body is the response body; nil when it was too large to store.
	Body []byte
	// Digest is the hex SHA-256 of a body that was too large to store.
	Digest string
}

// Options configures the state machine. Zero fields take the defaults.
type Options struct {
	// Shards is the number of logs; every entry must use the same number. With
	// MinWriteInterval it bounds the write rate if claims go to the preferred
	// writers.
	Shards int
	// ClaimBatchDelay is how long a claim waits for other claims to share its write.
	ClaimBatchDelay time.Duration
	// MinWriteInterval is the minimum time between the starts of two writes of a
	// shard. If claims go to the preferred writers, it limits the fleet to
	// Shards/MinWriteInterval writes/s at any load.
	MinWriteInterval time.Duration
	// UpdateBatchDelay is how long a completion, release or unknown outcome waits
	// for a write to share.
	UpdateBatchDelay time.Duration
	// SegmentBytes is the size at which a segment is sealed. The store limits a
	// value to 1 MiB.
	SegmentBytes int
	// MaxSegmentAge is the age at which a segment is sealed at any size, because
	// only the keys of sealed segments expire.
	MaxSegmentAge time.Duration
	// Retention is how long a key is remembered after the segment with its last
	// record was sealed.
	Retention time.Duration
	// SkewAllowance is added to Retention for entries whose clocks run ahead.
	SkewAllowance time.Duration
	// ClaimTimeout is how long a claim may stay undecided before it is refused, while
	// the store is known to fail or the claim has no RunDeadline.
	ClaimTimeout time.Duration
	// MaxClaimTimeout bounds the wait of a claim with a RunDeadline. It ends a claim whose
	// store call gets no answer.
	MaxClaimTimeout time.Duration
	// RunTimeout is how long a claimed request without a stated deadline may run
	// before its outcome counts as unknown.
	RunTimeout time.Duration
	// RetryAfter is the retry delay that a refused caller is given.
	RetryAfter time.Duration
	// DuplicateWait is how long a duplicate call waits for the end of the call that
	// holds its key. A caller gets its answer before the completion is stored, so a
	// duplicate through another entry may find the key still claimed.
	DuplicateWait time.Duration
	// DuplicatePollInterval is the time between two reads of the store during
	// DuplicateWait.
	DuplicatePollInterval time.Duration
	// BackoffBase is the pause after the first failed call of the store; it doubles
	// with each further failure up to 16 times its value.
	BackoffBase time.Duration
	// MaxAnswerBytes is the largest answer body that is stored; of a larger one only
	// the digest is stored.
	MaxAnswerBytes int
	// MaxPending limits the undecided claims plus unwritten updates of a shard;
	// further claims are refused.
	MaxPending int
	// MaxConcurrentReads limits the segment reads in flight while a shard is loaded.
	MaxConcurrentReads int
}

// DefaultShards is the default of Options.Shards. Tools that read the log from
// outside use it to find the shard of a key.
const DefaultShards = 2

const (
	// maxSegmentBytes is below platform.MaxValueBytes to leave room for the JSON
	// around the records.
	maxSegmentBytes = 960 << 10
	// recordOverheadBytes is an upper bound for the part of an encoded record whose
	// size does not depend on the answer and the other strings that fits adds.
	recordOverheadBytes = 512
)

func (o Options) withDefaults() Options {
	defaultInt(&o.Shards, DefaultShards)
	defaultInt(&o.SegmentBytes, 128<<10)
	defaultInt(&o.MaxAnswerBytes, 4<<10)
	defaultInt(&o.MaxPending, 4096)
	defaultInt(&o.MaxConcurrentReads, 8)
	defaultDuration(&o.ClaimBatchDelay, 5*time.Millisecond)
	defaultDuration(&o.MinWriteInterval, 2*o.ClaimBatchDelay)
	defaultDuration(&o.UpdateBatchDelay, 20*time.Millisecond)
	defaultDuration(&o.MaxSegmentAge, 10*time.Minute)
	defaultDuration(&o.Retention, time.Hour)
	defaultDuration(&o.SkewAllowance, 10*time.Minute)
	defaultDuration(&o.ClaimTimeout, time.Second)
	defaultDuration(&o.MaxClaimTimeout, 3*o.ClaimTimeout)
	defaultDuration(&o.RunTimeout, 10*time.Minute)
	defaultDuration(&o.RetryAfter, 2*time.Second)
	defaultDuration(&o.DuplicateWait, o.ClaimTimeout/2)
	defaultDuration(&o.DuplicatePollInterval, o.UpdateBatchDelay)
	defaultDuration(&o.BackoffBase, 100*time.Millisecond)
	o.SegmentBytes = min(o.SegmentBytes, maxSegmentBytes/2)
	o.MaxAnswerBytes = min(o.MaxAnswerBytes, 64<<10)
	return o
}

// claimWaitShare is the part of the time until its RunDeadline that a claim may stay
// undecided. A refused caller keeps more than half of its time for another attempt.
const claimWaitShare = 0.4

// claimWait returns how long a claim may stay undecided while the store is not known to
// fail. It follows the time that the call has left: a writer that restarts or that is
// starved of processor time can still decide a claim that has time left.
func (o *Options) claimWait(now, runDeadline time.Time) time.Duration {
	if runDeadline.IsZero() {
		return o.ClaimTimeout
	}
	wait := time.Duration(claimWaitShare * float64(runDeadline.Sub(now)))
	return min(max(wait, o.ClaimTimeout), o.MaxClaimTimeout)
}

func defaultInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func defaultDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// Event is an input of the state machine; see its method Handle.
type Event interface{ event() }

// Claim asks for permission to run a request. The state machine answers it with
// exactly one Resolved.
type Claim struct {
	Key Key
	// Request is an ID that differs between any two calls, also of equal keys.
	Request string
	// BodyDigest distinguishes a duplicate call from a different request under the
	// same key.
	BodyDigest string
	// Sidecar and SidecarIncarnation name the sidecar that was chosen first. They
	// are stored for operators only.
	Sidecar            string
	SidecarIncarnation int64
	// RunDeadline is the latest time at which the run ends; zero means now plus RunTimeout.
	// The time until then also bounds how long the claim may stay undecided.
	RunDeadline time.Time
}

// Completed reports that a granted request ran and was answered.
type Completed struct {
	Key     Key
	Request string
	Answer  Answer
}

// Released reports that a granted request is proven not to have run.
type Released struct {
	Key     Key
	Request string
}

// Unknown reports that a granted request may or may not have run.
type Unknown struct {
	Key     Key
	Request string
}

// ObjectRead is the result of a ReadObject. Exactly one of Value, NotFound and
// Failed is set; Version is set with Value.
type ObjectRead struct {
	ObjectKey string
	Version   int64
	Value     []byte
	NotFound  bool
	Failed    bool
}

// WriteOutcome is the outcome of a WriteObject.
type WriteOutcome int

// Outcomes of a WriteObject.
const (
	WriteSucceeded WriteOutcome = iota + 1
	WriteConflict
	// WriteAmbiguous means that the write may have taken effect or may yet take effect.
	WriteAmbiguous
	WriteUnavailable
	WriteRateLimited
)

// ObjectWritten is the result of a WriteObject. Version is set when Outcome is
// WriteSucceeded.
type ObjectWritten struct {
	ObjectKey string
	Version   int64
	Outcome   WriteOutcome
}

// Tick reports that the time returned by NextTick has come.
type Tick struct{}

// SetEntries sets the names of the live entries, from which the preferred writer
// of a shard is derived. Safety does not depend on the list.
type SetEntries struct{ Entries []string }

func (Claim) event()         {}
func (Completed) event()     {}
func (Released) event()      {}
func (Unknown) event()       {}
func (ObjectRead) event()    {}
func (ObjectWritten) event() {}
func (Tick) event()          {}
func (SetEntries) event()    {}

// Effect is an output of the state machine, which its caller must execute.
type Effect interface{ effect() }

// ReadObject asks the caller to read an object and to report one ObjectRead.
type ReadObject struct{ ObjectKey string }

// WriteObject asks the caller to write an object if its version is IfVersion, and
// to report one ObjectWritten. IfVersion 0 means that the object must not exist.
type WriteObject struct {
	ObjectKey string
	Value     []byte
	IfVersion int64
}

// Result is the decision on a claim.
type Result int

// Results of a claim.
const (
	// Granted means that the entry may run the request. It may retry an attempt
	// that is proven not to have run.
	Granted Result = iota + 1
	// AlreadyCompleted means that the call ran; Resolved.Answer holds its answer.
	AlreadyCompleted
	// InProgress means that another request with the key may be running.
	InProgress
	// OutcomeUnknown means that another request with the key may have run.
	OutcomeUnknown
	// KeyReused means that the key was used with another body.
	KeyReused
	// StoreUnavailable means that the claim was not granted, so the request did not
	// run: the store failed, the claim timed out or the shard was at MaxPending.
	StoreUnavailable
)

// Resolved is the decision on a Claim.
type Resolved struct {
	Key     Key
	Request string
	Result  Result
	// Answer is set for AlreadyCompleted.
	Answer Answer
	// RetryAfter is set for InProgress and StoreUnavailable.
	RetryAfter time.Duration
}

// Alarm reports a state that can only result from a restored or damaged store.
type Alarm struct{ Message string }

// OutcomeSettled reports that the outcome of a request is stored, or that a later record
// superseded it. In both cases the outcome need not be reported again.
type OutcomeSettled struct {
	// KeyHash is the hash of the key, 32 hex digits.
	KeyHash string
	Request string
}

func (OutcomeSettled) effect() {}
func (ReadObject) effect()     {}
func (WriteObject) effect()    {}
func (Resolved) effect()       {}
func (Alarm) effect()          {}

// Err returns the error for the caller of the request. It is nil for Granted and
// for AlreadyCompleted with a stored body. Otherwise its kind is Conflict (answer
// too large to store), DuplicateInProgress, DuplicateUnknown, InvalidRequest (key
// reused) or StoreUnavailable.
func (r Resolved) Err() *errkind.Error {
	switch r.Result {
	case Granted:
		return nil
	case AlreadyCompleted:
		if r.Answer.Digest == "" {
			return nil
		}
		return errkind.New(errkind.Conflict, "the call with this idempotency key completed; its answer was too large to store, SHA-256 "+r.Answer.Digest).WithRunState(runStateRan)
	case InProgress:
		return errkind.New(errkind.DuplicateInProgress, "a call with this idempotency key is in progress").WithRetryAfter(r.RetryAfter)
	case OutcomeUnknown:
		return errkind.New(errkind.DuplicateUnknown, "a call with this idempotency key may have run; its outcome is not known")
	case KeyReused:
		return errkind.New(errkind.InvalidRequest, "the idempotency key was already used with a different request body")
	default:
		return errkind.New(errkind.StoreUnavailable, "the claim could not be recorded").WithRetryAfter(r.RetryAfter)
	}
}
