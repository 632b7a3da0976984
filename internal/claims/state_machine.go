package claims

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
)

// StateMachine is the claim state machine of one entry. It is not safe for concurrent
// use. Its caller executes the returned effects and passes in exactly one
// ObjectRead for each ReadObject and one ObjectWritten for each WriteObject. A
// store call without a response is reported as Failed or WriteAmbiguous.
type StateMachine struct {
	entryName     string
	incarnationID string
	opts          Options
	shards        []*shard
	entries       []string
}

// NewStateMachine returns a state machine without claims for one incarnation of the
// entry instance entryName. Zero fields of opts take their defaults.
func NewStateMachine(entryName string, incarnation int64, opts Options) *StateMachine {
	m := &StateMachine{entryName: entryName, incarnationID: entryName + "@" + strconv.FormatInt(incarnation, 10), opts: opts.withDefaults()}
	for i := range m.opts.Shards {
		m.shards = append(m.shards, newShard(i, m.incarnationID, m.opts))
	}
	return m
}

// Handle applies one event and returns the effects that the caller must execute.
// Successive calls must not pass a decreasing now.
func (m *StateMachine) Handle(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Claim:
		return m.shardOf(e.Key).onClaim(now, e)
	case Completed:
		return m.recordOutcome(now, e.Key, m.completionRecord(e))
	case Released:
		m.shardOf(e.Key).cancelClaim(now, e)
		return m.recordOutcome(now, e.Key, api.ClaimRecord{Request: e.Request, State: api.ClaimStateReleased})
	case Unknown:
		return m.recordOutcome(now, e.Key, api.ClaimRecord{Request: e.Request, State: api.ClaimStateUnknown})
	case ObjectRead:
		if s, number := m.shardOfObject(e.ObjectKey); s != nil {
			return s.onRead(now, number, e)
		}
	case ObjectWritten:
		if s, number := m.shardOfObject(e.ObjectKey); s != nil {
			return s.onWritten(now, number, e)
		}
	case SetEntries:
		m.entries = append([]string(nil), e.Entries...)
		return m.loadPreferredShards(now)
	case Tick:
		return m.stepShards(now)
	}
	return nil
}

func (m *StateMachine) stepShards(now time.Time) []Effect {
	var out []Effect
	for _, s := range m.shards {
		out = append(out, s.step(now)...)
	}
	return out
}

// NextTick returns the time at which the next Tick is due, or the zero time if
// none is needed.
func (m *StateMachine) NextTick() time.Time {
	var next time.Time
	for _, s := range m.shards {
		next = earlierNonZero(next, s.nextTick())
	}
	return next
}

// PreferredWriter returns the name of the preferred writer of a key's shard, chosen by
// rendezvous hashing over the live entries, or "" if there are none. Forwarding
// claims to that entry batches them into fewer writes; safety does not depend on
// it.
func (m *StateMachine) PreferredWriter(key Key) string {
	return m.preferredWriterOf(key.hash().shardIndex(m.opts.Shards))
}

func (m *StateMachine) preferredWriterOf(index int) string {
	shard := strconv.Itoa(index)
	best, bestScore := "", uint64(0)
	for _, entry := range m.entries {
		score := xxhash.Sum64String(entry + "\x00" + shard)
		if best == "" || score > bestScore || score == bestScore && entry < best {
			best, bestScore = entry, score
		}
	}
	return best
}

// loadPreferredShards starts to load the shards whose preferred writer this entry has
// become, so that the first claims that are forwarded to it do not wait for the load. A
// leaving entry is no longer live some time before it refuses claims.
func (m *StateMachine) loadPreferredShards(now time.Time) []Effect {
	var out []Effect
	for _, s := range m.shards {
		if m.preferredWriterOf(s.index) == m.entryName {
			out = append(out, s.startLoad(now)...)
		}
	}
	return out
}

// IsPreferredWriter reports whether this entry is the preferred writer of a key's
// shard.
func (m *StateMachine) IsPreferredWriter(key Key) bool { return m.PreferredWriter(key) == m.entryName }

// PendingCount returns the number of undecided claims plus the number of
// completions, releases and unknown outcomes that are not stored yet. A graceful
// stop waits until it is 0.
func (m *StateMachine) PendingCount() int {
	n := 0
	for _, s := range m.shards {
		n += len(s.claims) + len(s.updates)
	}
	return n
}

// KeyCount returns the number of keys whose state is held in memory.
func (m *StateMachine) KeyCount() int {
	n := 0
	for _, s := range m.shards {
		n += len(s.keys)
	}
	return n
}

func (m *StateMachine) shardOf(k Key) *shard { return m.shards[k.hash().shardIndex(m.opts.Shards)] }

// shardOfObject returns the shard and the segment number that an object key
// names. The number is -1 for a shard's hint; the shard is nil for a foreign key.
func (m *StateMachine) shardOfObject(objectKey string) (*shard, int) {
	number, index, ok := parseObjectKey(objectKey)
	if !ok || index < 0 || index >= len(m.shards) {
		return nil, 0
	}
	return m.shards[index], number
}

// recordOutcome queues the outcome of a request for storage.
func (m *StateMachine) recordOutcome(now time.Time, k Key, r api.ClaimRecord) []Effect {
	r.Key = k.HashHex()
	s := m.shardOf(k)
	s.addUpdate(now, r, false)
	return s.step(now)
}

// completionRecord returns the record of a completed request. An answer above
// MaxAnswerBytes is replaced by its SHA-256 digest.
func (m *StateMachine) completionRecord(e Completed) api.ClaimRecord {
	r := api.ClaimRecord{Request: e.Request, State: api.ClaimStateCompleted, Status: e.Answer.Status, AnswerDigest: e.Answer.Digest}
	if len(e.Answer.Body) > m.opts.MaxAnswerBytes {
		sum := sha256.Sum256(e.Answer.Body)
		r.AnswerDigest = hex.EncodeToString(sum[:])
		return r
	}
	r.Answer = base64.StdEncoding.EncodeToString(e.Answer.Body)
	return r
}

func decodeAnswer(r api.ClaimRecord) Answer {
	a := Answer{Status: r.Status, Digest: r.AnswerDigest}
	if a.Digest == "" {
		a.Body, _ = base64.StdEncoding.DecodeString(r.Answer)
	}
	return a
}

// earlierNonZero returns the earlier of two times; a zero time means none.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
