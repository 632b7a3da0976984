package composed

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
	"github.com/borageflow/borageflow/internal/usage"
)

// applyBound is the time within which a committed manifest must be in force on
// every process.
const applyBound = 3 * time.Second

// run is one attempt that a backend server started.
type run struct {
	params      api.RunParams
	at          time.Time
	sidecar     string
	incarnation int
}

// call is a request and the response that its caller received so far.
type call struct {
	request         entry.RequestArrived
	customer        string
	node            *entryNode
	nodeIncarnation int
	sentAt          time.Time
	// pinnedVersion is the version of the caller's session, if it has one.
	pinnedVersion string
	text          string
	version       string
	answer        *entry.Answer
	entryKilled   bool
}

// oracle records the calls of all callers, the runs of all backend servers and the
// committed manifests, and collects the violated guarantees.
type oracle struct {
	sim          *simulation
	calls        map[string]*call
	requestOrder []string
	runs         []run
	snapshots    []committedSnapshot
	violations   []string
}

// committedSnapshot is a manifest and the virtual time of its commit.
type committedSnapshot struct {
	snapshot *manifest.Snapshot
	at       time.Time
}

func newOracle(sim *simulation) *oracle { return &oracle{sim: sim, calls: map[string]*call{}} }

func (o *oracle) report(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) recordCommit(s *manifest.Snapshot) {
	o.snapshots = append(o.snapshots, committedSnapshot{s, o.sim.now})
}

func (o *oracle) recordCall(c *call) {
	o.calls[c.request.Request] = c
	o.requestOrder = append(o.requestOrder, c.request.Request)
}

// recordEntryKill marks the unanswered calls of an entry: they need no answer.
func (o *oracle) recordEntryKill(n *entryNode) {
	for _, c := range o.calls {
		if c.node == n && c.nodeIncarnation == n.incarnation && c.answer == nil {
			c.entryKilled = true
		}
	}
}

// recordRun records an attempt when a backend server starts it. It checks that a
// manifest that may be in force allows the attempt (guarantees 1 and 2), that the
// request was not answered not_run before (6), and that a non-idempotent call does
// not run twice (7).
func (o *oracle) recordRun(s *sidecarNode, p api.RunParams) {
	o.runs = append(o.runs, run{p, o.sim.now, s.name, s.incarnation})
	if !o.allowed(p) {
		o.report("guarantee 1 or 2: %s ran %s%s for %s, which no manifest in force allows", s.name, p.Version, p.Operation, p.Customer)
	}
	if c := o.calls[p.Request]; c != nil && c.answer != nil && c.answer.Err != nil && c.answer.Err.RunState == api.RunStateNotRun {
		o.report("guarantee 6: request %s ran after its not_run answer", p.Request)
	}
	if p.Kind != api.RunKindService || p.Idempotent {
		return
	}
	for _, r := range o.runs[:len(o.runs)-1] {
		if r.params.Customer == p.Customer && r.params.Operation == p.Operation && r.params.IdempotencyKey == p.IdempotencyKey {
			o.report("guarantee 7: key %s of %s ran twice (requests %s and %s)", p.IdempotencyKey, p.Customer, r.params.Request, p.Request)
		}
	}
}

// allowed reports whether a run is permitted by a manifest that may still be in
// force on some process: the newest one, or one replaced at most applyBound ago.
func (o *oracle) allowed(p api.RunParams) bool {
	for i := len(o.snapshots) - 1; i >= 0; i-- {
		if permits(o.snapshots[i].snapshot, p) {
			return true
		}
		if o.sim.now.Sub(o.snapshots[i].at) > applyBound {
			return false
		}
	}
	return false
}

func permits(s *manifest.Snapshot, p api.RunParams) bool {
	if p.Kind == api.RunKindService {
		return s.AllowsService(p.Customer, p.Service)
	}
	v, ok := s.Version(p.Version)
	return ok && v.Phase != api.PhaseWithdrawn && s.AllowsVersion(p.Customer, p.Version)
}

// recordPart records a streamed part of an answer and checks that it continues the
// request's own answer (guarantee 5).
func (o *oracle) recordPart(n *entryNode, e entry.Deliver) {
	c := o.lookupCall(n, e.Request)
	if c == nil {
		return
	}
	if c.answer != nil {
		o.report("guarantee 5: request %s received text after its answer had ended", e.Request)
	}
	c.text += e.Text
	c.version = e.Version
	o.checkText(c, e.Version, false)
}

// lookupCall returns the call of a request, or nil if it is unknown. It reports an
// answer to an unknown request and one by another entry.
func (o *oracle) lookupCall(n *entryNode, request string) *call {
	c := o.calls[request]
	if c == nil {
		o.report("guarantee 5: answer for unknown request %s", request)
		return nil
	}
	if c.node != n || c.nodeIncarnation != n.incarnation {
		o.report("guarantee 5: request %s was answered by another entry", request)
	}
	return c
}

func (o *oracle) checkText(c *call, version string, complete bool) {
	want := engine.Answer(version, c.request.Messages, 12)
	if complete && c.text != want || !strings.HasPrefix(want, c.text) {
		o.report("guarantee 5: request %s got %q, want %q", c.request.Request, c.text, want)
	}
}

// recordAnswer records the end of a request. It checks that a session kept its version
// (guarantee 3), that the answer is complete and the request's own (5), that a request
// answered not_run did not run (6), and that the answer met its deadline.
func (o *oracle) recordAnswer(n *entryNode, a entry.Answer) {
	c := o.lookupCall(n, a.Request)
	if c == nil {
		return
	}
	if c.answer != nil {
		o.report("request %s was answered twice", a.Request)
	}
	c.answer = &a
	if elapsed := o.sim.now.Sub(c.sentAt); elapsed > 5*time.Second+200*time.Millisecond && !c.node.frozen {
		o.checkLate(c, elapsed)
	}
	if a.Err != nil {
		o.checkNotRun(c, a)
		return
	}
	if c.request.Kind == api.RunKindService {
		if want := service.Answer(c.request.Operation, c.request.Body); string(a.Body) != string(want) {
			o.report("guarantee 5: request %s got body %s, want %s", a.Request, a.Body, want)
		}
		return
	}
	c.text += a.Text
	o.checkText(c, a.Version, true)
	if c.pinnedVersion != "" && a.Version != c.pinnedVersion {
		o.report("guarantee 3: session bound to version %s was answered by %s", c.pinnedVersion, a.Version)
	}
}

// checkLate reports a late answer unless the entry was frozen during the request.
func (o *oracle) checkLate(c *call, elapsed time.Duration) {
	if !c.node.frozenSince(c.sentAt) {
		o.report("request %s was answered after %s, past its deadline", c.request.Request, elapsed)
	}
}

func (o *oracle) checkNotRun(c *call, a entry.Answer) {
	if a.Err.RunState != api.RunStateNotRun {
		return
	}
	for _, r := range o.runs {
		if r.params.Request == a.Request {
			o.report("guarantee 6: request %s was answered not_run (%s) and ran on %s", a.Request, a.Err.Kind, r.sidecar)
		}
	}
}

// checkFinalState checks the state after all faults have ended: every request was
// answered unless its entry was killed, and every answered run was billed.
func (o *oracle) checkFinalState() {
	totals := o.usageTotals()
	for _, id := range o.requestOrder {
		c := o.calls[id]
		if c.answer == nil {
			if !c.entryKilled {
				o.report("request %s was never answered", id)
			}
			continue
		}
		if c.answer.Err != nil || c.answer.Repeated {
			continue
		}
		if _, ok := totals.Record(id, 0); !ok && o.mustBeBilled(c) {
			o.report("guarantee 4: request %s was answered and is not billed", id)
		}
	}
}

// mustBeBilled reports whether the entry or the sidecar of a request has not been
// restarted since. If both were, the usage record may be lost with them.
func (o *oracle) mustBeBilled(c *call) bool {
	if c.node.incarnation == c.nodeIncarnation {
		return true
	}
	for _, r := range o.runs {
		if r.params.Request != c.request.Request {
			continue
		}
		for _, s := range o.sim.sidecars {
			if s.name == r.sidecar && s.incarnation == r.incarnation {
				return true
			}
		}
	}
	return false
}

// usageTotals returns the totals of all usage batches in the store.
func (o *oracle) usageTotals() *usage.Totals {
	totals := usage.NewTotals()
	list, err := o.sim.store.List(context.Background(), "usage/")
	if err != nil {
		o.report("usage batches cannot be listed: %v", err)
	}
	for _, object := range list {
		content, err := o.sim.store.Get(context.Background(), object.Key)
		if err != nil {
			o.report("usage batch cannot be read: %v", err)
			continue
		}
		if err := totals.AddEncoded(content.Value); err != nil {
			o.report("usage batch %s is invalid: %v", object.Key, err)
		}
	}
	return totals
}
