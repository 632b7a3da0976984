package intake

import (
	"sync"
	"time"
)

// timeout joins the time-out of a head with the read deadline that net/http sets.
type timeout struct {
	mu         sync.Mutex
	own, other time.Time // zero for none
}

// set ends a read after d.
func (t *timeout) set(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = time.Now().Add(d)
}

func (t *timeout) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = time.Time{}
}

func (t *timeout) setOther(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.other = at
}

// isOver reports whether the time-out of the head has passed, and no other deadline has.
func (t *timeout) isOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	return !t.own.IsZero() && now.After(t.own) && (t.other.IsZero() || now.Before(t.other))
}

// apply sets the earlier one as the deadline. It holds the lock, so that no earlier call overtakes a later one.
func (t *timeout) apply(setDeadline func(time.Time) error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	earliest := t.own
	if earliest.IsZero() || !t.other.IsZero() && t.other.Before(earliest) {
		earliest = t.other
	}
	return setDeadline(earliest)
}
