package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// wireRollout is the order of a rollout.
type wireRollout struct {
	Service, Target string
	DurationS       float64
}

const (
	rolloutDuration = 16 * time.Second
	// canaryShare, canarySlack, rollbackTime and maxBadAnswers are the bounds of the rule EXPOSURE.
	canaryShare   = 0.15
	canarySlack   = 30
	rollbackTime  = 5 * time.Second
	maxBadAnswers = 50
	// drainAfter is when the new workers begin to leave after a rollout was rolled back.
	drainAfter = 3 * time.Second
)

// order orders a rollout of the plain service and plays the platform until it has ended: the old workers are stopped at
// once when it is completed, and the new ones drain drainAfter after it was rolled back.
func (s *scene) order(version string) {
	s.note("operator orders version %s of %s within %v", version, plainService, rolloutDuration)
	s.store.put(wire.Rollouts, plainService, wireRollout{plainService, version, rolloutDuration.Seconds()})
	go func() {
		state := s.awaitEnd(version)
		if state == "rolled_back" {
			time.Sleep(drainAfter)
		}
		s.mu.Lock()
		workers := append([]*worker(nil), s.workers...)
		s.mu.Unlock()
		for _, w := range workers {
			isTarget := w.entry.Version == version
			if w.entry.Service != plainService || w.isUnlisted || isTarget != (state == "rolled_back") {
				continue
			}
			s.note("platform takes worker %s away: the rollout is recorded as %s", w.id, state)
			s.store.remove(wire.Workers, w.id)
			if state == "completed" {
				w.close()
			}
		}
	}()
}

// awaitEnd waits until the rollout to a version has ended, and returns its state.
func (s *scene) awaitEnd(version string) string {
	for state := ""; ; time.Sleep(20 * time.Millisecond) {
		if s.store.statusOf(wire.Rollouts, plainService, "Target") != version {
			continue
		}
		if now := s.store.statusOf(wire.Rollouts, plainService, "State"); now != state {
			state = now
			s.note("rollout to version %s is recorded as %s", version, state)
		}
		if state == "completed" || state == "rolled_back" {
			return state
		}
	}
}

// lostTarget plays a rollout whose new worker is lost for good soon after it has started.
func lostTarget(s *scene) (verdict, error) {
	if err := s.startFleet(6, map[string]int{"m0": 90, "m1": 90, "m2": 95}); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	end := s.now() + 90*time.Second
	s.startTraffic(&group, 40, 6, 6, end)
	time.Sleep(time.Second)
	s.order("2")
	if err := s.startPlain(1, "c", "2"); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if s.hasTrouble {
		s.workers[len(s.workers)-1].end("its machine is lost for good")
	}
	group.Wait()
	return s.judgeStarved()
}

// cuttingVersion plays a rollout to a bad version: each second of its answers breaks off in the middle.
func cuttingVersion(s *scene) (verdict, error) {
	if err := s.startFleet(2, map[string]int{"m0": 90, "m1": 90, "m2": 95}); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	begin := s.now()
	s.startTraffic(&group, 10, 37, 15, begin+30*time.Second)
	time.Sleep(time.Second)
	ordered := s.now()
	s.order("2")
	if err := s.startPlain(4, "c", "2", s.badly(false)); err != nil {
		return verdict{}, err
	}
	group.Wait()
	return s.judgeExposure(ordered), nil
}

// exposure is what reached the workers of the plain service.
type exposure struct {
	// all and target are the requests in the time of the rollout, of all versions and of the target.
	all, target int
	// late is the number of requests that the target got too late after its bad answers.
	late int
}

// exposure counts the requests. Of those at the target, only the ones count that gateways in touch have passed on, and those that
// were sent after lastAllowed, if that is set, are late.
func (s *scene) exposure(ordered, lastAllowed time.Duration) (e exposure) {
	sentAt := map[string]time.Duration{}
	for i := range s.tries {
		sentAt[s.tries[i].id] = s.tries[i].sentAt
	}
	for id, runs := range s.runs {
		for _, r := range runs {
			if r.model != "" {
				continue
			}
			inTime := r.at >= ordered && r.at < ordered+rolloutDuration
			if inTime {
				e.all++
			}
			if r.version != "2" || r.at < s.inTouchAt {
				continue
			}
			if inTime {
				e.target++
			}
			if lastAllowed > 0 && sentAt[id] > lastAllowed {
				e.late++
			}
		}
	}
	return e
}

// lostLookups counts the unsafe requests that ran, whose answers were bad and whose callers got no success.
func (s *scene) lostLookups() int {
	n := 0
	for i := range s.tries {
		t := &s.tries[i]
		if _, isBad := s.bad[t.id]; isBad && t.kind == "host-lookup" && !t.served() {
			n++
		}
	}
	return n
}

// badly lets half of the answers of a worker be bad ones, if there is trouble.
func (s *scene) badly(fails bool) func(*worker) {
	return func(w *worker) {
		if w.fails = fails; s.hasTrouble {
			w.badEvery = 2
		}
	}
}

// judgeExposure checks what the bad version got.
func (s *scene) judgeExposure(ordered time.Duration) verdict {
	var lastAllowed time.Duration
	if len(s.bad) >= maxBadAnswers {
		lastAllowed = s.timeOfBad(maxBadAnswers) + rollbackTime
	}
	e := s.exposure(ordered, lastAllowed)
	allowed := int(canaryShare*float64(e.all)) + canarySlack
	why := fmt.Sprintf("version 2 got %d of the %d requests that reached its service in the time of its rollout, allowed %d; it gave %d bad answers and got %d requests later than %v after the 50th; %d host-lookups ran whose callers got no good answer; recorded state %q",
		e.target, e.all, allowed, len(s.bad), e.late, rollbackTime, s.lostLookups(), s.store.statusOf(wire.Rollouts, plainService, "State"))
	return verdict{len(s.bad) > 0 && (e.target > allowed || e.late > 0), why}
}

// timeOfBad returns the time of the n-th bad answer.
func (s *scene) timeOfBad(n int) time.Duration {
	var times []time.Duration
	for _, at := range s.bad {
		times = append(times, at)
	}
	slices.Sort(times)
	return times[n-1]
}

// orderTakenBack plays the order of a bad version, which the operator takes back by an order of the version in force before any request
// was due to it.
func orderTakenBack(s *scene) (verdict, error) {
	if err := s.startFleet(2, map[string]int{"m0": 90, "m1": 90, "m2": 95}); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	s.startTraffic(&group, 10, 37, 15, s.now()+22*time.Second)
	time.Sleep(time.Second)
	ordered := s.now()
	s.note("operator orders version 2 of %s within %v", plainService, rolloutDuration)
	s.store.put(wire.Rollouts, plainService, wireRollout{plainService, "2", rolloutDuration.Seconds()})
	if err := s.startPlain(4, "c", "2", s.badly(true)); err != nil {
		return verdict{}, err
	}
	time.Sleep(takenBackAfter)
	s.order("1")
	group.Wait()
	return s.judgeExposure(ordered), nil
}

// takenBackAfter is when the operator takes the order back.
const takenBackAfter = 4 * time.Second

// foreignEntry plays a rollout to a good version beside an entry of another writer that lacks a field: that of an instance with a
// later build, which nobody ordered.
func foreignEntry(s *scene) (verdict, error) {
	if err := s.startFleet(2, map[string]int{"m0": 90, "m1": 90, "m2": 95}); err != nil {
		return verdict{}, err
	}
	if err := s.startUnordered(); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	s.startTraffic(&group, 10, 37, 15, s.now()+25*time.Second)
	time.Sleep(4 * time.Second)
	s.order("2")
	if err := s.startPlain(4, "c", "2"); err != nil {
		return verdict{}, err
	}
	group.Wait()
	all, foreign := 0, 0
	for _, runs := range s.runs {
		for _, r := range runs {
			all++
			if r.version == unorderedVersion {
				foreign++
			}
		}
	}
	return verdict{foreign > 0, fmt.Sprintf("%d of %d runs were at the instance with the version that nobody ordered", foreign, all)}, nil
}

// unorderedVersion is the version of an instance that is no worker to use.
const unorderedVersion = "3"

// startUnordered starts that instance. Another writer writes its entry, without a version if there is trouble, or none.
func (s *scene) startUnordered() error {
	w := &worker{id: "i-d0000001", entry: workerEntry{Service: plainService, Version: unorderedVersion, Slots: plainSlots}, isUnlisted: true}
	if err := s.start(w); err != nil {
		return err
	}
	if s.hasTrouble {
		s.note("another writer writes an entry of %s without a version", w.id)
		s.store.put(wire.Workers, w.id, foreignSpec{w.entry.Service, w.entry.Address, w.entry.Zone, w.entry.State, w.entry.Slots, 0, 1, w.entry.Born})
	}
	return nil
}

// foreignSpec is an entry without a version.
type foreignSpec struct {
	Service, Address, Zone, State string
	Slots, ColdLeftMs, Sequence   int
	Born                          int64 `json:"born"`
}
