package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// serveUnframed answers with a stream that ends with its connection. If the worker crashes, its kernel closes the
// connection between two events. It returns how the run ended.
func (w *worker) serveUnframed(out http.ResponseWriter, r *http.Request, deadline time.Time) string {
	id := r.Header.Get(platform.Headers.RequestID)
	from, _ := strconv.Atoi(r.Header.Get(platform.Headers.LastEventID)) // without one the stream begins at the first event
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Connection", "close")
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }() // the answer ends with it
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = out.Header().Write(&head) // writing to a bytes.Buffer returns no error
	head.WriteString("\r\n")
	if _, err := c.Write(head.Bytes()); err != nil {
		return errLeft.Error()
	}
	for n := from + 1; n <= w.events; n++ {
		if err := w.await(r, w.pause(id, n), deadline); err != nil {
			return err.Error()
		}
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return errLeft.Error()
		}
	}
	return "whole"
}

const (
	unframedBriefs = 16
	crashAt        = 2 * time.Second // after the first stream was sent
)

// playUnframed lets a worker crash while it writes streams that end with their connections.
func playUnframed(s *scene) (bool, error) {
	s.store.put(configKind, configName, configuration(modelService,
		wireRoute{Name: "journey-brief", PathPrefix: streamPath, Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 1000, GapAimMs: 500, Priority: 1, MaxAttempts: 3, ResumeStreams: true, SessionAffinity: true},
	))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"} {
		if err := s.addModelWorker(id); err != nil {
			return false, err
		}
	}
	for _, w := range s.workers {
		w.isUnframed = true
	}
	if err := s.startGateways(smallBounds, "kbh-a", "kbh-b"); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	started := time.Now()
	var callers sync.WaitGroup
	for n := range unframedBriefs {
		callers.Go(func() {
			c := s.send(newClient(), s.gateways[n%len(s.gateways)], http.MethodPost, streamPath+"1", "m1", 10*time.Second)
			s.record.line("%s", c)
		})
		time.Sleep(overlapGap)
	}
	time.Sleep(time.Until(started.Add(crashAt)))
	crashed := s.busiest()
	if s.trouble {
		crashed.exit()
		s.record.line("worker %s crashes", crashed.id)
	}
	callers.Wait()
	return s.checkEnds(), nil
}

// busiest returns the worker with the most runs.
func (s *scene) busiest() *worker {
	most := s.workers[0]
	for _, w := range s.workers {
		if w.runCount() > most.runCount() {
			most = w
		}
	}
	return most
}

// checkEnds looks for streams that ended as complete before their last event.
func (s *scene) checkEnds() bool {
	broken := false
	for _, c := range s.log.all() {
		events := strings.Count(c.body, "id: ")
		if c.isServed() && events < s.workers[0].events {
			broken = true
			s.record.line("BROKEN: it ended as complete after %d of %d events: %s", events, s.workers[0].events, c)
		}
	}
	return broken
}
