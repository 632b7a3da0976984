package loadgen

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/framing"
)

// Options holds the settings of one run.
type Options struct {
	// Plan sets the load; see DecodePlan.
	Plan api.LoadPlan
	// Entries holds the base URLs of the entries. Requests are distributed over them
	// round robin.
	Entries []string
	// Ledgers holds the base URLs of stand-ins. Their ledgers are read after the run to
	// find calls that ran twice and refusals of calls that ran.
	Ledgers []string
	// Trace, if not empty, sets the arrivals and classes in place of those of Plan.
	Trace []api.TraceRecord
	// Client sends the requests; nil uses NewClient.
	Client *http.Client
}

// generator is the state of one run.
type generator struct {
	plan      api.LoadPlan
	entries   []string
	client    *http.Client
	runID     string // part of prompts and keys, so that they differ between runs
	nextEntry atomic.Int64
	sessions  sessions
	inFlight  atomic.Int64
	collector *collector
}

// Run sends the load and returns the outcomes that callers saw. Canceling ctx stops the
// arrivals and cancels the requests in flight. It returns an error for invalid options and for
// a ledger that cannot be read or is incomplete.
func Run(ctx context.Context, options Options) (api.LoadResult, error) {
	g, arrivals, err := newGenerator(options)
	if err != nil {
		return api.LoadResult{}, err
	}
	started := time.Now()
	g.sendAll(ctx, arrivals, started)
	elapsed := time.Since(started)
	ledgers, err := readLedgers(context.WithoutCancel(ctx), g.client, options.Ledgers)
	if err != nil {
		return api.LoadResult{}, err
	}
	return g.collector.result(elapsed, ledgers), nil
}

func newGenerator(options Options) (*generator, arrivalSource, error) {
	if len(options.Entries) == 0 {
		return nil, nil, eris.New("options have no entries: at least one base URL is required")
	}
	plan := options.Plan
	var arrivals arrivalSource
	switch {
	case len(options.Trace) > 0:
		plan.Classes = nil
		recordedArrivals, err := convertTrace(&plan, options.Trace)
		if err != nil {
			return nil, nil, err
		}
		arrivals = &traceArrivals{plan: plan, arrivals: recordedArrivals}
	case len(plan.Classes) == 0:
		return nil, nil, eris.New("plan has no classes and options have no trace: one of the two is required")
	default:
		arrivals = newPoissonArrivals(plan)
	}
	g := &generator{
		plan: plan, client: options.Client, collector: newCollector(plan),
		runID:    strconv.FormatInt(time.Now().UnixNano(), 36),
		sessions: sessions{byName: map[string]*session{}},
	}
	for _, entry := range options.Entries {
		g.entries = append(g.entries, strings.TrimSuffix(entry, "/"))
	}
	if g.client == nil {
		g.client = NewClient()
	}
	return g, arrivals, nil
}

// NewClient returns a client without a limit on connections, which would delay arrivals.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: framing.MaxHeadBytes,
	}}
}

func (g *generator) sendAll(ctx context.Context, arrivals arrivalSource, started time.Time) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		a, ok := arrivals.next()
		if !ok {
			return
		}
		scheduled := started.Add(a.at)
		if !sleepUntil(ctx, scheduled) {
			return
		}
		if g.inFlight.Load() >= int64(g.plan.MaxInFlight) {
			g.collector.add(&sample{class: a.class, skipped: true})
			continue
		}
		g.inFlight.Add(1)
		running.Go(func() {
			defer g.inFlight.Add(-1)
			g.collector.add(g.sendOne(ctx, a, scheduled))
		})
	}
}

func (g *generator) sendOne(ctx context.Context, a arrival, scheduled time.Time) *sample {
	s := &sample{class: a.class, sendLag: time.Since(scheduled)}
	timeout := time.Duration(g.plan.TimeoutMs) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(timeout))
	defer cancel()
	switch g.plan.Classes[a.class].Kind {
	case api.LoadKindService:
		g.sendServiceCall(ctx, a, scheduled, s)
	case api.LoadKindEngine:
		g.sendDirect(ctx, a, scheduled, s)
	default:
		g.sendChat(ctx, a, scheduled, s)
	}
	s.total = time.Since(scheduled)
	return s
}

// nanosleepWait is the final part of a wait, which uses nanosleep: timers of the Go runtime
// are up to 1 ms late in an otherwise idle process.
const nanosleepWait = 2 * time.Millisecond

// sleepUntil waits until the given time. It returns false when ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if wait := time.Until(at) - nanosleepWait; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		request := syscall.NsecToTimespec(wait.Nanoseconds())
		// A signal can interrupt the sleep; the loop then sleeps for the remaining time.
		_ = syscall.Nanosleep(&request, nil)
	}
	return ctx.Err() == nil
}
