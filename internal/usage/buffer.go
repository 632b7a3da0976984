// Package usage keeps billing records until they are stored, and adds them up
// without counting a stage of a request twice.
package usage

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Options configure a Buffer. Zero fields take the defaults.
type Options struct {
	// MaxBytes bounds the encoded records and their dictionary; the slices that
	// hold them may be larger by a quarter.
	MaxBytes int
	// FlushEvery is how long a record waits for others to share its batch.
	FlushEvery time.Duration
	// MaxInFlight bounds the batches being written.
	MaxInFlight int
	// BackOff is the first pause after a failed write; it doubles up to MaxBackOff.
	BackOff    time.Duration
	MaxBackOff time.Duration
	// RetryAfter is advised to a caller that was refused.
	RetryAfter time.Duration
}

const (
	// maxRecordBytes bounds an encoded record; names have at most 63 characters
	// and a request identifier at most maxRequestBytes.
	maxRecordBytes  = 256
	maxRequestBytes = 128
	// maxBatchBytes bounds the JSON of a batch, below platform.MaxValueBytes.
	maxBatchBytes = 900 << 10
	// maxSidecars bounds the sidecars that ran one stage (a first attempt, retries and hedges).
	maxSidecars = 8
)

func (o Options) withDefaults() Options {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 8 << 20
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 2
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&o.FlushEvery, time.Second}, {&o.BackOff, time.Second}, {&o.MaxBackOff, 30 * time.Second}, {&o.RetryAfter, 30 * time.Second}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return o
}

// flushBudget is the fleet's rate of usage batches, in writes/s; it leaves most
// of the store's several hundred writes/s to claims and configuration.
const flushBudget = 20

// Intervals stretches the flush interval so that all entries together stay
// within the write budget, and the sidecars' wait with it, so that a sidecar
// does not write what its entry is about to write.
func Intervals(entries int, flush, confirm time.Duration) (flushEvery, confirmAfter time.Duration) {
	flushEvery = max(flush, time.Duration(entries)*time.Second/flushBudget)
	return flushEvery, max(confirm, 3*flushEvery)
}

// Write asks for a create-only write of a batch.
type Write struct {
	ObjectKey string
	Value     []byte
}

// Outcome is the outcome of a Write.
type Outcome int

// Outcomes of a Write.
const (
	Written Outcome = iota + 1
	// Conflict means that the name is taken, by this batch after a lost response
	// or by another process with the same incarnation.
	Conflict
	// Ambiguous means that the batch may have been written.
	Ambiguous
	// Failed means that the store was unavailable or limited the rate.
	Failed
)

// Confirmation tells a sidecar that the usage of a stage is stored.
type Confirmation struct {
	Sidecar string
	Confirm api.UsageConfirm
}

// chunk is a run of encoded records that is written as one batch.
type chunk struct {
	data      []byte
	records   int
	jsonBytes int
	opened    time.Time
	// sequence names the batch; 0 until it is first written.
	sequence int64
	inFlight bool
}

// Buffer holds the records of one process until they are stored. It is not safe
// for concurrent use.
type Buffer struct {
	incarnation int64
	opts        Options
	dictionary  *dictionary
	open        *chunk
	closed      []*chunk
	sequence    int64
	bytes       int
	reserved    int
	inFlight    int
	retryAt     time.Time
	failures    int
}

// NewBuffer returns the Buffer of one incarnation of a process.
func NewBuffer(incarnation int64, opts Options) *Buffer {
	return &Buffer{incarnation: incarnation, opts: opts.withDefaults(), dictionary: newDictionary()}
}

// SetFlushEvery changes how long a record waits for others to share its batch.
func (b *Buffer) SetFlushEvery(d time.Duration) { b.opts.FlushEvery = d }

// Full reports whether a further request must be refused, because its record
// might find no room beside those held and those reserved.
func (b *Buffer) Full() bool {
	return b.bytes+b.dictionary.bytes+(b.reserved+1)*maxRecordBytes > b.opts.MaxBytes
}

// Reserve keeps room for the record of an accepted stage. It returns an error
// of kind overloaded, run state not_run, when the buffer is full.
func (b *Buffer) Reserve() *errkind.Error {
	if b.Full() {
		return b.refusal()
	}
	b.reserved++
	return nil
}

func (b *Buffer) refusal() *errkind.Error {
	return errkind.New(errkind.Overloaded, "usage records cannot be stored").WithRetryAfter(b.opts.RetryAfter)
}

// Cancel returns a reservation of a stage that ends without a record.
func (b *Buffer) Cancel() {
	if b.reserved > 0 {
		b.reserved--
	}
}

// Add takes the record of a stage and the sidecars to be told when it is
// stored. It uses up one reservation. Without a reservation it fails when the
// buffer is full; with one it fails only for a record beyond the size bounds.
func (b *Buffer) Add(now time.Time, r api.UsageRecord, sidecars ...string) *errkind.Error {
	if b.reserved == 0 && b.Full() {
		return b.refusal()
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "the usage record cannot be encoded")
	}
	if len(r.Request) > maxRequestBytes || len(sidecars) > maxSidecars || len(raw) > maxRecordBytes*6 {
		return errkind.New(errkind.Internal, "the usage record is larger than its bounds")
	}
	b.Cancel()
	if b.open != nil && b.open.jsonBytes+len(raw) > maxBatchBytes {
		b.closeOpen()
	}
	if b.open == nil {
		b.open = &chunk{opened: now}
	}
	before := len(b.open.data)
	b.open.data = b.dictionary.encode(b.open.data, r, sidecars)
	b.open.records++
	b.open.jsonBytes += len(raw) + 1
	b.bytes += len(b.open.data) - before
	return nil
}

func (b *Buffer) closeOpen() {
	b.closed = append(b.closed, b.open)
	b.open = nil
}

// Flush returns the batches to write at now. Each Write must be answered by one
// WriteResult.
func (b *Buffer) Flush(now time.Time) []Write {
	if b.open != nil && now.Sub(b.open.opened) >= b.opts.FlushEvery && now.After(b.retryAt) {
		b.closeOpen()
	}
	return b.start(now)
}

// Drain returns the batches to write before a graceful stop, without waiting for
// the flush interval.
func (b *Buffer) Drain(now time.Time) []Write {
	if b.open != nil {
		b.closeOpen()
	}
	return b.start(now)
}

func (b *Buffer) start(now time.Time) []Write {
	if now.Before(b.retryAt) {
		return nil
	}
	limit := b.opts.MaxInFlight
	if b.failures > 0 {
		limit = 1 // one probe finds out whether the store is back
	}
	var out []Write
	for _, c := range b.closed {
		if b.inFlight >= limit {
			break
		}
		if c.inFlight {
			continue
		}
		if c.sequence == 0 {
			b.sequence++
			c.sequence = b.sequence
		}
		c.inFlight = true
		b.inFlight++
		out = append(out, Write{ObjectKey: b.objectKey(c.sequence), Value: b.encodeBatch(c)})
	}
	return out
}

func (b *Buffer) objectKey(sequence int64) string {
	return fmt.Sprintf(Prefix+"%d/%d", b.incarnation, sequence)
}

func (b *Buffer) encodeBatch(c *chunk) []byte {
	batch := api.UsageBatch{Incarnation: int(b.incarnation), Sequence: int(c.sequence), Records: make([]api.UsageRecord, 0, c.records)}
	in := reader{words: b.dictionary.words, data: c.data}
	for range c.records {
		r, _ := in.next()
		batch.Records = append(batch.Records, r)
	}
	raw, err := json.Marshal(batch)
	if err != nil {
		panic(fmt.Sprintf("usage batch cannot be encoded: %v", err))
	}
	return raw
}

// WriteResult applies the outcome of a Write and returns the confirmations due.
// A batch is repeated under its name until the store answers. When the name
// turns out to be taken, the batch is written under the next name: readers drop
// what is stored twice, and a process with the same incarnation loses nothing.
func (b *Buffer) WriteResult(now time.Time, objectKey string, outcome Outcome) []Confirmation {
	i, c := b.find(objectKey)
	if c == nil {
		return nil
	}
	c.inFlight = false
	b.inFlight--
	switch outcome {
	case Written:
		b.failures = 0
		b.closed = append(b.closed[:i], b.closed[i+1:]...)
		b.bytes -= len(c.data)
		confirmations := b.confirmations(c)
		b.resetDictionary()
		return confirmations
	case Conflict:
		c.sequence = 0
	default:
		pause := min(b.opts.BackOff<<min(b.failures, 10), b.opts.MaxBackOff)
		b.failures++
		b.retryAt = now.Add(pause)
	}
	return nil
}

func (b *Buffer) find(objectKey string) (int, *chunk) {
	for i, c := range b.closed {
		if c.inFlight && b.objectKey(c.sequence) == objectKey {
			return i, c
		}
	}
	return 0, nil
}

func (b *Buffer) confirmations(c *chunk) []Confirmation {
	var out []Confirmation
	in := reader{words: b.dictionary.words, data: c.data}
	for range c.records {
		r, sidecars := in.next()
		for _, s := range sidecars {
			out = append(out, Confirmation{s, api.UsageConfirm{Request: r.Request, Stage: r.Stage}})
		}
	}
	return out
}

// resetDictionary drops names that are no longer referred to.
func (b *Buffer) resetDictionary() {
	if b.open == nil && len(b.closed) == 0 {
		b.dictionary = newDictionary()
	}
}

// Bytes returns the encoded size of what is held, with the dictionary.
func (b *Buffer) Bytes() int { return b.bytes + b.dictionary.bytes }

// Records returns the number of records held.
func (b *Buffer) Records() int {
	n := 0
	if b.open != nil {
		n = b.open.records
	}
	for _, c := range b.closed {
		n += c.records
	}
	return n
}
