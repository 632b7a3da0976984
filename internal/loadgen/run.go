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
)

// Options set one run.
type Options struct {
	Plan api.LoadPlan
	// Entries are base URLs; requests go to them in turn.
	Entries []string
	// Ledgers are base URLs of stand-ins whose ledgers are read after the run to
	// find doubled calls and untrue refusals.
	Ledgers []string
	// Trace gives the arrivals in place of the plan's rate and classes.
	Trace []api.TraceRecord
	// Client sends the requests; nil uses one without a connection bound.
	Client *http.Client
}

// generator is one run.
type generator struct {
	plan     api.LoadPlan
	entries  []string
	client   *http.Client
	run      string // makes prompts and keys differ between runs
	turn     atomic.Int64
	sessions sessions
	inFlight atomic.Int64
	collect  *collector
}

// Run sends the load and returns what callers saw. Cancelling ctx stops the
// arrivals and the requests in flight.
func Run(ctx context.Context, options Options) (api.LoadResult, error) {
	g, arrivals, err := prepare(options)
	if err != nil {
		return api.LoadResult{}, err
	}
	started := time.Now()
	g.send(ctx, arrivals, started)
	elapsed := time.Since(started)
	ledgers, err := readLedgers(context.WithoutCancel(ctx), g.client, options.Ledgers)
	if err != nil {
		return api.LoadResult{}, err
	}
	return g.collect.result(elapsed, ledgers), nil
}

func prepare(options Options) (*generator, source, error) {
	if len(options.Entries) == 0 {
		return nil, nil, eris.New("no entry is given")
	}
	plan := options.Plan
	var arrivals source
	switch {
	case len(options.Trace) > 0:
		plan.Classes = nil
		recordedArrivals, err := fromTrace(&plan, options.Trace)
		if err != nil {
			return nil, nil, err
		}
		arrivals = &recorded{plan: plan, arrivals: recordedArrivals}
	case len(plan.Classes) == 0:
		return nil, nil, eris.New("the plan has no classes and no trace is given")
	default:
		arrivals = newPoisson(plan)
	}
	g := &generator{
		plan: plan, client: options.Client, collect: newCollector(plan),
		run:      strconv.FormatInt(time.Now().UnixNano(), 36),
		sessions: sessions{held: map[string]*session{}},
	}
	for _, entry := range options.Entries {
		g.entries = append(g.entries, strings.TrimSuffix(entry, "/"))
	}
	if g.client == nil {
		g.client = NewClient()
	}
	return g, arrivals, nil
}

// NewClient returns a client without a bound on connections: a bound would hold
// arrivals back.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

func (g *generator) send(ctx context.Context, arrivals source, started time.Time) {
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
			g.collect.add(&sample{class: a.class, notSent: true})
			continue
		}
		g.inFlight.Add(1)
		running.Go(func() {
			defer g.inFlight.Add(-1)
			g.collect.add(g.one(ctx, a, scheduled))
		})
	}
}

func (g *generator) one(ctx context.Context, a arrival, scheduled time.Time) *sample {
	s := &sample{class: a.class, lag: time.Since(scheduled)}
	timeout := time.Duration(g.plan.TimeoutMs) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(timeout))
	defer cancel()
	switch g.plan.Classes[a.class].Kind {
	case api.LoadKindService:
		g.service(ctx, a, scheduled, s)
	case api.LoadKindEngine:
		g.direct(ctx, a, scheduled, s)
	default:
		g.chat(ctx, a, scheduled, s)
	}
	s.total = time.Since(scheduled)
	return s
}

// preciseWait is the last part of a wait, which the thread sleeps by itself: the
// runtime's timers are up to 1 ms late when the process is otherwise idle.
const preciseWait = 2 * time.Millisecond

func sleepUntil(ctx context.Context, at time.Time) bool {
	if wait := time.Until(at) - preciseWait; wait > 0 {
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
		// A signal may interrupt the sleep; the loop then sleeps the rest.
		_ = syscall.Nanosleep(&request, nil)
	}
	return ctx.Err() == nil
}
