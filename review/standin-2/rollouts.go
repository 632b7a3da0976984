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

// order orders a rollout of the plain service to version 2 and plays the platform until the rollout has ended: the old
// workers are stopped at once when it is completed, and the new ones drain some seconds after it was rolled back.
func (s *scene) order() {
	s.note("operator orders version 2 of %s within %v", plainService, rolloutDuration)
	s.store.put(wire.Rollouts, plainService, wireRollout{plainService, "2", rolloutDuration.Seconds()})
	go func() {
		state := ""
		for state != "completed" && state != "rolled_back" {
			time.Sleep(20 * time.Millisecond)
			if now := s.store.statusOf(wire.Rollouts, plainService, "State"); now != state {
				state = now
				s.note("rollout is recorded as %s", state)
			}
		}
		version, why := "1", "the rollout is completed"
		if state == "rolled_back" {
			version, why = "2", "the rollout was rolled back"
			time.Sleep(drainAfter)
		}
		s.mu.Lock()
		workers := append([]*worker(nil), s.workers...)
		s.mu.Unlock()
		for _, w := range workers {
			if w.entry.Service == plainService && w.entry.Version == version {
				s.note("platform stops worker %s: %s", w.id, why)
				s.store.remove(wire.Workers, w.id)
				if state == "completed" {
					w.close()
				}
			}
		}
	}()
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
	s.order()
	if err := s.startPlain(1, "c", "2", 0); err != nil {
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
	s.order()
	cutsEvery := int64(0)
	if s.hasTrouble {
		cutsEvery = 2
	}
	if err := s.startPlain(4, "c", "2", cutsEvery); err != nil {
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

// exposure counts the requests; those after lastAllowed, if that is set, are late.
func (s *scene) exposure(ordered, lastAllowed time.Duration) (e exposure) {
	for _, runs := range s.runs {
		for _, r := range runs {
			if r.model != "" {
				continue
			}
			isTarget := r.version == "2"
			if r.at >= ordered && r.at < ordered+rolloutDuration {
				e.all++
				if isTarget {
					e.target++
				}
			}
			if isTarget && lastAllowed > 0 && r.at > lastAllowed {
				e.late++
			}
		}
	}
	return e
}

// lostLookups counts the unsafe requests that ran, whose answers were cut and whose callers got no success.
func (s *scene) lostLookups() int {
	n := 0
	for i := range s.tries {
		t := &s.tries[i]
		if _, cut := s.cuts[t.id]; cut && t.kind == "host-lookup" && !t.served() {
			n++
		}
	}
	return n
}

// judgeExposure checks what the bad version got.
func (s *scene) judgeExposure(ordered time.Duration) verdict {
	var lastAllowed time.Duration
	if len(s.cuts) >= maxBadAnswers {
		lastAllowed = s.timeOfCut(maxBadAnswers) + rollbackTime
	}
	e := s.exposure(ordered, lastAllowed)
	allowed := int(canaryShare*float64(e.all)) + canarySlack
	why := fmt.Sprintf("version 2 got %d of the %d requests that reached its service in the time of its rollout, allowed %d; it gave %d bad answers and got %d requests later than %v after the 50th; %d host-lookups ran whose callers got no answer; recorded state %q",
		e.target, e.all, allowed, len(s.cuts), e.late, rollbackTime, s.lostLookups(), s.store.statusOf(wire.Rollouts, plainService, "State"))
	return verdict{len(s.cuts) > 0 && (e.target > allowed || e.late > 0), why}
}

// timeOfCut returns the time of the n-th cut.
func (s *scene) timeOfCut(n int) time.Duration {
	var times []time.Duration
	for _, at := range s.cuts {
		times = append(times, at)
	}
	slices.Sort(times)
	return times[n-1]
}
