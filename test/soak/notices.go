package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// noticeKind is what a worker asks for in its answers.
type noticeKind int

const (
	leavingNotice noticeKind = iota
	limitNotice
	pauseNotice
	noticeKinds
)

const (
	// limitPerSecond is the limit that a worker names, in requests a second of all gateways.
	limitPerSecond = 2.0
	// limitWindow, limitFactor and limitSlack are the allowance for it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// noticeDelay is the time after an answer from which a gateway is bound by it.
	noticeDelay = 500 * time.Millisecond
	// pauseTime is the time that a worker asks for when it turns requests away.
	pauseTime = 2 * time.Second
	// maxPausedArrivals is how many requests may reach a worker from a gateway in that time.
	maxPausedArrivals = 2
)

// notice is what one worker asked for in one period.
type notice struct {
	worker   string
	kind     noticeKind
	from, to time.Time // to is zero for a worker that leaves
}

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

// noticeLog records the notices and the arrivals at the workers that stated them.
type noticeLog struct {
	mu       sync.Mutex
	notices  []*notice
	active   map[string]*notice
	arrivals map[*notice][]arrival
}

func newNoticeLog() *noticeLog {
	return &noticeLog{active: map[string]*notice{}, arrivals: map[*notice][]arrival{}}
}

// start begins a notice of a worker, unless it states one already. A worker that leaves goes on.
func (l *noticeLog) start(worker string, kind noticeKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[worker] != nil {
		return false
	}
	n := &notice{worker: worker, kind: kind, from: time.Now()}
	l.active[worker] = n
	l.notices = append(l.notices, n)
	return true
}

func (l *noticeLog) end(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.active[worker]; n != nil && n.kind != leavingNotice {
		n.to = time.Now()
		delete(l.active, worker)
	}
}

// arrive records a request and states the notice of its worker in the header of the answer. It
// reports whether the worker turns the request away.
func (l *noticeLog) arrive(worker, id string, h http.Header) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.active[worker]
	if n == nil {
		return false
	}
	l.arrivals[n] = append(l.arrivals[n], arrival{id, time.Now()})
	switch n.kind {
	case leavingNotice:
		h.Set(platform.Headers.Leaving, "1")
	case limitNotice:
		h.Set(platform.Headers.RateLimit, fmt.Sprint(limitPerSecond))
	case pauseNotice:
		h.Set("Retry-After", fmt.Sprint(pauseTime.Seconds()))
		h.Set(platform.Headers.NotRun, "1")
		return true
	}
	return false
}

// startNotice makes a worker state a notice. A worker that leaves is replaced.
func (sc *scenario) startNotice(rng *rand.Rand, p *proxiedWorker) {
	kind := noticeKind(rng.IntN(int(noticeKinds)))
	if kind == leavingNotice {
		if err := sc.addWorker(p.version); err != nil {
			sc.errs <- err
			return
		}
	}
	if !sc.notices.start(p.id, kind) || kind == leavingNotice {
		return
	}
	id := p.id
	sc.undoAfter(5*time.Second, func() { sc.notices.end(id) })
}

// checkNotices checks that no gateway sends requests to a worker against what it was told.
func (sc *scenario) checkNotices(add reportFunc) {
	calls := map[string]*call{}
	for i := range sc.calls.list {
		calls[sc.calls.list[i].id] = &sc.calls.list[i]
	}
	for _, n := range sc.notices.notices {
		switch n.kind {
		case leavingNotice:
			sc.checkLeaving(n, calls, add)
		case limitNotice:
			sc.checkLimit(n, calls, add)
		case pauseNotice:
			sc.checkPause(n, calls, add)
		}
	}
}

// processID identifies one run of a gateway.
type processID struct{ gateway, incarnation int }

// toldAt returns when each gateway process had passed on an answer that stated the notice.
func (sc *scenario) toldAt(n *notice, calls map[string]*call) map[processID]time.Time {
	told := map[processID]time.Time{}
	for _, a := range sc.notices.arrivals[n] {
		c := calls[a.id]
		if c == nil || c.signature != signature(n.worker, c.id) || c.endedAt.IsZero() {
			continue
		}
		p := processID{c.gateway, c.incarnation}
		if at, ok := told[p]; !ok || c.endedAt.Before(at) {
			told[p] = c.endedAt
		}
	}
	return told
}

func (sc *scenario) checkLeaving(n *notice, calls map[string]*call, add reportFunc) {
	told := sc.toldAt(n, calls)
	for _, a := range sc.notices.arrivals[n] {
		c := calls[a.id]
		if c == nil {
			continue
		}
		at, ok := told[processID{c.gateway, c.incarnation}]
		if ok && c.sentAt.After(at.Add(sc.bounds.drain)) && sc.faultFree(c.gateway, at, a.at) {
			add("%s: reached %s, sent %v after gateway %d knew that it leaves", c.id, n.worker, c.sentAt.Sub(at), c.gateway)
		}
	}
}

func (sc *scenario) checkLimit(n *notice, calls map[string]*call, add reportFunc) {
	told := sc.toldAt(n, calls)
	var counted []time.Time
	for _, a := range sc.notices.arrivals[n] {
		c := calls[a.id]
		if c == nil || a.at.Before(n.from.Add(quietTime)) {
			continue
		}
		at, ok := told[processID{c.gateway, c.incarnation}]
		if ok && a.at.After(at.Add(noticeDelay)) && sc.faultFree(c.gateway, at, a.at) {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := limitFactor*limitPerSecond*limitWindow.Seconds() + limitSlack
	for i, first := range counted {
		inWindow := 0
		for _, at := range counted[i:] {
			if at.Sub(first) <= limitWindow {
				inWindow++
			}
		}
		if float64(inWindow) > allowed {
			add("%s named a limit of %v a second and got %d requests in %v, %v allowed", n.worker, limitPerSecond, inWindow, limitWindow, allowed)
			return
		}
	}
}

func (sc *scenario) checkPause(n *notice, calls map[string]*call, add reportFunc) {
	arrivals := sc.notices.arrivals[n]
	for i, refused := range arrivals {
		c := calls[refused.id]
		if c == nil {
			continue
		}
		late := 0
		for _, a := range arrivals[i+1:] {
			other := calls[a.id]
			if other == nil || other.gateway != c.gateway || other.incarnation != c.incarnation {
				continue
			}
			if d := a.at.Sub(refused.at); d > noticeDelay && d < pauseTime {
				late++
			}
		}
		if late > maxPausedArrivals && sc.faultFree(c.gateway, refused.at, refused.at.Add(pauseTime)) {
			add("%s asked gateway %d for a pause and got %d requests in it", n.worker, c.gateway, late)
			return
		}
	}
}
