package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

// lateAfter is how long past its deadline a call may be answered.
const lateAfter = time.Second

// allowed lists the versions of each customer of the test manifest.
var allowed = map[string]map[string]bool{
	"north": {versionSmall: true, versionLarge: true, versionNext: true},
	"south": {versionSmall: true},
}

// ledgers is what the stand-ins ran.
type ledgers struct {
	byRequest map[string][]base.Run
	// service counts the runs of each service call by digest.
	service map[string]int
	running int
	runs    []base.Run
}

func (c *cluster) ledgers() ledgers {
	l := ledgers{byRequest: map[string][]base.Run{}, service: map[string]int{}}
	add := func(view base.LedgerView, isService bool) {
		for _, r := range view.Runs {
			l.runs = append(l.runs, r)
			l.byRequest[r.Request] = append(l.byRequest[r.Request], r)
			if isService {
				l.service[r.Body]++
			}
			if r.Outcome == base.OutcomeRunning {
				l.running++
			}
		}
	}
	for _, e := range c.Engines {
		add(e.Ledger().View(), false)
	}
	for _, s := range c.Services {
		add(s.Ledger().View(), true)
	}
	return l
}

// runsOf counts the runs of a version on all engines.
func (c *cluster) runsOf(version string) int {
	n := 0
	for _, r := range c.ledgers().runs {
		if r.Version == version {
			n++
		}
	}
	return n
}

// verdict stops the load and compares what the callers saw with the ledgers and
// the usage records. It fails the test on every broken guarantee.
func (l *load) verdict() {
	l.c.t.Helper()
	l.compare()
	l.waitBilled(l.done(), l.c.ledgers())
}

// compare is the verdict without the usage records.
func (l *load) compare() {
	l.c.t.Helper()
	l.stop()
	l.waitIdle()
	runs := l.c.ledgers()
	var faults []string
	report := func(c *call, format string, args ...any) {
		faults = append(faults, fmt.Sprintf(format, args...)+": "+c.String())
	}
	calls := l.done()
	answers := map[string]string{}
	count := map[string]int{}
	for _, c := range calls {
		count[outcomeOf(c)]++
		checkRuns(c, runs, report)
		checkAnswer(c, report)
		if c.operation == "confirm" && c.ok() {
			if first, ok := answers[c.key]; ok && first != c.text {
				report(c, "two answers for one idempotency key")
			}
			answers[c.key] = c.text
		}
		if took := c.end.Sub(c.start); took > c.deadline+lateAfter {
			count["late"]++
			if !l.c.processes[fmt.Sprintf("entry-%d", c.entry)].wasFrozen.Load() {
				report(c, "answered late")
			}
		}
	}
	for _, c := range calls {
		if c.operation == "confirm" && runs.service[service.Digest(c.operation, []byte(c.body))] > 1 {
			count["doubled"]++
			report(c, "a non-idempotent call ran twice")
		}
	}
	l.c.t.Logf("verdict: %d calls, %v", len(calls), count)
	assert.Equal(l.c.t, len(faults), 0, strings.Join(faults[:min(len(faults), 10)], "\n"))
}

func outcomeOf(c *call) string {
	switch {
	case c.ok():
		return "answered"
	case c.runState == "not_run":
		return "not_run"
	case c.err == nil && (c.kind == "duplicate_in_progress" || c.kind == "duplicate_unknown"):
		return "duplicate"
	case c.err == nil:
		return "lost_stated"
	default:
		return "lost_connection"
	}
}

// checkRuns compares one call with the ledgers.
func checkRuns(c *call, l ledgers, report func(*call, string, ...any)) {
	runs := l.byRequest[c.request]
	if c.request == "" {
		runs = nil
	}
	if c.runState == "not_run" && len(runs) > 0 {
		report(c, "answered not_run but ran %d times", len(runs))
	}
	if c.ok() && len(runs) == 0 && !c.repeated() {
		report(c, "answered without a run")
	}
	for _, r := range runs {
		if r.Version == "" {
			continue
		}
		if r.Customer != c.customer || !allowed[c.customer][r.Version] {
			report(c, "ran for %s on %s", r.Customer, r.Version)
		}
		if c.pinned != "" && r.Version != c.pinned {
			report(c, "session of %s ran on %s", c.pinned, r.Version)
		}
	}
}

// checkAnswer compares an answer with the only right one, byte for byte. An
// answer that was broken off must be a prefix of it.
func checkAnswer(c *call, report func(*call, string, ...any)) {
	if c.operation != "" {
		if want := string(service.Answer(c.operation, []byte(c.body))); c.ok() && c.text != want {
			report(c, "answer is %q, want %q", c.text, want)
		}
		return
	}
	want := engine.Answer(c.version, c.messages, c.tokens)
	switch {
	case c.ok() && c.text != want:
		report(c, "answer is %q, want %q", c.text, want)
	case !strings.HasPrefix(want, c.text):
		report(c, "part %q is not of %q", c.text, want)
	case c.ok() && c.pinned != "" && c.version != c.pinned:
		report(c, "session of %s was answered by %s", c.pinned, c.version)
	}
}

const settleTimeout = 30 * time.Second

func (l *load) waitIdle() {
	l.c.t.Helper()
	poll.WaitOn(l.c.t, func(poll.LogT) poll.Result {
		if n := l.c.ledgers().running; n > 0 {
			return poll.Continue("%d runs have not ended", n)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// waitBilled waits until usage matches the callers' records: one billed stage for
// each answer that ran, none for what did not run.
func (l *load) waitBilled(calls []*call, runs ledgers) {
	l.c.t.Helper()
	poll.WaitOn(l.c.t, func(poll.LogT) poll.Result {
		records, err := l.c.records()
		if err != nil {
			return poll.Continue("%v", err)
		}
		if fault := billingFault(calls, runs, records); fault != "" {
			return poll.Continue("%s", fault)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(100*time.Millisecond))
}

// records returns the billed records by request, as readers count them.
func (c *cluster) records() (map[string]api.UsageRecord, error) {
	totals, ids := c.usage(), map[string]api.UsageRecord{}
	list, err := c.Store.List(context.Background(), "usage/")
	if err != nil {
		return nil, err
	}
	for _, o := range list {
		object, err := c.Store.Get(context.Background(), o.Key)
		if err != nil {
			return nil, err
		}
		var batch api.UsageBatch
		if err := json.Unmarshal(object.Value, &batch); err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			if best, ok := totals.Record(r.Request, r.Stage); ok && best.RunState == api.RunStateRan {
				ids[r.Request] = best
			}
		}
	}
	return ids, nil
}

func billingFault(calls []*call, runs ledgers, records map[string]api.UsageRecord) string {
	missing, example := 0, ""
	for _, c := range calls {
		r, billed := records[c.request]
		switch {
		case c.ok() && !c.repeated() && !billed:
			missing++
			example = c.String()
		case billed && (r.Customer != c.customer || c.version != "" && c.ok() && r.Version != c.version):
			return fmt.Sprintf("%s %s is billed for %s", r.Customer, r.Version, c)
		case billed && (c.runState == "not_run" || c.repeated()):
			return fmt.Sprintf("billed without a run: %s", c)
		}
	}
	if missing > 0 {
		return fmt.Sprintf("%d answers are not billed, among them %s", missing, example)
	}
	for request := range records {
		if len(runs.byRequest[request]) == 0 {
			return fmt.Sprintf("request %s is billed and did not run", request)
		}
	}
	return ""
}
