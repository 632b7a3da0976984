package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/borageflow/borageflow/platform"
)

const (
	// memoryLimit is the memory of a front machine of the sheet, beyond which the platform kills a process.
	memoryLimit = 284 << 20
	// longBody is the longest body that the configuration allows.
	longBody = 4194304
	// uploads is the number of callers that send one at the same time, each at uploadRate bytes a second:
	// together less than the link of the machine carries.
	uploads    = 56
	uploadRate = 2 << 20
	lookers    = 24
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	uploadAt     = 2 * time.Second
	uploadsEnd   = 9 * time.Second
)

// playBodies lets callers send the longest allowed bodies at once, in chunks, beside short requests on kept
// connections. The platform kills a process that uses more than its memory.
func playBodies(s *scene) (bool, error) {
	s.store.put(configKind, configName, configuration(appService,
		wireRoute{Name: "host-lookup", PathPrefix: "/lookup/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
		wireRoute{Name: "journey-file", PathPrefix: "/file/", Kind: "unsafe", TimeoutMs: 10000, TargetLatencyMs: 5000, Priority: 2, MaxAttempts: 1},
	))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		w, err := s.newWorker(id, appService, 24, 24)
		if err != nil {
			return false, err
		}
		w.work = func(*http.Request) time.Duration { return time.Duration(60+rand.IntN(50)) * time.Millisecond }
		s.store.put(workerKind, id, w.entry("ready"))
	}
	if err := s.startGateways(smallBounds, "kbh-a"); err != nil {
		return false, err
	}
	g := s.gateways[0]
	started := time.Now()
	stop := make(chan struct{})
	var callers, watch sync.WaitGroup
	var kills []time.Time
	watch.Go(func() { kills = s.enforceMemory(g, stop) })
	for range lookers {
		callers.Go(func() { s.lookUp(g, stop) })
	}
	time.Sleep(time.Until(started.Add(uploadAt)))
	s.record.line("%d callers send bodies of %d bytes at once", uploads, longBody)
	for range uploads {
		callers.Go(func() { s.record.line("%s", s.upload(g)) })
	}
	time.Sleep(time.Until(started.Add(uploadsEnd)))
	close(stop)
	callers.Wait()
	watch.Wait()
	return s.checkKills(g, kills), nil
}

// enforceMemory kills the gateway when it uses more than its memory, and starts it again. It returns the times
// of the kills.
func (s *scene) enforceMemory(g *gateway, stop chan struct{}) []time.Time {
	var kills []time.Time
	most := int64(0)
	for {
		select {
		case <-stop:
			s.record.line("the process used at most %d bytes of %d", most, memoryLimit)
			return kills
		case <-time.After(2 * time.Millisecond):
		}
		used := anonymousMemory(g.cmd.Process.Pid)
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		kills = append(kills, time.Now())
		s.record.line("the platform kills %s: it uses %d bytes, its limit is %d", g.name, used, memoryLimit)
		g.signal(syscall.SIGKILL)
		<-g.ended
		time.Sleep(restartDelay)
		g.ended = make(chan struct{})
		if err := g.start(s); err != nil {
			s.record.line("the gateway cannot be started again: %v", err)
			return kills
		}
	}
}

// anonymousMemory returns the memory of a process without what it maps from files.
func anonymousMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// slowBody is a body that is sent at uploadRate. Without a known length it is sent in chunks.
type slowBody struct {
	left    *bytes.Reader
	started time.Time
	sent    int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	due := b.started.Add(time.Duration(float64(b.sent) / uploadRate * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := b.left.Read(p[:min(len(p), 32<<10)])
	b.sent += n
	return n, err
}

// upload sends the longest body. Without trouble it states its length.
func (s *scene) upload(g *gateway) *call {
	c := &call{id: nextID(), path: "/file/1", gateway: g.name, deadline: 10 * time.Second}
	body := &slowBody{left: bytes.NewReader(make([]byte, longBody)), started: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+c.path, io.NopCloser(body))
	if err != nil {
		c.problem = err.Error()
		return c
	}
	if !s.trouble {
		req.ContentLength = longBody
	}
	req.Host = hostname
	req.Header.Set(platform.Headers.Authorization, "Bearer "+apiKey)
	req.Header.Set(platform.Headers.RequestID, c.id)
	req.Header.Set(platform.Headers.DeadlineMs, "10000")
	client := newClient()
	client.Timeout = c.deadline
	c.sentAt = time.Now()
	s.await(client, req, c)
	c.endedAt = time.Now()
	s.log.add(c)
	return c
}

// mostLost is the number of requests from kept connections that may end without an answer.
const mostLost = 3

// checkKills looks for requests from kept connections that sound workers had got and that ended without an
// answer when the process did.
func (s *scene) checkKills(g *gateway, kills []time.Time) bool {
	lost, uploadsLost := 0, 0
	for _, c := range s.log.all() {
		if c.status != 0 {
			continue
		}
		if c.path == "/file/1" {
			uploadsLost++
		}
		ran := false
		for _, w := range s.workers {
			ran = ran || len(w.runsOf(c.id)) > 0
		}
		if c.isReused && ran {
			lost++
			s.record.line("BROKEN: a worker got it from a kept connection, which ended without an answer: %s", c)
		}
	}
	s.record.line("%s was killed %d times for its memory; %d requests of kept connections were lost at sound workers, %d bodies were lost", g.name, len(kills), lost, uploadsLost)
	return lost > mostLost
}
