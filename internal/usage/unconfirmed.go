package usage

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// heldOverhead bounds the memory of a held record besides its request
// identifier, in bytes: the struct, its map entry and its place in the order.
const heldOverhead = 512

type stageID struct {
	request string
	stage   int
}

type held struct {
	record api.UsageRecord
	due    time.Time
}

// Unconfirmed holds the records of the stages that ran beside a sidecar until
// their entry confirms that they are stored. When no confirmation comes the
// sidecar writes them itself. It is not safe for concurrent use.
type Unconfirmed struct {
	buffer       *Buffer
	confirmAfter time.Duration
	maxBytes     int
	bytes        int
	reserved     int
	held         map[stageID]held
	order        []stageID
}

// NewUnconfirmed returns the records of one incarnation of a sidecar. The held
// records and those it writes itself are each bounded by half of opts.MaxBytes.
func NewUnconfirmed(incarnation int64, confirmAfter time.Duration, opts Options) *Unconfirmed {
	opts = opts.withDefaults()
	opts.MaxBytes /= 2
	return &Unconfirmed{
		buffer: NewBuffer(incarnation, opts), confirmAfter: confirmAfter, maxBytes: opts.MaxBytes,
		held: map[stageID]held{},
	}
}

// SetConfirmAfter changes the wait for a confirmation, also of the records that
// are already held.
func (u *Unconfirmed) SetConfirmAfter(d time.Duration) {
	change := d - u.confirmAfter
	if change == 0 {
		return
	}
	u.confirmAfter = d
	for id, h := range u.held {
		h.due = h.due.Add(change)
		u.held[id] = h
	}
}

// Full reports whether a further attempt must be refused.
func (u *Unconfirmed) Full() bool {
	return u.bytes+(u.reserved+1)*(heldOverhead+maxRequestBytes) > u.maxBytes
}

// Reserve keeps room for the record of an attempt that is about to run.
func (u *Unconfirmed) Reserve() *errkind.Error {
	if u.Full() {
		return u.buffer.refusal()
	}
	u.reserved++
	return nil
}

// Cancel returns a reservation of an attempt that did not run.
func (u *Unconfirmed) Cancel() {
	if u.reserved > 0 {
		u.reserved--
	}
}

// Add takes the record of a stage that ran. A second run of the same stage
// beside this sidecar keeps the first record. Entry is cleared in the record:
// only records stated by an entry name one, and Totals prefers those.
func (u *Unconfirmed) Add(now time.Time, r api.UsageRecord) *errkind.Error {
	id := stageID{r.Request, r.Stage}
	if _, ok := u.held[id]; ok {
		u.Cancel()
		return nil
	}
	if u.reserved == 0 && u.Full() {
		return u.buffer.refusal()
	}
	if len(r.Request) > maxRequestBytes {
		return errkind.New(errkind.Internal, "the usage record is larger than its bounds")
	}
	u.Cancel()
	r.Entry = ""
	u.held[id] = held{r, now.Add(u.confirmAfter)}
	u.order = append(u.order, id)
	u.bytes += heldOverhead + len(r.Request)
	return nil
}

// Confirm drops a record that its entry has stored.
func (u *Unconfirmed) Confirm(c api.UsageConfirm) { u.drop(stageID{c.Request, c.Stage}) }

func (u *Unconfirmed) drop(id stageID) {
	if _, ok := u.held[id]; !ok {
		return
	}
	delete(u.held, id)
	u.bytes -= heldOverhead + len(id.request)
}

// Flush returns the batches that the sidecar writes itself at now.
func (u *Unconfirmed) Flush(now time.Time) []Write {
	u.promote(now, false)
	return u.buffer.Flush(now)
}

// Drain returns the batches to write before a graceful stop, without waiting for
// confirmations.
func (u *Unconfirmed) Drain(now time.Time) []Write {
	u.promote(now, true)
	return u.buffer.Drain(now)
}

// promote moves the records without confirmation to the write buffer, as far as
// it has room.
func (u *Unconfirmed) promote(now time.Time, all bool) {
	for len(u.order) > 0 {
		id := u.order[0]
		h, ok := u.held[id]
		if ok && !all && now.Before(h.due) {
			return
		}
		if ok && u.buffer.Add(now, h.record) != nil {
			return
		}
		u.drop(id)
		u.order = u.order[1:]
	}
	u.order = nil
}

// WriteResult applies the outcome of a Write.
func (u *Unconfirmed) WriteResult(now time.Time, objectKey string, outcome Outcome) {
	u.buffer.WriteResult(now, objectKey, outcome)
}

// Records returns the number of records held and being written.
func (u *Unconfirmed) Records() int { return len(u.held) + u.buffer.Records() }
