package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// scene holds what a script has started, and its record.
type scene struct {
	hasTrouble bool
	dir        string
	started    time.Time
	store      *store
	workers    []*worker
	gateways   []*gateway
	// inTouchAt is when the gateways have run for StableWindowMs.
	inTouchAt time.Duration
	// events is the number of events of a stream, and eventTime the time for each.
	events    int
	eventTime time.Duration

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	// tries are the requests of callers, in the order of their ends.
	tries []try
	// runs are the runs of workers, by request ID.
	runs map[string][]runOfWorker
	// bad are the times of bad answers, by request ID.
	bad map[string]time.Duration
}

// runOfWorker is one run of a request.
type runOfWorker struct {
	worker, model, version, customer string
	at                               time.Duration
}

func newScene(record string, hasTrouble bool) (*scene, error) {
	file, err := os.Create(record) //nolint:gosec // the path is given by the script
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &scene{hasTrouble: hasTrouble, dir: dir, started: time.Now(), events: 6, eventTime: 20 * time.Millisecond, file: file, record: bufio.NewWriter(file), runs: map[string][]runOfWorker{}, bad: map[string]time.Duration{}}
	s.note("trouble: %v", hasTrouble)
	if s.store, err = startStore(); err != nil {
		return nil, err
	}
	return s, nil
}

// now returns the time since the start of the scene.
func (s *scene) now() time.Duration { return time.Since(s.started) }

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", s.now().Seconds(), fmt.Sprintf(format, args...))
}

func (s *scene) recordRun(id string, r runOfWorker) {
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], r)
	s.mu.Unlock()
	s.note("worker %s runs %s, version %s, model %q, customer %q", r.worker, id, r.version, r.model, r.customer)
}

// recordBad records a bad answer.
func (s *scene) recordBad(id, worker, how string) {
	s.mu.Lock()
	s.bad[id] = s.now()
	s.mu.Unlock()
	s.note("worker %s %s %s", worker, how, id)
}

func (s *scene) recordTry(t try) {
	s.mu.Lock()
	s.tries = append(s.tries, t)
	s.mu.Unlock()
	s.note("caller: %s of %s at %s sent at %.3f is answered %s", t.id, t.kind, t.gateway, t.sentAt.Seconds(), t.outcome())
}

// close ends all that the scene has started.
func (s *scene) close() {
	for _, g := range s.gateways {
		g.close()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.store.close()
	_ = s.record.Flush() // a record that cannot be written shows in its length
	_ = s.file.Close()
	_ = os.RemoveAll(s.dir)
}

// sleepUntil waits until a time of the scene.
func (s *scene) sleepUntil(at time.Duration) { time.Sleep(at - s.now()) }
