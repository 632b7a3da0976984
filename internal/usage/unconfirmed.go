package usage

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// unconfirmedRecordOverhead is an upper limit for the memory of an unconfirmed record
// besides its request identifier, in bytes: the struct, its map entry and its
// element in the arrival order.
const unconfirmedRecordOverhead = 512

type stageID struct {
	request string
	stage   int
}

type unconfirmedRecord struct {
	record    api.UsageRecord
	confirmBy time.Time
}

// UnconfirmedRecords holds the records of the stages that a sidecar ran until the entry
// confirms that they are stored. After the confirmation timeout, the sidecar writes
// a record itself. It is not safe for concurrent use.
type UnconfirmedRecords struct {
	buffer         *Buffer
	confirmTimeout time.Duration
	maxBytes       int
	recordBytes    int
	reservations   int
	unconfirmed    map[stageID]unconfirmedRecord
	arrivalOrder   []stageID
}

// NewUnconfirmedRecords returns an empty set of records for one incarnation of a sidecar. The
// unconfirmed records and the records that the sidecar writes itself are limited to
// half of opts.MaxBytes each.
func NewUnconfirmedRecords(incarnation int64, confirmTimeout time.Duration, opts Options) *UnconfirmedRecords {
	opts = opts.withDefaults()
	opts.MaxBytes /= 2
	return &UnconfirmedRecords{
		buffer: NewBuffer(incarnation, opts), confirmTimeout: confirmTimeout, maxBytes: opts.MaxBytes,
		unconfirmed: map[stageID]unconfirmedRecord{},
	}
}

// SetConfirmTimeout changes the confirmation timeout, also for the records that are
// already waiting.
func (u *UnconfirmedRecords) SetConfirmTimeout(d time.Duration) {
	delta := d - u.confirmTimeout
	if delta == 0 {
		return
	}
	u.confirmTimeout = d
	for id, pending := range u.unconfirmed {
		pending.confirmBy = pending.confirmBy.Add(delta)
		u.unconfirmed[id] = pending
	}
}

// Full reports whether a further attempt must be refused.
func (u *UnconfirmedRecords) Full() bool {
	return u.recordBytes+(u.reservations+1)*(unconfirmedRecordOverhead+maxRequestIDBytes) > u.maxBytes
}

// Reserve reserves space for the record of an attempt that is about to run. When
// there is none, it returns an error of kind overloaded with run state not_run.
func (u *UnconfirmedRecords) Reserve() *errkind.Error {
	if u.Full() {
		return u.buffer.fullError()
	}
	u.reservations++
	return nil
}

// CancelReservation releases the reservation of an attempt that did not run.
func (u *UnconfirmedRecords) CancelReservation() {
	if u.reservations > 0 {
		u.reservations--
	}
}

// Add holds the record of a stage that ran, and uses up one reservation. When the
// sidecar runs the same stage again, the first record is kept. Add clears the Entry
// field, because only records from an entry have it set, and Totals prefers those.
//
// It returns an error of kind overloaded when there is no space and nothing is
// reserved, and one of kind internal when the request identifier is too long.
func (u *UnconfirmedRecords) Add(now time.Time, r api.UsageRecord) *errkind.Error {
	id := stageID{r.Request, r.Stage}
	if _, ok := u.unconfirmed[id]; ok {
		u.CancelReservation()
		return nil
	}
	if u.reservations == 0 && u.Full() {
		return u.buffer.fullError()
	}
	if len(r.Request) > maxRequestIDBytes {
		return errkind.New(errkind.Internal, "request identifier of the usage record is longer than 128 bytes")
	}
	u.CancelReservation()
	r.Entry = ""
	u.unconfirmed[id] = unconfirmedRecord{r, now.Add(u.confirmTimeout)}
	u.arrivalOrder = append(u.arrivalOrder, id)
	u.recordBytes += unconfirmedRecordOverhead + len(r.Request)
	return nil
}

// AddAll holds all of the given records, without reservations, or none of them if it returns
// an error. The errors are those of Add.
func (u *UnconfirmedRecords) AddAll(now time.Time, records []api.UsageRecord) *errkind.Error {
	var added []stageID
	for _, r := range records {
		id := stageID{r.Request, r.Stage}
		if _, ok := u.unconfirmed[id]; ok {
			continue
		}
		err := u.Reserve()
		if err == nil {
			if err = u.Add(now, r); err != nil {
				u.CancelReservation()
			}
		}
		if err != nil {
			for _, id := range added {
				u.remove(id)
			}
			return err
		}
		added = append(added, id)
	}
	return nil
}

// Confirm drops the record of a stage that the entry has stored.
func (u *UnconfirmedRecords) Confirm(c api.UsageConfirm) { u.remove(stageID{c.Request, c.Stage}) }

func (u *UnconfirmedRecords) remove(id stageID) {
	if _, ok := u.unconfirmed[id]; !ok {
		return
	}
	delete(u.unconfirmed, id)
	u.recordBytes -= unconfirmedRecordOverhead + len(id.request)
}

// Flush returns the batches that the sidecar must write itself now. The caller must
// report the result of each write.
func (u *UnconfirmedRecords) Flush(now time.Time) []BatchWrite {
	u.moveToBuffer(now, false)
	return u.buffer.Flush(now)
}

// Drain returns the batches to write before a graceful stop. Unlike Flush, it does
// not wait for confirmations.
func (u *UnconfirmedRecords) Drain(now time.Time) []BatchWrite {
	u.moveToBuffer(now, true)
	return u.buffer.Drain(now)
}

// moveToBuffer moves the records without a confirmation to the write buffer until it
// is full. Records within the confirmation timeout are moved only with
// includeUnexpired.
func (u *UnconfirmedRecords) moveToBuffer(now time.Time, includeUnexpired bool) {
	for len(u.arrivalOrder) > 0 {
		id := u.arrivalOrder[0]
		pending, ok := u.unconfirmed[id]
		if ok && !includeUnexpired && now.Before(pending.confirmBy) {
			return
		}
		if ok && u.buffer.Add(now, pending.record) != nil {
			return
		}
		u.remove(id)
		u.arrivalOrder = u.arrivalOrder[1:]
	}
	u.arrivalOrder = nil
}

// HandleWriteResult applies the outcome of a write.
func (u *UnconfirmedRecords) HandleWriteResult(now time.Time, objectKey string, outcome WriteOutcome) {
	u.buffer.HandleWriteResult(now, objectKey, outcome)
}

// RecordCount returns the number of records that wait for a confirmation or are being
// written.
func (u *UnconfirmedRecords) RecordCount() int { return len(u.unconfirmed) + u.buffer.RecordCount() }
