// Package claims admits each non-idempotent request at most once. Every shard is
// an append-only log of claim records, split into numbered segments that are
// extended only by conditional updates of the store, so that safety depends on
// no lease, clock or elected writer.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Key identifies one non-idempotent call of a customer.
type Key struct {
	Customer       string
	Service        string
	Operation      string
	IdempotencyKey string
}

// hash is the stored form of a Key.
type hash [16]byte

func (k Key) hash() hash {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{k.Customer, k.Service, k.Operation, k.IdempotencyKey} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return hash(h.Sum(nil)[:16])
}

// Record returns the key as it stands in the stored records, 32 hex digits.
func (k Key) Record() string {
	h := k.hash()
	return hex.EncodeToString(h[:])
}

func (h hash) shard(shards int) int {
	return int(binary.BigEndian.Uint32(h[:4]) % uint32(shards))
}

// Answer is the stored answer of a completed call.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the answer; it is nil when the answer was too large to store.
	Body []byte
	// Digest is the hex SHA-256 of a body that was too large to store.
	Digest string
}

// Options configure a Book. Zero fields take the defaults.
type Options struct {
	// Shards is the number of logs; every entry must use the same number. Together
	// with Pace it bounds the writes when claims go to the usual writer.
	Shards int
	// Window is how long a claim waits for others to share its write.
	Window time.Duration
	// Pace is the least time between the starts of two writes of a shard. It
	// bounds the writes/s of the fleet by Shards/Pace, whatever the load.
	Pace time.Duration
	// NoteWindow is how long a completion waits for a write to share.
	NoteWindow time.Duration
	// SegmentBytes seals a segment; the store's bound is 1 MiB.
	SegmentBytes int
	// SegmentAge seals a segment, so that it can leave the retention.
	SegmentAge time.Duration
	// Retention is how long a key is remembered after its last record.
	Retention time.Duration
	// SkewAllowance is added to Retention for clocks that run ahead.
	SkewAllowance time.Duration
	// ClaimTimeout bounds the wait for a decision.
	ClaimTimeout time.Duration
	// RunTimeout is when a claimed request without a stated end counts as unknown.
	RunTimeout time.Duration
	// RetryAfter is advised to a caller that was refused.
	RetryAfter time.Duration
	// RepeatWait is how long a repeat waits for the end of the call that holds its
	// key. A caller has its answer before the completion is stored, so that a
	// repeat through another entry may find the key still claimed.
	RepeatWait time.Duration
	// RepeatPoll is the time between two looks for that end.
	RepeatPoll time.Duration
	// BackOff is the pause after a failed call of the store.
	BackOff time.Duration
	// MaxAnswerBytes bounds a stored answer.
	MaxAnswerBytes int
	// MaxPending bounds the undecided claims and unwritten notes of a shard.
	MaxPending int
	// MaxReads bounds the concurrent reads while a shard is loaded.
	MaxReads int
}

// DefaultShards is the number of logs of a deployment.
const DefaultShards = 2

const (
	// hardSegmentBytes stays below platform.MaxValueBytes with room for the envelope.
	hardSegmentBytes = 960 << 10
	// recordOverhead bounds the JSON of a record without answer, in bytes.
	recordOverhead = 512
)

func (o Options) withDefaults() Options {
	setInt(&o.Shards, DefaultShards)
	setInt(&o.SegmentBytes, 128<<10)
	setInt(&o.MaxAnswerBytes, 4<<10)
	setInt(&o.MaxPending, 4096)
	setInt(&o.MaxReads, 8)
	setDuration(&o.Window, 5*time.Millisecond)
	setDuration(&o.Pace, 2*o.Window)
	setDuration(&o.NoteWindow, 20*time.Millisecond)
	setDuration(&o.SegmentAge, 10*time.Minute)
	setDuration(&o.Retention, time.Hour)
	setDuration(&o.SkewAllowance, 10*time.Minute)
	setDuration(&o.ClaimTimeout, time.Second)
	setDuration(&o.RunTimeout, 10*time.Minute)
	setDuration(&o.RetryAfter, 2*time.Second)
	setDuration(&o.RepeatWait, o.ClaimTimeout/2)
	setDuration(&o.RepeatPoll, o.NoteWindow)
	setDuration(&o.BackOff, 100*time.Millisecond)
	o.SegmentBytes = min(o.SegmentBytes, hardSegmentBytes/2)
	o.MaxAnswerBytes = min(o.MaxAnswerBytes, 64<<10)
	return o
}

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// Event is an input of a Book.
type Event interface{ event() }

// Claim asks to run a request. Request is unique per call of a caller. It is
// answered by exactly one Resolved.
type Claim struct {
	Key     Key
	Request string
	// BodyDigest tells a repeat from another request under the same key.
	BodyDigest string
	// Sidecar and SidecarIncarnation are the first choice, recorded for operators.
	Sidecar            string
	SidecarIncarnation int64
	// Until is the latest end of the run; zero means now plus RunTimeout.
	Until time.Time
}

// Completed states that a granted request ran and was answered.
type Completed struct {
	Key     Key
	Request string
	Answer  Answer
}

// Released states that a granted request is proven not to have run.
type Released struct {
	Key     Key
	Request string
}

// Unknown states that it is not known whether a granted request ran.
type Unknown struct {
	Key     Key
	Request string
}

// StoreRead answers a ReadObject. Exactly one of Value, NotFound and Failed is set.
type StoreRead struct {
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
	Written WriteOutcome = iota + 1
	Conflict
	// Ambiguous means that the write may have taken effect or may still do so.
	Ambiguous
	Unavailable
	RateLimited
)

// StoreWritten answers a WriteObject. Version is set when Outcome is Written.
type StoreWritten struct {
	ObjectKey string
	Version   int64
	Outcome   WriteOutcome
}

// Tick lets time pass; see Book.NextTick.
type Tick struct{}

// SetEntries states the live entries, from which the usual writer of a shard is
// derived. It is a hint only.
type SetEntries struct{ Entries []string }

func (Claim) event()        {}
func (Completed) event()    {}
func (Released) event()     {}
func (Unknown) event()      {}
func (StoreRead) event()    {}
func (StoreWritten) event() {}
func (Tick) event()         {}
func (SetEntries) event()   {}

// Effect is an output of a Book.
type Effect interface{ effect() }

// ReadObject asks for one StoreRead.
type ReadObject struct{ ObjectKey string }

// WriteObject asks for one StoreWritten. IfVersion 0 means create only.
type WriteObject struct {
	ObjectKey string
	Value     []byte
	IfVersion int64
}

// Result is the decision on a claim.
type Result int

// Results of a claim.
const (
	// Granted means that the caller of the Book may run the request, and may
	// repeat an attempt after proof that the one before did not run.
	Granted Result = iota + 1
	// AlreadyCompleted carries the stored answer.
	AlreadyCompleted
	// InProgress means that another request with the key may be running.
	InProgress
	// OutcomeUnknown means that another request with the key may have run.
	OutcomeUnknown
	// KeyReused means that the key was used with another body.
	KeyReused
	// StoreUnavailable means that the request was not run and not granted.
	StoreUnavailable
)

// Resolved answers a Claim.
type Resolved struct {
	Key     Key
	Request string
	Result  Result
	// Answer is set for AlreadyCompleted.
	Answer Answer
	// RetryAfter is set when a retry makes sense.
	RetryAfter time.Duration
}

// Alarm reports a state that only a restored or damaged store explains.
type Alarm struct{ Message string }

// Noted reports that the end of a request is stored, or that the log shows it to
// be superseded. Either way it needs not be stated again.
type Noted struct {
	// Record is the stored form of the key.
	Record  string
	Request string
}

func (Noted) effect()       {}
func (ReadObject) effect()  {}
func (WriteObject) effect() {}
func (Resolved) effect()    {}
func (Alarm) effect()       {}

// Err returns the error that a caller sees, nil for Granted and for
// AlreadyCompleted with a stored body.
func (r Resolved) Err() *errkind.Error {
	switch r.Result {
	case Granted:
		return nil
	case AlreadyCompleted:
		if r.Answer.Digest == "" {
			return nil
		}
		return errkind.New(errkind.Conflict, "the call with this idempotency key completed; its answer was too large to store, SHA-256 "+r.Answer.Digest).WithRunState(ran)
	case InProgress:
		return errkind.New(errkind.DuplicateInProgress, "a call with this idempotency key is in progress").WithRetryAfter(r.RetryAfter)
	case OutcomeUnknown:
		return errkind.New(errkind.DuplicateUnknown, "a call with this idempotency key may have run; its outcome is not known")
	case KeyReused:
		return errkind.New(errkind.InvalidRequest, "the idempotency key was used with another body")
	default:
		return errkind.New(errkind.StoreUnavailable, "the claim could not be recorded").WithRetryAfter(r.RetryAfter)
	}
}
