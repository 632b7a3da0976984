package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

type attemptID struct {
	request string
	attempt int
}

// sequence is one request in the queue or in the batch.
type sequence struct {
	body     generateBody
	id       attemptID
	hit      base.Hit
	seed     uint64
	poor     bool
	arrival  int64
	arrived  time.Time
	length   int // tokens of the whole answer
	next     int // index of the next token
	prompt   int // prompt tokens
	cached   int // prompt tokens found in the cache
	reserved int // tokens of memory held
	prefill  int // prompt tokens still to read
	credit   float64
	handle   int // ledger handle
	out      *stream
}

// event is one event for a stream: a token, or the end when end is set.
type event struct {
	from  *sequence
	index int
	end   string // finish reason
}

// stream passes events from the batch loop to the handler of one call.
type stream struct {
	mu      sync.Mutex
	pending []event
	ready   chan struct{}
}

func newStream() *stream { return &stream{ready: make(chan struct{}, 1)} }

func (s *stream) push(e event) {
	s.mu.Lock()
	s.pending = append(s.pending, e)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take returns the pending events and reuses buffer for the next ones.
func (s *stream) take(buffer []event) []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.pending
	s.pending = buffer[:0]
	return taken
}

// runBatch makes one step after another while there is work. Tokens come out at
// the end of a step.
func (e *Engine) runBatch() {
	due := time.Now()
	for e.waitForWork() {
		took, busy := e.beginStep()
		if !busy {
			continue
		}
		// A late step is not caught up: the engine would run faster than it can.
		if now := time.Now(); due.Before(now) {
			due = now
		}
		due = due.Add(took)
		if !e.sleep(time.Until(due)) || !e.waitForThaw() {
			return
		}
		e.endStep()
	}
}

// waitForThaw blocks while the engine is frozen.
func (e *Engine) waitForThaw() bool {
	for thaw := e.faults.Frozen(); thaw != nil; thaw = e.faults.Frozen() {
		select {
		case <-thaw:
		case <-e.quit:
			return false
		}
	}
	return true
}

func (e *Engine) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.quit:
		return false
	}
}

// waitForWork blocks while the engine is idle or frozen.
func (e *Engine) waitForWork() bool {
	for {
		thaw := e.faults.Frozen()
		e.mu.Lock()
		idle := len(e.queue) == 0 && len(e.running) == 0
		e.mu.Unlock()
		if thaw == nil && !idle {
			return true
		}
		select {
		case <-thaw:
		case <-e.wakeUnless(thaw):
		case <-e.quit:
			return false
		}
	}
}

// wakeUnless returns the wake channel, or nil while the engine is frozen.
func (e *Engine) wakeUnless(thaw <-chan struct{}) <-chan struct{} {
	if thaw != nil {
		return nil
	}
	return e.wake
}

// beginStep fills the batch and returns the time that the step takes.
func (e *Engine) beginStep() (took time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fill()
	if len(e.running) == 0 {
		return 0, false
	}
	load := float64(len(e.running)) / float64(e.config.Slots)
	took = time.Duration(float64(e.config.StepTime) * (1 + e.config.BatchSlowdown*load))
	e.timing.step(took)
	return took, true
}

// endStep advances every request of the batch by one step.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// fill moves waiting requests into free slots, the most urgent first.
func (e *Engine) fill() {
	for len(e.running) < e.config.Slots && len(e.queue) > 0 {
		best := 0
		for i, s := range e.queue {
			if s.before(e.queue[best]) {
				best = i
			}
		}
		s := e.queue[best]
		if !e.admit(s) {
			return
		}
		e.queue = slices.Delete(e.queue, best, best+1)
		e.running = append(e.running, s)
	}
}

func (s *sequence) before(other *sequence) bool {
	if s.body.Priority != other.body.Priority {
		return s.body.Priority < other.body.Priority
	}
	return s.arrival < other.arrival
}

// admit reserves memory and looks the prefix up.
func (e *Engine) admit(s *sequence) bool {
	key := cacheKey{s.body.Version, Fingerprint(s.body.Messages)}
	cached := e.cache.lookup(key)
	reserve := s.prompt - cached + s.length
	if !e.cache.reserve(reserve) {
		return false
	}
	s.cached, s.reserved = cached, reserve
	s.prefill = s.prompt - cached + s.next
	return true
}

// advance makes one step of a request and reports whether it goes on.
func (e *Engine) advance(s *sequence) bool {
	s.credit += 1 / s.slowdown()
	if s.credit < 1 {
		return true
	}
	s.credit--
	if s.prefill > 0 {
		s.prefill -= e.config.PrefillTokens
		if s.prefill > 0 {
			return true
		}
	}
	if s.next < s.length {
		e.emit(s)
	}
	if s.next < s.length {
		return true
	}
	s.out.push(event{from: s, end: finishReason(s.seed, s.body.MaxTokens)})
	e.retire(s, base.OutcomeFinished)
	return false
}

func (s *sequence) slowdown() float64 {
	return max(1, s.hit[base.FaultSlow].Factor)
}

func (e *Engine) emit(s *sequence) {
	if s.next == s.body.Offset {
		e.timing.first(time.Since(s.arrived))
		first := s.body.Messages[0]
		e.cache.add(cacheKey{s.body.Version, Fingerprint(s.body.Messages)}, messageTokens(first))
	}
	s.out.push(event{from: s, index: s.next})
	s.next++
}

// retire releases what a request holds and records its end.
func (e *Engine) retire(s *sequence, outcome string) {
	e.cache.release(s.reserved)
	s.reserved = 0
	delete(e.byID, s.id)
	if e.crossing == s {
		e.crossing = nil
	}
	if s.hit.Has(base.FaultError) {
		outcome = base.OutcomeFailed
	}
	e.ledger.Finish(s.handle, outcome, s.next-s.body.Offset)
}

// cancelAttempt drops the attempt that runs under id, if any.
func (e *Engine) cancelAttempt(id attemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.byID[id]; ok {
		e.drop(s)
	}
}

// abandon drops a request whose caller is gone; a finished one stays finished.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID[s.id] == s {
		e.drop(s)
	}
}

// drop removes a request from queue and batch and ends its stream.
func (e *Engine) drop(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.retire(s, base.OutcomeCancelled)
	s.out.push(event{from: s, end: "cancelled"})
}
