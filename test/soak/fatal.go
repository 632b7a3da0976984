package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// fatalParts are the parts of prompts, and the path of plain requests, that end the workers of a scenario.
// A worker ends shortly after it has begun to answer a request with one of them, and a new one is started
// for it.
type fatalParts struct {
	parts []string
	// share is the share of the streams that have one of the parts.
	share float64
	// path is the path of a plain request that is repeated, "" for none.
	path string
	// soundUntil is when the parts and the path turn fatal.
	soundUntil time.Time

	mu sync.Mutex
	// ends holds the ends of workers by part, arrivals the IDs of the requests that reached workers.
	ends     map[string][]time.Time
	arrivals []fatalArrival
	// ended holds the workers to replace.
	ended []string
}

type fatalArrival struct {
	part, request string
	at            time.Time
}

const (
	// fatalDelay is the time from the beginning of an answer to the end of its worker.
	fatalDelay = 20 * time.Millisecond
	// workerRestartDelay is the time from the end of a worker to the start of its successor.
	workerRestartDelay = 2 * time.Second
	// maxLateArrivals is the number of requests with a fatal part that may reach workers later than
	// quietTime after the part has ended maxFreeEnds workers.
	maxLateArrivals = 3
	maxFreeEnds     = 5
	// maxFreePathEnds is that number for a plain request that is repeated.
	maxFreePathEnds = 3
	// pathShare is the share of the requests that repeat the fatal plain request.
	pathShare = 0.05
	// soundTime is the time in which fatal parts are answered, in the seeds in which they turn fatal.
	soundTime = 7 * time.Second
)

// drawFatalParts returns the fatal parts of a seed: none for every third one.
func drawFatalParts(seed uint64) *fatalParts {
	f := &fatalParts{ends: map[string][]time.Time{}}
	if seed%5 == 4 {
		f.soundUntil = time.Now().Add(soundTime)
	}
	if seed%7 == 4 {
		f.path = safePath + "fatal"
	}
	rng := rand.New(rand.NewPCG(seed, 0xfa7a1)) //nolint:gosec // seeded on purpose
	if seed%3 == 0 {
		return f
	}
	for i := range 1 + rng.IntN(2) {
		f.parts = append(f.parts, fmt.Sprintf("dead%x", i))
	}
	f.share = []float64{0.01, 0.05, 0.3}[rng.IntN(3)]
	return f
}

// prompt returns the prompt of a stream: two parts that many requests share, a fatal one for some, and
// one of its own.
func (f *fatalParts) prompt(rng *rand.Rand, own string) string {
	parts := []string{fmt.Sprintf("a%x:500", rng.IntN(3)), fmt.Sprintf("b%x:200", rng.IntN(20))}
	if len(f.parts) > 0 && rng.Float64() < f.share {
		parts = append(parts, f.parts[rng.IntN(len(f.parts))]+":100")
	}
	return strings.Join(append(parts, own+":50"), ",")
}

// fatalPart returns the fatal part of a prompt, or "".
func (f *fatalParts) fatalPart(prompt string) string {
	for part := range strings.SplitSeq(prompt, ",") {
		if name, _, _ := strings.Cut(part, ":"); slices.Contains(f.parts, name) {
			return name
		}
	}
	return ""
}

// of returns the fatal part of a request with a path and a prompt, its path if that is fatal, or "".
func (f *fatalParts) of(path, prompt string) string {
	if f.path != "" && path == f.path {
		return path
	}
	return f.fatalPart(prompt)
}

// begin records that a worker has begun to answer a request. It returns true if the worker ends.
func (f *fatalParts) begin(worker string, r *http.Request) bool {
	part := f.of(r.URL.Path, r.Header.Get(platform.Headers.Prompt))
	if part == "" || time.Now().Before(f.soundUntil) {
		return false
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, fatalArrival{part, r.Header.Get(platform.Headers.RequestID), time.Now()})
	f.mu.Unlock()
	time.Sleep(fatalDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[part] = append(f.ends[part], time.Now())
	if !slices.Contains(f.ended, worker) {
		f.ended = append(f.ended, worker)
	}
	return true
}

// endCount returns the number of ends of workers.
func (f *fatalParts) endCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, ends := range f.ends {
		n += len(ends)
	}
	return n
}

// replaceEnded starts a worker for each one that has ended. The entry of the latter is removed as after
// missed heartbeats.
func (sc *scenario) replaceEnded() {
	sc.fatal.mu.Lock()
	ended := sc.fatal.ended
	sc.fatal.ended = nil
	sc.fatal.mu.Unlock()
	for _, id := range ended {
		i := slices.IndexFunc(sc.workers, func(p *proxiedWorker) bool { return p.id == id })
		sc.undoAfter(workerRestartDelay, func() { sc.store.remove("servers", id) })
		if err := sc.addWorker(sc.workers[i].version); err != nil {
			sc.errs <- err
		}
	}
}

// wait waits until a time and replaces workers that end.
func (sc *scenario) wait(until time.Time) {
	for time.Now().Before(until) {
		sc.replaceEnded()
		time.Sleep(min(time.Until(until), 200*time.Millisecond))
	}
}

// checkFatalParts checks that few requests with a fatal part reach workers once it has ended
// maxFreeEnds. Requests through gateways with faults do not count.
func (sc *scenario) checkFatalParts(add reportFunc) {
	calls := map[string]*call{}
	for i := range sc.calls.list {
		calls[sc.calls.list[i].id] = &sc.calls.list[i]
	}
	for part, ends := range sc.fatal.ends {
		freeEnds := maxFreeEnds
		if part == sc.fatal.path {
			freeEnds = maxFreePathEnds
		}
		if len(ends) < freeEnds {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		bound := ends[freeEnds-1].Add(quietTime)
		late := 0
		for _, a := range sc.fatal.arrivals {
			if c := calls[a.request]; c != nil && a.part == part && a.at.After(bound) && sc.faultFree(c.gateway, ends[freeEnds-1], a.at) {
				late++
			}
		}
		if late > maxLateArrivals {
			add("%d requests with part %s reached workers later than %v after it had ended %d, %d ended in all", late, part, quietTime, freeEnds, len(ends))
		}
	}
}
