package gateway

import (
	"context"
	"sync"
	"time"
)

// renewals lets the followers of one store learn from each other. A store that comes back
// or drops its history may leave a watch hanging that hears nothing more; the follower with
// the shortest watch notices first, and the calls that the others wait for are cut off, so
// that they list again.
type renewals struct {
	mu      sync.Mutex
	waiting map[*follower]context.CancelFunc
	last    time.Duration
}

// renewalRest is the least time between two renewals because the store answers again. All
// followers of a store notice one outage within it.
const renewalRest = 2 * time.Second

func newRenewals() *renewals {
	return &renewals{waiting: map[*follower]context.CancelFunc{}, last: -renewalRest}
}

// begin registers a call of a follower, or its pause after a failed one; the returned context ends early at a renewal.
func (r *renewals) begin(ctx context.Context, f *follower) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[f] = cancel
	return ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting, f)
		cancel()
	}
}

// answersAgain ends the calls of all followers but f, unless that has just been done. It
// reports whether it did.
func (r *renewals) answersAgain(f *follower, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.last < renewalRest {
		return false
	}
	r.renew(f, now)
	return true
}

// historyGone ends the calls of all followers but f. Each loss counts, also one right after
// another; a follower that lists after it does not meet the same one again.
func (r *renewals) historyGone(f *follower, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renew(f, now)
}

func (r *renewals) renew(f *follower, now time.Duration) {
	r.last = now
	for other, cancel := range r.waiting {
		if other != f {
			cancel()
		}
	}
}
