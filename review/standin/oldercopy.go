package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The times of the case, from the start of the traffic.
const (
	backUpAt  = 3500 * time.Millisecond
	leaveAt   = 4 * time.Second
	awayAt    = 8 * time.Second
	backAt    = 8500 * time.Millisecond
	exitAt    = 10300 * time.Millisecond
	rewriteAt = 10500 * time.Millisecond
	endAt     = 13 * time.Second
)

// lastWork is how long the worker goes on after the first request that reaches it later than the drain time.
const lastWork = 60 * time.Millisecond

const appService = "booking-app"

// playOlderCopy lets a worker leave in the way of one that never reports it: its entry is removed, and it serves
// on for more than the drain time. Then the store comes back from a copy in which the entry still stands.
func playOlderCopy(s *scene) (bool, error) {
	s.store.put(configKind, configName, configuration(appService, wireRoute{
		Name: "host-lookup", PathPrefix: "/lookup/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1,
	}))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"} {
		w, err := s.newWorker(id, appService, 6, 24)
		if err != nil {
			return false, err
		}
		w.work = func(*http.Request) time.Duration { return time.Duration(60+rand.IntN(50)) * time.Millisecond }
		s.store.put(workerKind, id, w.entry("ready"))
	}
	if err := s.startGateways(smallBounds, "kbh-a", "kbh-b", "ros-a"); err != nil {
		return false, err
	}
	started := time.Now()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 24 {
		callers.Go(func() { s.lookUp(s.gateways[n%len(s.gateways)], stop) })
	}
	at := func(d time.Duration) { time.Sleep(time.Until(started.Add(d))) }
	at(backUpAt)
	backup := s.store.backUp()
	at(leaveAt)
	leaver := s.workers[0]
	leaver.leave(func() {
		if time.Since(started) > leaveAt+drainTime {
			time.AfterFunc(lastWork, leaver.exit)
		}
	})
	removed := s.store.remove(workerKind, leaver.id)
	removedAt := time.Now()
	s.record.line("worker %s leaves: the store removes its entry at revision %d", leaver.id, removed)
	if s.trouble {
		at(awayAt)
		s.store.leave()
		s.record.line("the store is away")
		at(backAt)
		s.store.comeBack(backup)
		s.record.line("the store is back from a copy that is %v old, in which the entry of %s stands", awayAt-backUpAt, leaver.id)
	}
	at(exitAt)
	leaver.exit() // it may have ended before
	s.record.line("worker %s has exited, %v after its entry was removed at the latest", leaver.id, time.Since(removedAt).Round(time.Millisecond))
	at(rewriteAt)
	s.store.remove(workerKind, leaver.id)
	s.record.line("the removal of the entry is written again")
	at(endAt)
	close(stop)
	callers.Wait()
	return s.checkLeaver(leaver, removed, removedAt), nil
}

// lookUp sends one request after the other.
func (s *scene) lookUp(g *gateway, stop chan struct{}) {
	client := newClient()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
		}
		s.send(client, g, http.MethodPost, "/lookup/7", "", time.Second)
	}
}

// drainTime is the bound of the sheet.
const drainTime = 2 * time.Second

// checkLeaver looks for requests that were sent, and reached the worker, later than the drain time after the
// store's acknowledgement and the gateway's own.
func (s *scene) checkLeaver(leaver *worker, removed int64, removedAt time.Time) bool {
	knewAt := map[string]time.Time{}
	for _, g := range s.gateways {
		if at, ok := s.store.knewAt(g.name, workerKind, 1, removed); ok {
			knewAt[g.name] = at
			s.record.line("gateway %s watches from revision %d on, with the removal, since %s", g.name, removed, s.record.at(at))
		}
	}
	late, lost := 0, 0
	for _, c := range s.log.all() {
		for _, x := range leaver.runsOf(c.id) {
			known, ok := knewAt[c.gateway]
			if !ok || !c.sentAt.After(known.Add(drainTime)) || !x.arrivedAt.After(removedAt.Add(drainTime)) {
				continue
			}
			late++
			if !c.isServed() {
				lost++
			}
			s.record.line("BROKEN: %s; it reached %s at %s, %v after the removal, and ended there: %s", c, leaver.id, s.record.at(x.arrivedAt), x.arrivedAt.Sub(removedAt).Round(time.Millisecond), x.outcome)
		}
	}
	s.recordNotices(leaver, removedAt)
	served := 0
	for _, c := range s.log.all() {
		if c.isServed() {
			served++
		}
	}
	s.record.line("%d requests, %d served; %d reached %s too late, of which %d were not answered with success", len(s.log.all()), served, late, leaver.id, lost)
	return late > 0
}

// recordNotices writes when each gateway first passed on an answer with which the worker said that it leaves.
func (s *scene) recordNotices(leaver *worker, removedAt time.Time) {
	said := map[string]bool{}
	for _, c := range s.log.all() {
		for _, x := range leaver.runsOf(c.id) {
			if c.signature != "" && x.arrivedAt.After(removedAt) && !said[c.gateway] {
				said[c.gateway] = true
				s.record.line("gateway %s has passed on an answer with which %s says that it leaves, by %s", c.gateway, leaver.id, s.record.at(c.endedAt))
			}
		}
	}
}
