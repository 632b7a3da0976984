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

// Book is the state machine of one entry. It is not safe for concurrent use.
// Every ReadObject and WriteObject that it returns must be answered by exactly
// one StoreRead or StoreWritten; a call whose answer never comes is answered as
// Failed or Ambiguous.
type Book struct {
	name    string
	self    string
	opts    Options
	shards  []*shard
	entries []string
}

// NewBook returns the Book of one incarnation of the entry instance self.
func NewBook(self string, incarnation int64, opts Options) *Book {
	b := &Book{name: self, self: self + "@" + strconv.FormatInt(incarnation, 10), opts: opts.withDefaults()}
	for i := range b.opts.Shards {
		b.shards = append(b.shards, newShard(i, b.self, b.opts))
	}
	return b
}

// Handle applies one event at time now, which never decreases.
func (b *Book) Handle(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Claim:
		return b.shardOf(e.Key).onClaim(now, e)
	case Completed:
		return b.note(now, e.Key, b.completedRecord(e))
	case Released:
		b.shardOf(e.Key).cancel(now, e)
		return b.note(now, e.Key, api.ClaimRecord{Request: e.Request, State: api.ClaimStateReleased})
	case Unknown:
		return b.note(now, e.Key, api.ClaimRecord{Request: e.Request, State: api.ClaimStateUnknown})
	case StoreRead:
		if s, window := b.byObject(e.ObjectKey); s != nil {
			return s.onRead(now, window, e)
		}
	case StoreWritten:
		if s, window := b.byObject(e.ObjectKey); s != nil {
			return s.onWritten(now, window, e)
		}
	case SetEntries:
		b.entries = append([]string(nil), e.Entries...)
	case Tick:
		return b.tick(now)
	}
	return nil
}

func (b *Book) tick(now time.Time) []Effect {
	var out []Effect
	for _, s := range b.shards {
		out = append(out, s.step(now)...)
	}
	return out
}

// NextTick returns when a Tick is needed, zero when none is.
func (b *Book) NextTick() time.Time {
	var next time.Time
	for _, s := range b.shards {
		next = earlier(next, s.nextTick())
	}
	return next
}

// Writer returns the usual writer of a key's shard, chosen by rendezvous
// hashing, or "" without entries. Claims may be handed to its Book to share its
// writes; safety does not depend on it.
func (b *Book) Writer(key Key) string {
	shard := strconv.Itoa(key.hash().shard(b.opts.Shards))
	best, bestScore := "", uint64(0)
	for _, entry := range b.entries {
		score := xxhash.Sum64String(entry + "\x00" + shard)
		if best == "" || score > bestScore || score == bestScore && entry < best {
			best, bestScore = entry, score
		}
	}
	return best
}

// IsWriter reports whether this entry is the usual writer of a key's shard.
func (b *Book) IsWriter(key Key) bool { return b.Writer(key) == b.name }

// Unwritten returns the number of undecided claims and of completions, releases
// and unknown outcomes that are not yet stored. A graceful stop waits for 0.
func (b *Book) Unwritten() int {
	n := 0
	for _, s := range b.shards {
		n += len(s.waiting) + len(s.notes)
	}
	return n
}

// Remembered returns the number of keys held in memory.
func (b *Book) Remembered() int {
	n := 0
	for _, s := range b.shards {
		n += len(s.keys)
	}
	return n
}

func (b *Book) shardOf(k Key) *shard { return b.shards[k.hash().shard(b.opts.Shards)] }

func (b *Book) byObject(objectKey string) (*shard, int) {
	window, index, ok := parseKey(objectKey)
	if !ok || index < 0 || index >= len(b.shards) {
		return nil, 0
	}
	return b.shards[index], window
}

func (b *Book) note(now time.Time, k Key, r api.ClaimRecord) []Effect {
	r.Key = k.Record()
	s := b.shardOf(k)
	s.addNote(now, r, false)
	return s.step(now)
}

func (b *Book) completedRecord(e Completed) api.ClaimRecord {
	r := api.ClaimRecord{Request: e.Request, State: api.ClaimStateCompleted, Status: e.Answer.Status, AnswerDigest: e.Answer.Digest}
	if len(e.Answer.Body) > b.opts.MaxAnswerBytes {
		sum := sha256.Sum256(e.Answer.Body)
		r.AnswerDigest = hex.EncodeToString(sum[:])
		return r
	}
	r.Answer = base64.StdEncoding.EncodeToString(e.Answer.Body)
	return r
}

func answerOf(r api.ClaimRecord) Answer {
	a := Answer{Status: r.Status, Digest: r.AnswerDigest}
	if a.Digest == "" {
		a.Body, _ = base64.StdEncoding.DecodeString(r.Answer)
	}
	return a
}

func earlier(a, b time.Time) time.Time {
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
