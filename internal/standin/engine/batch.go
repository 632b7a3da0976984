package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// attemptID identifies an attempt of a request.
type attemptID struct {
	request string
	attempt int
}

// sequence is a request in the queue or in the batch.
type sequence struct {
	body           generateRequest
	id             attemptID
	faults         base.MatchedFaults
	seed           uint64
	poor           bool
	arrivalNumber  int64
	arrivedAt      time.Time
	answerTokens   int // length of the whole answer
	nextToken      int // index of the next token
	promptTokens   int
	cachedTokens   int // prompt tokens that were in the cache
	reservedTokens int // memory reserved in the cache
	prefillTokens  int // prompt tokens that are not prefilled yet
	stepCredit     float64
	runHandle      int // handle of base.Ledger.StartRun
	out            *stream
}

// event is an event of an answer stream: the token with the given index, or the end of the
// stream when finishReason is set.
type event struct {
	sequence     *sequence
	index        int
	finishReason string
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

// drain returns the pending events and uses buffer to collect the next ones.
func (s *stream) drain(buffer []event) []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.pending
	s.pending = buffer[:0]
	return events
}

// runBatch runs batch steps while there is work, until the engine is closed. A step emits its
// tokens at its end.
func (e *Engine) runBatch() {
	due := time.Now()
	for e.waitForWork() {
		duration, busy := e.beginStep()
		if !busy {
			continue
		}
		// Catching up on a late step would exceed the speed of the engine.
		if now := time.Now(); due.Before(now) {
			due = now
		}
		due = due.Add(duration)
		if !e.sleepUnlessClosed(time.Until(due)) || !e.waitForFreezeEnd() {
			return
		}
		e.endStep()
	}
}

// waitForFreezeEnd blocks while the engine is frozen. It returns false when the engine is
// closed.
func (e *Engine) waitForFreezeEnd() bool {
	for freezeEnd := e.faults.FreezeEnd(); freezeEnd != nil; freezeEnd = e.faults.FreezeEnd() {
		select {
		case <-freezeEnd:
		case <-e.quit:
			return false
		}
	}
	return true
}

// sleepUnlessClosed waits for d. It returns false when the engine is closed.
func (e *Engine) sleepUnlessClosed(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.quit:
		return false
	}
}

// waitForWork blocks while the engine is idle or frozen. It returns false when the engine is
// closed.
func (e *Engine) waitForWork() bool {
	for {
		freezeEnd := e.faults.FreezeEnd()
		e.mu.Lock()
		idle := len(e.queue) == 0 && len(e.running) == 0
		e.mu.Unlock()
		if freezeEnd == nil && !idle {
			return true
		}
		select {
		case <-freezeEnd:
		case <-e.wakeUnlessFrozen(freezeEnd):
		case <-e.quit:
			return false
		}
	}
}

// wakeUnlessFrozen returns the wake channel, or nil, which blocks, while the engine is
// frozen.
func (e *Engine) wakeUnlessFrozen(freezeEnd <-chan struct{}) <-chan struct{} {
	if freezeEnd != nil {
		return nil
	}
	return e.wake
}

// beginStep fills the batch and returns the duration of the step. busy is false for an empty
// batch.
func (e *Engine) beginStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillBatch()
	if len(e.running) == 0 {
		return 0, false
	}
	load := float64(len(e.running)) / float64(e.config.Slots)
	duration = time.Duration(float64(e.config.StepTime) * (1 + e.config.BatchSlowdown*load))
	e.timing.recordStep(duration)
	return duration, true
}

// endStep advances each request of the batch by one step and removes the finished ones.
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

// fillBatch moves queued requests into free slots in the order of precedes. It stops at the
// first request that does not fit into the memory.
func (e *Engine) fillBatch() {
	for len(e.running) < e.config.Slots && len(e.queue) > 0 {
		best := 0
		for i, s := range e.queue {
			if s.precedes(e.queue[best]) {
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

// precedes orders the queue: the lower priority value first, then the earlier arrival.
func (s *sequence) precedes(other *sequence) bool {
	if s.body.Priority != other.body.Priority {
		return s.body.Priority < other.body.Priority
	}
	return s.arrivalNumber < other.arrivalNumber
}

// admit looks up the cached prefix and reserves memory for the rest of the request. It
// returns false when the memory does not suffice.
func (e *Engine) admit(s *sequence) bool {
	key := cacheKey{s.body.Version, Fingerprint(s.body.Messages)}
	cached := e.cache.lookup(key)
	reserve := s.promptTokens - cached + s.answerTokens
	if !e.cache.reserve(reserve) {
		return false
	}
	s.cachedTokens, s.reservedTokens = cached, reserve
	s.prefillTokens = s.promptTokens - cached + s.nextToken
	return true
}

// advance runs one step of a request and reports whether the request continues. The step
// credit skips steps of requests that FaultSlow slows down.
func (e *Engine) advance(s *sequence) bool {
	s.stepCredit += 1 / s.slowdown()
	if s.stepCredit < 1 {
		return true
	}
	s.stepCredit--
	if s.prefillTokens > 0 {
		s.prefillTokens -= e.config.PrefillTokens
		if s.prefillTokens > 0 {
			return true
		}
	}
	if s.nextToken < s.answerTokens {
		e.emitToken(s)
	}
	if s.nextToken < s.answerTokens {
		return true
	}
	e.finish(s, base.OutcomeFinished) // before the caller can read the end of its answer
	s.out.push(event{sequence: s, finishReason: finishReason(s.seed, s.body.MaxTokens)})
	return false
}

func (s *sequence) slowdown() float64 {
	return max(1, s.faults[base.FaultSlow].Factor)
}

func (e *Engine) emitToken(s *sequence) {
	if s.nextToken == s.body.Offset {
		e.timing.recordFirstToken(time.Since(s.arrivedAt))
		first := s.body.Messages[0]
		e.cache.add(cacheKey{s.body.Version, Fingerprint(s.body.Messages)}, messageTokens(first))
	}
	s.out.push(event{sequence: s, index: s.nextToken})
	s.nextToken++
}

// finish releases the memory of a request and records its outcome.
func (e *Engine) finish(s *sequence, outcome string) {
	e.cache.release(s.reservedTokens)
	s.reservedTokens = 0
	delete(e.attempts, s.id)
	if e.pendingSwap == s {
		e.pendingSwap = nil
	}
	if s.faults.Has(base.FaultError) {
		outcome = base.OutcomeFailed
	}
	e.ledger.FinishRun(s.runHandle, outcome, s.nextToken-s.body.Offset)
}

// cancelAttempt cancels the queued or running attempt with the given id, if there is one.
func (e *Engine) cancelAttempt(id attemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.attempts[id]; ok {
		e.cancelSequence(s)
	}
}

// dropAbandoned cancels a request whose caller has disconnected, unless it has finished.
func (e *Engine) dropAbandoned(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[s.id] == s {
		e.cancelSequence(s)
	}
}

// cancelSequence removes a request from the queue and the batch and ends its stream.
func (e *Engine) cancelSequence(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.finish(s, base.OutcomeCancelled)
	s.out.push(event{sequence: s, finishReason: "cancelled"})
}
