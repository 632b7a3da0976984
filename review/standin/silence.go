package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of the case, from the start of the traffic.
const (
	joinAt  = 2 * time.Second
	briefAt = 5 * time.Second
	termAt  = 6500 * time.Millisecond
	// graceTime is the time from SIGTERM until the process is killed.
	graceTime = 8 * time.Second
	// preemptedEvent is the first event before which a stream is put back, and preemptedEvery the number of
	// events to the next one.
	preemptedEvent = 12
	preemptedEvery = 2
	briefs         = 3
)

const modelService = "borage-llm"

// playSilence stops a gateway with SIGTERM while it passes on streams of a sound worker that puts them back for
// 2.5 s. The other two workers of the service are full.
func playSilence(s *scene) (bool, error) {
	s.store.put(configKind, configName, silenceConfiguration(0))
	for _, id := range []string{"i-1", "i-2"} {
		if err := s.addModelWorker(id); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(smallBounds, "kbh-a", "kbh-b"); err != nil {
		return false, err
	}
	leaving, other := s.gateways[0], s.gateways[1]
	started := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(started.Add(d))) }
	var callers sync.WaitGroup
	for range 2 * (modelSlots + modelQueue) {
		callers.Go(func() {
			s.record.line("%s", s.send(newClient(), other, http.MethodPost, "/report/1", "", 25*time.Second))
		})
		time.Sleep(20 * time.Millisecond)
	}
	at(joinAt)
	if err := s.addModelWorker("i-3"); err != nil {
		return false, err
	}
	sound := s.workers[2]
	if s.trouble {
		s.putBack(sound)
	}
	stop := make(chan struct{})
	for range 2 {
		callers.Go(func() { s.check(leaving, stop) })
	}
	at(briefAt)
	client := newClient()
	var briefsEnd sync.WaitGroup
	for range briefs {
		briefsEnd.Go(func() {
			c := s.send(client, leaving, http.MethodPost, streamPath+"1", "m1", 10*time.Second)
			s.record.line("%s", c)
		})
	}
	at(termAt)
	term := time.Now()
	if s.silence.changes {
		s.changeConfiguration()
	} else {
		leaving.signal(syscall.SIGTERM)
		s.record.line("gateway %s gets SIGTERM", leaving.name)
	}
	close(stop)
	briefsEnd.Wait()
	broken := s.checkBriefs(sound, leaving, term)
	return broken, nil
}

// silenceConfiguration returns the n-th configuration of the case. The time limits of a route differ.
func silenceConfiguration(n int) wireConfig {
	c := configuration(modelService,
		wireRoute{Name: "journey-brief", PathPrefix: streamPath, Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 1000, GapAimMs: 500, Priority: 1, MaxAttempts: 3, ResumeStreams: true, SessionAffinity: true},
		wireRoute{Name: "slot-check", PathPrefix: checkPath, Kind: "safe", TimeoutMs: 1000 + 100*n, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 3},
		wireRoute{Name: "report", PathPrefix: "/report/", Kind: "unsafe", TimeoutMs: 25000, TargetLatencyMs: 20000, Priority: 0, MaxAttempts: 1},
	)
	c.Version += n
	return c
}

// changeConfiguration writes three configurations, half a second apart.
func (s *scene) changeConfiguration() {
	for n := 1; n <= 3; n++ {
		s.store.put(configKind, configName, silenceConfiguration(n))
		s.record.line("configuration %d is written", 1+n)
		time.Sleep(500 * time.Millisecond)
	}
}

// silencePlan states how often a worker puts each stream back, and for how long.
type silencePlan struct {
	pause time.Duration
	times int
	// changes is set if the configuration changes in place of the SIGTERM.
	changes bool
}

// eventGap is the pause between events. It is shorter where the streams would pass their deadline of 10 s.
func (p silencePlan) eventGap() time.Duration {
	if time.Duration(p.times)*p.pause > 5*time.Second {
		return 80 * time.Millisecond
	}
	return 250 * time.Millisecond
}

// putBack makes a worker put its streams back.
func (s *scene) putBack(w *worker) {
	w.pause = func(id string, event int) time.Duration {
		n := event - preemptedEvent
		if n < 0 || n%preemptedEvery != 0 || n/preemptedEvery >= s.silence.times {
			return s.silence.eventGap()
		}
		s.record.line("worker %s puts %s back before event %d, for %v", w.id, id, event, s.silence.pause)
		return s.silence.pause
	}
}

const checkPath = "/check/"

// check sends short requests, as other callers do.
func (s *scene) check(g *gateway, stop chan struct{}) {
	client := newClient()
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
			s.send(client, g, http.MethodGet, checkPath+"2", "", time.Second)
		}
	}
}

// modelSlots and modelQueue are the requests that a worker runs at once, and those that it queues.
const (
	modelSlots = 4
	modelQueue = 2
)

func (s *scene) addModelWorker(id string) error {
	w, err := s.newWorker(id, modelService, modelSlots, modelQueue)
	if err != nil {
		return err
	}
	w.work = func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, checkPath) {
			return 15 * time.Millisecond
		}
		return 22 * time.Second
	}
	s.store.put(workerKind, id, w.entry("ready"))
	return nil
}

// checkBriefs looks for streams of the leaving gateway whose connection ended without a whole answer, though
// nothing that the rule names excuses it.
func (s *scene) checkBriefs(sound *worker, leaving *gateway, term time.Time) bool {
	broken := false
	for _, c := range s.log.all() {
		if c.gateway != leaving.name || c.path != streamPath+"1" || c.whole {
			continue
		}
		for _, w := range s.workers {
			for _, x := range w.runsOf(c.id) {
				s.record.line("%s ran at %s from %s to %s: %s", c.id, w.id, s.record.at(x.startedAt), s.record.at(x.endedAt), x.outcome)
			}
		}
		runs := sound.runsOf(c.id)
		if len(runs) == 0 {
			continue
		}
		excuse := s.excuse(c, &runs[0], term)
		if excuse != "" {
			s.record.line("excused, %s: %s", excuse, c)
			continue
		}
		broken = true
		s.record.line("BROKEN: %s; it ended %v after SIGTERM, %v of its %v were used, and its worker was sound and at work", c, c.endedAt.Sub(term).Round(time.Millisecond), c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.deadline)
	}
	return broken
}

// excuse returns what excuses a stream that was cut, "" for nothing.
func (s *scene) excuse(c *call, x *run, term time.Time) string {
	switch {
	case c.endedAt.Before(term) || c.endedAt.After(term.Add(graceTime+time.Second)):
		return "it did not end beside the SIGTERM"
	case x.outcome != errLeft.Error():
		return fmt.Sprintf("the worker ended it (%s)", x.outcome)
	case c.endedAt.Sub(c.sentAt) >= c.deadline:
		return "its deadline was reached"
	case c.endedAt.After(term.Add(graceTime * 5 / 6)):
		return "its worker was at work in the last sixth of the grace time"
	}
	return ""
}
