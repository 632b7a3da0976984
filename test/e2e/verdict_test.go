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

// answerTolerance is how long after its deadline a call may be answered.
const answerTolerance = time.Second

// allowedVersions holds the versions that each customer may use in the manifests of
// these tests.
var allowedVersions = map[string]map[string]bool{
	"north": {versionSmall: true, versionLarge: true, versionNext: true},
	"south": {versionSmall: true},
}

// ledgers holds the runs that all backend stand-ins recorded.
type ledgers struct {
	byRequest map[string][]base.Run
	// serviceRuns counts the runs of service calls by digest of operation and body.
	serviceRuns  map[string]int
	runningCount int
	runs         []base.Run
}

// ledgers reads the ledgers of all engines and services.
func (c *cluster) ledgers() ledgers {
	l := ledgers{byRequest: map[string][]base.Run{}, serviceRuns: map[string]int{}}
	add := func(snapshot base.LedgerSnapshot, isService bool) {
		for _, r := range snapshot.Runs {
			l.runs = append(l.runs, r)
			l.byRequest[r.Request] = append(l.byRequest[r.Request], r)
			if isService {
				l.serviceRuns[r.BodyDigest]++
			}
			if r.Outcome == base.OutcomeRunning {
				l.runningCount++
			}
		}
	}
	for _, e := range c.Engines {
		add(e.Ledger().Snapshot(), false)
	}
	for _, s := range c.Services {
		add(s.Ledger().Snapshot(), true)
	}
	return l
}

// countRuns returns the number of runs of a version on all engines.
func (c *cluster) countRuns(version string) int {
	n := 0
	for _, r := range c.ledgers().runs {
		if r.Version == version {
			n++
		}
	}
	return n
}

// checkGuarantees stops the load and compares the responses of the callers with the
// ledgers and the usage records. It fails the test if a guarantee is broken.
func (l *load) checkGuarantees() {
	l.cluster.t.Helper()
	l.checkRunsAndAnswers()
	l.waitBilled(l.recordedCalls(), l.cluster.ledgers())
}

// checkRunsAndAnswers is checkGuarantees without the usage records.
func (l *load) checkRunsAndAnswers() {
	l.cluster.t.Helper()
	l.stop()
	l.waitIdle()
	runs := l.cluster.ledgers()
	var faults []string
	report := func(c *call, format string, args ...any) {
		faults = append(faults, fmt.Sprintf(format, args...)+": "+c.String())
	}
	calls := l.recordedCalls()
	answers := map[string]string{}
	count := map[string]int{}
	for _, c := range calls {
		count[callOutcome(c)]++
		checkRuns(c, runs, report)
		checkAnswer(c, report)
		if c.operation == "confirm" && c.ok() {
			if first, ok := answers[c.key]; ok && first != c.text {
				report(c, "two different answers to the same idempotency key")
			}
			answers[c.key] = c.text
		}
		if took := c.end.Sub(c.start); took > c.deadline+answerTolerance {
			count["late"]++
			if !l.cluster.processes[fmt.Sprintf("entry-%d", c.entry)].wasFrozen.Load() {
				report(c, "answered more than answerTolerance after the deadline")
			}
		}
	}
	for _, c := range calls {
		if c.operation == "confirm" && runs.serviceRuns[service.Digest(c.operation, []byte(c.body))] > 1 {
			count["doubled"]++
			report(c, "non-idempotent call ran more than once")
		}
	}
	l.cluster.t.Logf("outcomes of %d calls: %v", len(calls), count)
	assert.Equal(l.cluster.t, len(faults), 0, strings.Join(faults[:min(len(faults), 10)], "\n"))
}

// callOutcome returns the name under which checkRunsAndAnswers counts a call.
func callOutcome(c *call) string {
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

// checkRuns reports a call whose run state contradicts the ledgers, or that ran for
// the wrong customer or on a wrong version.
func checkRuns(c *call, l ledgers, report func(*call, string, ...any)) {
	runs := l.byRequest[c.requestID]
	if c.requestID == "" {
		runs = nil
	}
	if c.runState == "not_run" && len(runs) > 0 {
		report(c, "answered not_run but ran %d times", len(runs))
	}
	if c.ok() && len(runs) == 0 && !c.repeated() {
		report(c, "answered without a run in any ledger")
	}
	for _, r := range runs {
		if r.Version == "" {
			continue
		}
		if r.Customer != c.customer || !allowedVersions[c.customer][r.Version] {
			report(c, "ran for customer %s on version %s, which is not allowed", r.Customer, r.Version)
		}
		if c.pinnedVersion != "" && r.Version != c.pinnedVersion {
			report(c, "session is bound to version %s but ran on %s", c.pinnedVersion, r.Version)
		}
	}
}

// checkAnswer compares an answer byte for byte with the expected one. An answer that
// was interrupted must be a prefix of it.
func checkAnswer(c *call, report func(*call, string, ...any)) {
	if c.operation != "" {
		if want := string(service.Answer(c.operation, []byte(c.body))); c.ok() && c.text != want {
			report(c, "answer is %q, want %q", c.text, want)
		}
		return
	}
	want := engine.Answer(c.version, c.messages, c.maxTokens)
	switch {
	case c.ok() && c.text != want:
		report(c, "answer is %q, want %q", c.text, want)
	case !strings.HasPrefix(want, c.text):
		report(c, "incomplete answer %q is not a prefix of %q", c.text, want)
	case c.ok() && c.pinnedVersion != "" && c.version != c.pinnedVersion:
		report(c, "session is bound to version %s but was answered by %s", c.pinnedVersion, c.version)
	}
}

// settleTimeout is how long the helpers wait for runs, records and refusals.
const settleTimeout = 30 * time.Second

// waitIdle waits until the ledgers contain no run in progress.
func (l *load) waitIdle() {
	l.cluster.t.Helper()
	poll.WaitOn(l.cluster.t, func(poll.LogT) poll.Result {
		if n := l.cluster.ledgers().runningCount; n > 0 {
			return poll.Continue("%d runs are still in progress", n)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// waitBilled waits until the usage records match the calls: one billed stage for
// each answered call, and none for a call that did not run.
func (l *load) waitBilled(calls []*call, runs ledgers) {
	l.cluster.t.Helper()
	poll.WaitOn(l.cluster.t, func(poll.LogT) poll.Result {
		records, err := l.cluster.billedRecords()
		if err != nil {
			return poll.Continue("%v", err)
		}
		if fault := billingFault(calls, runs, records); fault != "" {
			return poll.Continue("%s", fault)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(100*time.Millisecond))
}

// billedRecords returns the billed usage records by request ID, after the
// deduplication that readers of the records apply.
func (c *cluster) billedRecords() (map[string]api.UsageRecord, error) {
	totals, billed := c.usage(), map[string]api.UsageRecord{}
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
			if record, ok := totals.Record(r.Request, r.Stage); ok && record.RunState == api.RunStateRan {
				billed[r.Request] = record
			}
		}
	}
	return billed, nil
}

// billingFault returns the first difference between the calls, the runs and the
// usage records, or an empty string.
func billingFault(calls []*call, runs ledgers, records map[string]api.UsageRecord) string {
	missing, example := 0, ""
	for _, c := range calls {
		r, billed := records[c.requestID]
		switch {
		case c.ok() && !c.repeated() && !billed:
			missing++
			example = c.String()
		case billed && (r.Customer != c.customer || c.version != "" && c.ok() && r.Version != c.version):
			return fmt.Sprintf("usage record has customer %s and version %s for %s", r.Customer, r.Version, c)
		case billed && (c.runState == "not_run" || c.repeated()):
			return fmt.Sprintf("billed although it was a repeat or not run: %s", c)
		}
	}
	if missing > 0 {
		return fmt.Sprintf("%d answered calls have no usage record, for example %s", missing, example)
	}
	for request := range records {
		if len(runs.byRequest[request]) == 0 {
			return fmt.Sprintf("request %s is billed but is in no ledger", request)
		}
	}
	return ""
}
