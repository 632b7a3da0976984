package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// overlapBriefs is the number of streams, sent overlapGap apart.
	overlapBriefs = 9
	overlapGap    = 100 * time.Millisecond
	// mostOverlap is how long the worker before may still work on a request that goes on at another one.
	mostOverlap = 400 * time.Millisecond
)

// playOverlap lets a sound worker put its streams back for 2.5 s. It is one that does not drop a request when the
// connection closes.
func playOverlap(s *scene) (bool, error) {
	s.store.put(configKind, configName, configuration(modelService,
		wireRoute{Name: "journey-brief", PathPrefix: streamPath, Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 1000, GapAimMs: 500, Priority: 1, MaxAttempts: 3, ResumeStreams: true, SessionAffinity: true},
	))
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if err := s.addModelWorker(id); err != nil {
			return false, err
		}
	}
	sound := s.workers[0]
	sound.keepsOn = true
	if s.trouble {
		s.putBack(sound)
	}
	if err := s.startGateways(smallBounds, "kbh-a", "kbh-b"); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	var callers sync.WaitGroup
	for n := range overlapBriefs {
		callers.Go(func() {
			c := s.send(newClient(), s.gateways[n%len(s.gateways)], http.MethodPost, streamPath+"1", "m1", 10*time.Second)
			s.record.line("%s", c)
		})
		time.Sleep(overlapGap)
	}
	callers.Wait()
	time.Sleep(3 * time.Second) // the worker ends its runs
	return s.checkOverlaps(sound), nil
}

// checkOverlaps looks for requests that ran on at another worker while the first one still worked on them.
func (s *scene) checkOverlaps(first *worker) bool {
	broken := false
	for _, c := range s.log.all() {
		for _, before := range first.runsOf(c.id) {
			for _, w := range s.workers {
				if w == first {
					continue
				}
				for _, after := range w.runsOf(c.id) {
					overlap := before.endedAt.Sub(after.startedAt)
					verdict := "held"
					if after.startedAt.After(before.startedAt) && overlap > mostOverlap {
						broken, verdict = true, "BROKEN"
					}
					s.record.line("%s: %s began at %s at %s and went on at %s at %s, %v before its run at %s ended (%s)", verdict, c.id,
						first.id, s.record.at(before.startedAt), w.id, s.record.at(after.startedAt), overlap.Round(time.Millisecond), first.id, before.outcome)
				}
			}
		}
	}
	return broken
}
