// Package usage buffers billing records until they are stored, and sums them up
// without counting a stage of a request twice.
package usage

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Options configures a Buffer. A zero field takes its default.
type Options struct {
	// MaxBytes limits the size of the encoded records and their dictionary;
	// default 8 MiB. The allocated slices may be larger by a quarter.
	MaxBytes int
	// FlushInterval is how long a batch collects records before it is written;
	// default 1 s.
	FlushInterval time.Duration
	// MaxWritesInFlight limits the number of concurrent writes; default 2.
	MaxWritesInFlight int
	// InitialBackoff is the pause after the first failed write; default 1 s. The pause
	// doubles with each further failure.
	InitialBackoff time.Duration
	// MaxBackoff is the longest pause after a failed write; default 30 s.
	MaxBackoff time.Duration
	// RetryAfter is the delay that a refusal advises to the caller; default 30 s.
	RetryAfter time.Duration
}

const (
	// maxRecordBytes limits an encoded record; names have at most 63 characters
	// and a request identifier at most maxRequestIDBytes.
	maxRecordBytes    = 256
	maxRequestIDBytes = 128
	// maxBatchBytes limits the JSON of a batch, below platform.MaxValueBytes.
	maxBatchBytes = 900 << 10
	// maxSidecars limits the number of sidecars that ran one stage, in its first
	// attempt, retries and hedges.
	maxSidecars = 8
)

func (o Options) withDefaults() Options {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 8 << 20
	}
	if o.MaxWritesInFlight <= 0 {
		o.MaxWritesInFlight = 2
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&o.FlushInterval, time.Second}, {&o.InitialBackoff, time.Second}, {&o.MaxBackoff, 30 * time.Second}, {&o.RetryAfter, 30 * time.Second}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return o
}

// maxBatchesPerSecond limits the writes of usage batches by all entries together. It
// leaves most of the several hundred writes/s of the store to claims and
// configuration.
const maxBatchesPerSecond = 20

// ScaleIntervals returns the flush interval of the entries and the confirmation timeout
// of the sidecars for a number of entries. It raises the flush interval so that all
// entries together write at most maxBatchesPerSecond. It raises the timeout to at
// least three flush intervals, so that a sidecar does not write a record that its
// entry is about to write.
func ScaleIntervals(entries int, flushInterval, confirmTimeout time.Duration) (scaledFlush, scaledConfirm time.Duration) {
	scaledFlush = max(flushInterval, time.Duration(entries)*time.Second/maxBatchesPerSecond)
	return scaledFlush, max(confirmTimeout, 3*scaledFlush)
}

// BatchWrite is a create-only write of a batch to the store. It fails with a conflict when
// the key exists.
type BatchWrite struct {
	ObjectKey string
	Value     []byte
}

// WriteOutcome is the result of a batch write.
type WriteOutcome int

// Outcomes of a batch write.
const (
	// WriteSucceeded means that the batch is stored.
	WriteSucceeded WriteOutcome = iota + 1
	// WriteConflict means that the key exists: this batch was stored and the response
	// was lost, or another process with the same incarnation used the key.
	WriteConflict
	// WriteAmbiguous means that the batch may have been written.
	WriteAmbiguous
	// WriteFailed means that the store was unavailable or rejected the write by its rate
	// limit.
	WriteFailed
)

// Confirmation is a message to a sidecar that the record of a stage is stored.
type Confirmation struct {
	// Sidecar is the name of the sidecar that ran the stage.
	Sidecar string
	Params  api.UsageConfirm
}

// pendingBatch holds the encoded records of one batch until it is stored.
type pendingBatch struct {
	data      []byte
	records   int
	jsonBytes int
	openedAt  time.Time
	// sequence is the last part of the batch's key; 0 before the first write.
	sequence int64
	inFlight bool
}

// Buffer holds the usage records of one process until they are stored. It is not
// safe for concurrent use.
type Buffer struct {
	incarnation         int64
	opts                Options
	dictionary          *dictionary
	openBatch           *pendingBatch
	closedBatches       []*pendingBatch
	lastSequence        int64
	recordBytes         int
	reservations        int
	writesInFlight      int
	retryAt             time.Time
	consecutiveFailures int
}

// NewBuffer returns an empty Buffer for one incarnation of a process.
func NewBuffer(incarnation int64, opts Options) *Buffer {
	return &Buffer{incarnation: incarnation, opts: opts.withDefaults(), dictionary: newDictionary()}
}

// SetFlushInterval changes how long a batch collects records before it is written.
func (b *Buffer) SetFlushInterval(d time.Duration) { b.opts.FlushInterval = d }

// Full reports whether a further request must be refused because its record might
// not fit beside the buffered records and the reservations.
func (b *Buffer) Full() bool {
	return b.recordBytes+b.dictionary.bytes+(b.reservations+1)*maxRecordBytes > b.opts.MaxBytes
}

// Reserve reserves space for the record of an accepted stage. When the buffer is
// full, it returns an error of kind overloaded with run state not_run.
func (b *Buffer) Reserve() *errkind.Error {
	if b.Full() {
		return b.fullError()
	}
	b.reservations++
	return nil
}

func (b *Buffer) fullError() *errkind.Error {
	return errkind.New(errkind.Overloaded, "usage buffer is full: too many records wait to be stored").WithRetryAfter(b.opts.RetryAfter)
}

// CancelReservation releases the reservation of a stage that ended without a record.
func (b *Buffer) CancelReservation() {
	if b.reservations > 0 {
		b.reservations--
	}
}

// Add buffers the record of a stage with the names of the sidecars that get a
// confirmation when it is stored. It uses up one reservation.
//
// It returns an error of kind overloaded when the buffer is full and nothing is
// reserved, and one of kind internal when the record exceeds the size limits or
// cannot be encoded.
func (b *Buffer) Add(now time.Time, r api.UsageRecord, sidecars ...string) *errkind.Error {
	if b.reservations == 0 && b.Full() {
		return b.fullError()
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "usage record cannot be encoded as JSON")
	}
	if len(r.Request) > maxRequestIDBytes || len(sidecars) > maxSidecars || len(raw) > maxRecordBytes*6 {
		return errkind.New(errkind.Internal, "usage record exceeds the limit on its size, its request identifier or its number of sidecars")
	}
	b.CancelReservation()
	if b.openBatch != nil && b.openBatch.jsonBytes+len(raw) > maxBatchBytes {
		b.closeBatch()
	}
	if b.openBatch == nil {
		b.openBatch = &pendingBatch{openedAt: now}
	}
	before := len(b.openBatch.data)
	b.openBatch.data = b.dictionary.encode(b.openBatch.data, r, sidecars)
	b.openBatch.records++
	b.openBatch.jsonBytes += len(raw) + 1
	b.recordBytes += len(b.openBatch.data) - before
	return nil
}

func (b *Buffer) closeBatch() {
	b.closedBatches = append(b.closedBatches, b.openBatch)
	b.openBatch = nil
}

// Flush returns the batches to write now. The caller must report the result of each
// write to the buffer.
func (b *Buffer) Flush(now time.Time) []BatchWrite {
	if b.openBatch != nil && now.Sub(b.openBatch.openedAt) >= b.opts.FlushInterval && now.After(b.retryAt) {
		b.closeBatch()
	}
	return b.startWrites(now)
}

// Drain returns the batches to write before a graceful stop. Unlike Flush, it does
// not wait for the flush interval.
func (b *Buffer) Drain(now time.Time) []BatchWrite {
	if b.openBatch != nil {
		b.closeBatch()
	}
	return b.startWrites(now)
}

func (b *Buffer) startWrites(now time.Time) []BatchWrite {
	if now.Before(b.retryAt) {
		return nil
	}
	limit := b.opts.MaxWritesInFlight
	if b.consecutiveFailures > 0 {
		limit = 1 // one write tests whether the store is available again
	}
	var out []BatchWrite
	for _, pending := range b.closedBatches {
		if b.writesInFlight >= limit {
			break
		}
		if pending.inFlight {
			continue
		}
		if pending.sequence == 0 {
			b.lastSequence++
			pending.sequence = b.lastSequence
		}
		pending.inFlight = true
		b.writesInFlight++
		out = append(out, BatchWrite{ObjectKey: b.objectKey(pending.sequence), Value: b.encodeBatch(pending)})
	}
	return out
}

func (b *Buffer) objectKey(sequence int64) string {
	return fmt.Sprintf(KeyPrefix+"%d/%d", b.incarnation, sequence)
}

func (b *Buffer) encodeBatch(pending *pendingBatch) []byte {
	batch := api.UsageBatch{Incarnation: int(b.incarnation), Sequence: int(pending.sequence), Records: make([]api.UsageRecord, 0, pending.records)}
	records := recordReader{values: b.dictionary.values, data: pending.data}
	for range pending.records {
		r, _ := records.next()
		batch.Records = append(batch.Records, r)
	}
	raw, err := json.Marshal(batch)
	if err != nil {
		panic(fmt.Sprintf("usage batch cannot be encoded: %v", err))
	}
	return raw
}

// HandleWriteResult applies the outcome of a write and returns the confirmations to send.
//
// After a failed or ambiguous write, the batch is written again with the same key.
// After a conflict, it is written with the next key, because the existing object may
// belong to another process with the same incarnation. Readers ignore records that
// are stored twice.
func (b *Buffer) HandleWriteResult(now time.Time, objectKey string, outcome WriteOutcome) []Confirmation {
	i, pending := b.findInFlight(objectKey)
	if pending == nil {
		return nil
	}
	pending.inFlight = false
	b.writesInFlight--
	switch outcome {
	case WriteSucceeded:
		b.consecutiveFailures = 0
		b.closedBatches = append(b.closedBatches[:i], b.closedBatches[i+1:]...)
		b.recordBytes -= len(pending.data)
		confirmations := b.confirmations(pending)
		b.resetDictionary()
		return confirmations
	case WriteConflict:
		pending.sequence = 0
	default:
		pause := min(b.opts.InitialBackoff<<min(b.consecutiveFailures, 10), b.opts.MaxBackoff)
		b.consecutiveFailures++
		b.retryAt = now.Add(pause)
	}
	return nil
}

// findInFlight returns the batch that is being written with a key and its index in
// closedBatches, or nil.
func (b *Buffer) findInFlight(objectKey string) (int, *pendingBatch) {
	for i, pending := range b.closedBatches {
		if pending.inFlight && b.objectKey(pending.sequence) == objectKey {
			return i, pending
		}
	}
	return 0, nil
}

func (b *Buffer) confirmations(pending *pendingBatch) []Confirmation {
	var out []Confirmation
	records := recordReader{values: b.dictionary.values, data: pending.data}
	for range pending.records {
		r, sidecars := records.next()
		for _, s := range sidecars {
			out = append(out, Confirmation{s, api.UsageConfirm{Request: r.Request, Stage: r.Stage}})
		}
	}
	return out
}

// resetDictionary drops the dictionary when no batch refers to it.
func (b *Buffer) resetDictionary() {
	if b.openBatch == nil && len(b.closedBatches) == 0 {
		b.dictionary = newDictionary()
	}
}

// Bytes returns the size of the buffered records and the dictionary.
func (b *Buffer) Bytes() int { return b.recordBytes + b.dictionary.bytes }

// RecordCount returns the number of buffered records, including those being written.
func (b *Buffer) RecordCount() int {
	n := 0
	if b.openBatch != nil {
		n = b.openBatch.records
	}
	for _, pending := range b.closedBatches {
		n += pending.records
	}
	return n
}
