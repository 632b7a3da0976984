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

// inForce is the time within which a manifest must be in force everywhere.
const inForce = 3 * time.Second

// run is one line of the engines' ledger.
type run struct {
	params      api.RunParams
	at          time.Time
	sidecar     string
	incarnation int
}

// call is what a caller sent and saw.
type call struct {
	request  entry.RequestArrived
	customer string
	node     *entryNode
	nodeAt   int
	sentAt   time.Time
	// pin is the version of the caller's session.
	pin      string
	text     string
	version  string
	answer   *entry.Answer
	lostNode bool
}

// oracle knows what every caller and every engine saw.
type oracle struct {
	w         *world
	calls     map[string]*call
	order     []string
	runs      []run
	snapshots []committed
	broken    []string
}

type committed struct {
	snapshot *manifest.Snapshot
	at       time.Time
}

func newOracle(w *world) *oracle { return &oracle{w: w, calls: map[string]*call{}} }

func (o *oracle) fail(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

func (o *oracle) committed(s *manifest.Snapshot) {
	o.snapshots = append(o.snapshots, committed{s, o.w.now})
}

func (o *oracle) sent(c *call) {
	o.calls[c.request.Request] = c
	o.order = append(o.order, c.request.Request)
}

func (o *oracle) entryKilled(n *entryNode) {
	for _, c := range o.calls {
		if c.node == n && c.nodeAt == n.incarnation && c.answer == nil {
			c.lostNode = true
		}
	}
}

// ran checks guarantees 1, 2, 7 and 8 at the moment an engine starts an attempt.
func (o *oracle) ran(s *sidecarNode, p api.RunParams) {
	o.runs = append(o.runs, run{p, o.w.now, s.name, s.incarnation})
	if !o.allowed(p) {
		o.fail("guarantee 1 or 2: %s ran %s%s for %s, which no manifest in force allows", s.name, p.Version, p.Operation, p.Customer)
	}
	if c := o.calls[p.Request]; c != nil && c.answer != nil && c.answer.Err != nil && c.answer.Err.RunState == api.RunStateNotRun {
		o.fail("guarantee 6: request %s ran after its not_run answer", p.Request)
	}
	if p.Kind != api.RunKindService || p.Idempotent {
		return
	}
	for _, r := range o.runs[:len(o.runs)-1] {
		if r.params.Customer == p.Customer && r.params.Operation == p.Operation && r.params.IdempotencyKey == p.IdempotencyKey {
			o.fail("guarantee 7: key %s of %s ran twice (requests %s and %s)", p.IdempotencyKey, p.Customer, r.params.Request, p.Request)
		}
	}
}

// allowed reports whether a manifest that may still be in force at some process
// allows a run: the newest, and those replaced less than 3 s ago.
func (o *oracle) allowed(p api.RunParams) bool {
	for i := len(o.snapshots) - 1; i >= 0; i-- {
		if permits(o.snapshots[i].snapshot, p) {
			return true
		}
		if o.w.now.Sub(o.snapshots[i].at) > inForce {
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

// delivered checks guarantee 5 while an answer streams.
func (o *oracle) delivered(n *entryNode, e entry.Deliver) {
	c := o.callOf(n, e.Request)
	if c == nil {
		return
	}
	if c.answer != nil {
		o.fail("guarantee 5: request %s got text after its end", e.Request)
	}
	c.text += e.Text
	c.version = e.Version
	o.checkText(c, e.Version, false)
}

func (o *oracle) callOf(n *entryNode, request string) *call {
	c := o.calls[request]
	if c == nil {
		o.fail("guarantee 5: answer for unknown request %s", request)
		return nil
	}
	if c.node != n || c.nodeAt != n.incarnation {
		o.fail("guarantee 5: request %s was answered by another entry", request)
	}
	return c
}

func (o *oracle) checkText(c *call, version string, whole bool) {
	want := engine.Answer(version, c.request.Messages, 12)
	if whole && c.text != want || !strings.HasPrefix(want, c.text) {
		o.fail("guarantee 5: request %s got %q, want %q", c.request.Request, c.text, want)
	}
}

// answered checks guarantees 3, 5 and 6 at the end of a request.
func (o *oracle) answered(n *entryNode, a entry.Answer) {
	c := o.callOf(n, a.Request)
	if c == nil {
		return
	}
	if c.answer != nil {
		o.fail("request %s was answered twice", a.Request)
	}
	c.answer = &a
	if late := o.w.now.Sub(c.sentAt); late > 5*time.Second+200*time.Millisecond && !c.node.frozen {
		o.checkLate(c, late)
	}
	if a.Err != nil {
		o.checkNotRun(c, a)
		return
	}
	if c.request.Kind == api.RunKindService {
		if want := service.Answer(c.request.Operation, c.request.Body); string(a.Body) != string(want) {
			o.fail("guarantee 5: request %s got body %s, want %s", a.Request, a.Body, want)
		}
		return
	}
	c.text += a.Text
	o.checkText(c, a.Version, true)
	if c.pin != "" && a.Version != c.pin {
		o.fail("guarantee 3: session on %s was answered by %s", c.pin, a.Version)
	}
}

// checkLate allows a late answer only after a freeze of the entry.
func (o *oracle) checkLate(c *call, late time.Duration) {
	if !c.node.wasFrozen(c.sentAt) {
		o.fail("request %s was answered after %s, past its deadline", c.request.Request, late)
	}
}

func (o *oracle) checkNotRun(c *call, a entry.Answer) {
	if a.Err.RunState != api.RunStateNotRun {
		return
	}
	for _, r := range o.runs {
		if r.params.Request == a.Request {
			o.fail("guarantee 6: request %s was answered not_run (%s) and ran on %s", a.Request, a.Err.Kind, r.sidecar)
		}
	}
}

// finish checks what holds once everything has healed: every request is answered
// unless its entry died, and every answered run is billed exactly once.
func (o *oracle) finish() {
	totals := o.totals()
	for _, id := range o.order {
		c := o.calls[id]
		if c.answer == nil {
			if !c.lostNode {
				o.fail("request %s was never answered", id)
			}
			continue
		}
		if c.answer.Err != nil || c.answer.Repeated {
			continue
		}
		if _, ok := totals.Record(id, 0); !ok && o.provable(c) {
			o.fail("guarantee 4: request %s was answered and is not billed", id)
		}
	}
}

// provable reports whether the entry or the sidecar that ran the request is still
// the process that it was, so that the record cannot have died with both.
func (o *oracle) provable(c *call) bool {
	if c.node.incarnation == c.nodeAt {
		return true
	}
	for _, r := range o.runs {
		if r.params.Request != c.request.Request {
			continue
		}
		for _, s := range o.w.sidecars {
			if s.name == r.sidecar && s.incarnation == r.incarnation {
				return true
			}
		}
	}
	return false
}

func (o *oracle) totals() *usage.Totals {
	totals := usage.NewTotals()
	list, err := o.w.store.List(context.Background(), "usage/")
	if err != nil {
		o.fail("usage cannot be listed: %v", err)
	}
	for _, object := range list {
		full, err := o.w.store.Get(context.Background(), object.Key)
		if err != nil {
			o.fail("usage cannot be read: %v", err)
			continue
		}
		if err := totals.AddValue(full.Value); err != nil {
			o.fail("usage batch %s is invalid: %v", object.Key, err)
		}
	}
	return totals
}
