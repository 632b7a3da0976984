package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
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
	// uploaders is the number of callers that send such bodies all the time, and burst that of those who come in
	// addition: 1.67 times the usual traffic. Each sends uploadRate bytes a second, together less than the link of
	// the machine carries.
	uploaders, burst = 24, 16
	uploadRate       = 5 << 19
	// fileWork is how long a worker takes for such a request.
	fileWork = 6500 * time.Millisecond
	// uploadCycle is the time in which an uploader sends one request and gets its answer.
	uploadCycle = fileWork + 1800*time.Millisecond
	lookers     = 24
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	burstAt      = 11 * time.Second
	bodiesEnd    = 21 * time.Second
)

const filePath = "/file/"

// playBodies lets callers send the longest allowed bodies in chunks, and more of them come at once, beside short
// requests on kept connections. The platform kills a process that uses more than its memory.
func playBodies(s *scene) (bool, error) {
	s.store.put(configKind, configName, configuration(appService,
		wireRoute{Name: "host-lookup", PathPrefix: "/lookup/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
		wireRoute{Name: "journey-file", PathPrefix: filePath, Kind: "unsafe", TimeoutMs: 10000, TargetLatencyMs: 9000, Priority: 2, MaxAttempts: 1},
	))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		w, err := s.newWorker(id, appService, 24, 24)
		if err != nil {
			return false, err
		}
		w.work = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, filePath) {
				return fileWork
			}
			return time.Duration(60+rand.IntN(50)) * time.Millisecond
		}
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
	for n := range uploaders {
		callers.Go(func() { s.uploadOn(g, time.Duration(n)*uploadCycle/uploaders, stop) })
	}
	time.Sleep(time.Until(started.Add(burstAt)))
	if s.trouble {
		s.record.line("%d more callers come at once, beside %d", burst, uploaders)
		for range burst {
			callers.Go(func() { s.record.line("%s", s.upload(newClient(), g)) })
		}
	}
	time.Sleep(time.Until(started.Add(bodiesEnd)))
	close(stop)
	callers.Wait()
	watch.Wait()
	return s.checkKills(g, kills), nil
}

// uploadOn sends one long body after the other, from a time on.
func (s *scene) uploadOn(g *gateway, from time.Duration, stop chan struct{}) {
	client := newClient()
	select {
	case <-stop:
		return
	case <-time.After(from):
	}
	for !isClosed(stop) {
		c := s.upload(client, g)
		s.record.line("%s", c)
		if c.status == 0 {
			time.Sleep(time.Second)
		}
	}
}

// enforceMemory kills the gateway when it uses more than its memory, and starts it again. It returns the times
// of the kills.
func (s *scene) enforceMemory(g *gateway, stop chan struct{}) []time.Time {
	var kills []time.Time
	most := int64(0)
	ended := false
	for !ended {
		select {
		case <-stop:
			ended = true
			s.record.line("the process used at most %d bytes of %d", most, memoryLimit)
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
	return kills
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

func isClosed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// upload sends the longest body in chunks.
func (s *scene) upload(client *http.Client, g *gateway) *call {
	c := &call{id: nextID(), path: filePath + "1", gateway: g.name, deadline: 10 * time.Second}
	body := &slowBody{left: bytes.NewReader(make([]byte, longBody)), started: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+c.path, io.NopCloser(body))
	if err != nil {
		c.problem = err.Error()
		return c
	}
	req.Host = hostname
	req.Header.Set(platform.Headers.Authorization, "Bearer "+apiKey)
	req.Header.Set(platform.Headers.RequestID, c.id)
	req.Header.Set(platform.Headers.DeadlineMs, "10000")
	own := *client
	own.Timeout = c.deadline
	c.sentAt = time.Now()
	s.await(&own, req, c)
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
		if c.status != 0 || !endsWith(c, kills) {
			continue
		}
		if strings.HasPrefix(c.path, filePath) {
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

// endsWith reports whether a call ended when the process was killed.
func endsWith(c *call, kills []time.Time) bool {
	return slices.ContainsFunc(kills, func(at time.Time) bool { return c.sentAt.Before(at) && c.endedAt.Sub(at).Abs() < restartDelay })
}
