package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// silenceShare of the steps of a seed that draws silences begin one.
	silenceShare = 0.6
	// minSilence and maxSilence bound how long a worker sends nothing. A request that meets one silence can be
	// answered before its deadline.
	minSilence, maxSilence = 300 * time.Millisecond, 3 * time.Second
	// overlapBound is how long two workers may hold one request.
	overlapBound = 400 * time.Millisecond
	// deadlineMargin is the time before the deadline in which a gateway may give up a request.
	deadlineMargin = 100 * time.Millisecond
	// goingOnShare is one in how many workers goes on when the connection of a request closes.
	goingOnShare = 3
)

// silences makes workers send nothing for a while, at any byte of their answers, and go on as if nothing had been.
type silences struct {
	mu    sync.Mutex
	rng   *rand.Rand           // nil in seeds that draw none
	until map[string]time.Time // by worker ID
	count int
	// faults are the times at which a worker or its connections had a fault other than silence.
	faults []workerDelay
}

// drawSilences returns the silences of a seed. They are drawn apart from the other faults, and only in some seeds, so
// that the seeds that ever failed are played as before.
func drawSilences(seed uint64) *silences {
	s := &silences{until: map[string]time.Time{}}
	if seed%4 == 0 || seed%16 == 7 || seed%16 == 14 {
		s.rng = rand.New(rand.NewPCG(seed, 0x511e)) //nolint:gosec // seeded on purpose
	}
	return s
}

// goesOn reports whether the worker with a number goes on when the connection of a request closes.
func (s *silences) goesOn(number int) bool { return s.rng != nil && number%goingOnShare == 0 }

// startSilence makes one worker silent now and then, or a tenth of all.
func (sc *scenario) startSilence() {
	s := sc.silences
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng == nil || s.rng.Float64() >= silenceShare {
		return
	}
	together := 1
	if s.rng.IntN(2) == 0 {
		together = (len(sc.workers) + 9) / 10
	}
	until := time.Now().Add(minSilence + time.Duration(s.rng.Int64N(int64(maxSilence-minSilence))))
	for _, n := range s.rng.Perm(len(sc.workers))[:together] {
		// Between two silences a worker has time to answer what has waited.
		if id := sc.workers[n].id; time.Since(s.until[id]) > time.Second {
			s.until[id] = until
			s.count++
		}
	}
}

// place returns at which of the next n bytes a worker falls silent, and until when.
func (s *silences) place(worker string, n int) (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.until[worker]
	if n == 0 || time.Now().After(until) {
		return 0, time.Time{}
	}
	return max(s.rng.IntN(2*n)-n, 0), until // half of them before the first byte
}

// recordFault records that a worker or its connections have a fault other than silence.
func (s *silences) recordFault(worker string, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, workerDelay{worker, time.Now(), time.Now().Add(length)})
}

// silentListener accepts the connections of a worker that falls silent.
type silentListener struct {
	net.Listener
	worker   string
	silences *silences
}

func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return silentConn{c, l}, err
}

type silentConn struct {
	net.Conn
	listener silentListener
}

// Write writes b, and waits inside it while the worker is silent.
func (c silentConn) Write(b []byte) (int, error) {
	at, until := c.listener.silences.place(c.listener.worker, len(b))
	n, err := c.Conn.Write(b[:at])
	time.Sleep(time.Until(until))
	if err != nil {
		return n, err
	}
	rest, err := c.Conn.Write(b[at:])
	return n + rest, err
}

// heldUntil returns when a run had ended, or when its worker had dropped it because its connection was closed.
func (r run) heldUntil() time.Time {
	switch {
	case !r.goesOn && !r.leftAt.IsZero():
		return r.leftAt
	case r.endedAt.IsZero():
		return time.Now()
	default:
		return r.endedAt
	}
}

// checkHeld checks that no answer fails while its worker is at work on it and its deadline is not reached, and that
// two workers do not hold one request for long. Calls whose gateway or a worker of theirs had another fault do not count.
func (sc *scenario) checkHeld(c *call, add reportFunc) {
	runs := sc.ledger.runsOf(c.id)
	if sc.wasInterrupted(c) || slices.ContainsFunc(runs, func(r run) bool { return sc.hadFault(r, c) }) {
		return
	}
	// A gateway takes a request with a fatal part from its worker before that ends under it.
	hasFailed := (c.status != http.StatusOK || !c.complete) && sc.fatal.of(c.path, c.prompt) == "" && c.endedAt.Before(c.sentAt.Add(callDeadline-deadlineMargin))
	for i, r := range runs {
		if hasFailed && !r.leftAt.IsZero() {
			add("%s: %s ended with status %d, complete %v, %v after it was sent; its run on %s was left after %v at work, of %d runs", c.id, c.path, c.status, c.complete, c.endedAt.Sub(c.sentAt), r.worker, r.leftAt.Sub(r.startedAt), len(runs))
		}
		for _, next := range runs[i+1:] {
			if both := heldTogether(c.path, r, next); both > overlapBound {
				add("%s: %s was held by %s and %s together for %v", c.id, c.path, r.worker, next.worker, both)
			}
		}
	}
}

// heldTogether returns how long two workers held one request. A plain request may be answered by another worker while
// a silent one that does not stop is still at work on it.
func heldTogether(path string, first, next run) time.Duration {
	if path != streamPath && (first.goesOn || next.goesOn) || next.worker == first.worker {
		return 0
	}
	until := first.heldUntil()
	if next.heldUntil().Before(until) {
		until = next.heldUntil()
	}
	return until.Sub(next.startedAt)
}

// hadFault reports whether the worker of a run had a fault other than silence during a call.
func (sc *scenario) hadFault(r run, c *call) bool {
	return slices.ContainsFunc(sc.silences.faults, func(f workerDelay) bool {
		return f.worker == r.worker && !f.to.Before(c.sentAt) && !f.from.After(c.endedAt)
	})
}

// wasInterrupted reports whether the gateway process of a call was paused or killed during the call.
func (sc *scenario) wasInterrupted(c *call) bool {
	return slices.ContainsFunc(sc.interruptions, func(f faultInterval) bool {
		return f.gateway == c.gateway && !f.to.Before(c.sentAt) && !f.from.After(c.endedAt)
	})
}

// recordInterruption records that a gateway process is paused or killed, after a delay and for a time.
func (sc *scenario) recordInterruption(gateway int, delay, length time.Duration) {
	from := time.Now().Add(delay)
	sc.interruptions = append(sc.interruptions, faultInterval{gateway, from, from.Add(length)})
}
