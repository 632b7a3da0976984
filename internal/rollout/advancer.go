package rollout

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// ObjectKey returns the store object that holds the progress of a rollout.
func ObjectKey(version string) string { return "rollout/" + version }

// AdvancerOptions configure an Advancer. Zero fields take the defaults.
type AdvancerOptions struct {
	// RenewEvery is how often the holder writes the object, and how often a
	// candidate reads it.
	RenewEvery time.Duration
	// HolderTimeout is how long the object must stay unchanged before another
	// candidate takes over. It is measured on the reader's own clock.
	HolderTimeout time.Duration
	// BackOff is the pause after a failed call of the store.
	BackOff time.Duration
}

func (o AdvancerOptions) withDefaults() AdvancerOptions {
	if o.RenewEvery <= 0 {
		o.RenewEvery = 15 * time.Second
	}
	if o.HolderTimeout <= 0 {
		o.HolderTimeout = 45 * time.Second
	}
	if o.BackOff <= 0 {
		o.BackOff = 2 * time.Second
	}
	return o
}

// Event is an input of an Advancer.
type Event interface{ event() }

// Declared states the rollout of the manifest in force, see Shares.Declared.
type Declared struct {
	Rollout api.Rollout
	// Declaration is a fingerprint of the version and its rollout.
	Declaration string
	Revision    api.Revision
}

// Candidate states whether this process should hold the rollout, by rendezvous
// hashing over the entries. It is a hint; the object decides.
type Candidate struct{ Wanted bool }

// EvidenceSum is the evidence of all origins so far, see Shares.Sum.
type EvidenceSum struct{ Evidence api.Evidence }

// CutBackSeen states that the version is cut back.
type CutBackSeen struct{ Reason string }

// StoreRead answers a ReadObject.
type StoreRead struct {
	Version  int64
	Value    []byte
	NotFound bool
	Failed   bool
}

// WriteOutcome is the outcome of a WriteObject.
type WriteOutcome int

// Outcomes of a WriteObject.
const (
	Written WriteOutcome = iota + 1
	Conflict
	Ambiguous
	Failed
)

// StoreWritten answers a WriteObject. Version is set when Outcome is Written.
type StoreWritten struct {
	Version int64
	Outcome WriteOutcome
}

// Tick lets time pass; it is due every second.
type Tick struct{}

func (Declared) event()     {}
func (Candidate) event()    {}
func (EvidenceSum) event()  {}
func (CutBackSeen) event()  {}
func (StoreRead) event()    {}
func (StoreWritten) event() {}
func (Tick) event()         {}

// Effect is an output of an Advancer.
type Effect interface{ effect() }

// ReadObject asks for one StoreRead.
type ReadObject struct{ ObjectKey string }

// WriteObject asks for one StoreWritten. IfVersion 0 means create only.
type WriteObject struct {
	ObjectKey string
	Value     []byte
	IfVersion int64
}

// ShareChanged passes confirmed progress on, to Shares and to peers.
type ShareChanged struct{ Progress api.RolloutProgress }

func (ReadObject) effect()   {}
func (WriteObject) effect()  {}
func (ShareChanged) effect() {}

// Advancer is one process's view of one rollout: it holds the object or watches
// the holder. It is not safe for concurrent use. Every ReadObject and
// WriteObject must be answered by exactly one StoreRead or StoreWritten.
type Advancer struct {
	self     string
	version  string
	opts     AdvancerOptions
	declared Declared
	wanted   bool
	cut      string

	known    bool
	object   int64
	progress api.RolloutProgress
	// seenAt is when the object was last seen to change.
	seenAt time.Time
	// stepAt and stepEvidence are when this holder began to judge the step.
	stepAt       time.Time
	stepEvidence api.Evidence
	sum          api.Evidence

	busy     bool
	writing  *api.RolloutProgress
	mustRead bool
	lastRead time.Time
	lastCall time.Time
	retryAt  time.Time
}

// NewAdvancer returns the Advancer of a process for a version.
func NewAdvancer(self, version string, opts AdvancerOptions) *Advancer {
	return &Advancer{self: self, version: version, opts: opts.withDefaults(), mustRead: true}
}

// Handle applies one event at time now, which never decreases.
func (a *Advancer) Handle(now time.Time, e Event) []Effect {
	a.noticePause(now)
	var out []Effect
	switch e := e.(type) {
	case Declared:
		a.declare(now, e)
	case Candidate:
		a.wanted = e.Wanted
	case EvidenceSum:
		a.sum = e.Evidence
	case CutBackSeen:
		if a.cut == "" {
			a.cut = e.Reason
		}
	case StoreRead:
		out = a.onRead(now, e)
	case StoreWritten:
		out = a.onWritten(now, e)
	}
	return append(out, a.step(now)...)
}

// noticePause makes a process that stood still judge its step anew. The
// conditional write would stop it only if another process had written.
func (a *Advancer) noticePause(now time.Time) {
	if !a.lastCall.IsZero() && now.Sub(a.lastCall) >= a.opts.HolderTimeout/2 {
		a.mustRead = true
		a.restart(now)
	}
	a.lastCall = now
}

func (a *Advancer) restart(now time.Time) {
	a.stepAt, a.stepEvidence = now, a.sum
}

func (a *Advancer) declare(now time.Time, d Declared) {
	if !manifest.Newer(d.Revision, a.declared.Revision) {
		return
	}
	if d.Declaration != a.declared.Declaration {
		a.cut, a.mustRead = "", true
		a.restart(now)
	}
	a.declared = d
}

func (a *Advancer) onRead(now time.Time, e StoreRead) []Effect {
	a.busy, a.lastRead = false, now
	if e.Failed {
		a.retryAt = now.Add(a.opts.BackOff)
		return nil
	}
	var p api.RolloutProgress
	if !e.NotFound && json.Unmarshal(e.Value, &p) != nil {
		a.retryAt = now.Add(a.opts.BackOff)
		return nil
	}
	a.mustRead = false
	if a.known && e.Version == a.object {
		return nil
	}
	changed := !a.known || p.Step != a.progress.Step || p.Holder != a.progress.Holder
	a.known, a.object, a.progress, a.seenAt = true, e.Version, p, now
	if changed {
		a.restart(now)
	}
	return a.report()
}

// report passes progress of the present declaration on.
func (a *Advancer) report() []Effect {
	if a.object == 0 || a.progress.Declaration != a.declared.Declaration {
		return nil
	}
	return []Effect{ShareChanged{a.progress}}
}

func (a *Advancer) onWritten(now time.Time, e StoreWritten) []Effect {
	a.busy = false
	next := a.writing
	a.writing = nil
	switch e.Outcome {
	case Written:
		if next == nil {
			return nil
		}
		if next.Step != a.progress.Step || next.Holder != a.progress.Holder || a.object == 0 {
			a.restart(now)
		}
		a.object, a.progress, a.seenAt = e.Version, *next, now
		return a.report()
	case Failed:
		a.retryAt = now.Add(a.opts.BackOff)
	default:
		a.mustRead = true
	}
	return nil
}

// step makes the next call of the store, if one is due.
func (a *Advancer) step(now time.Time) []Effect {
	if a.busy || now.Before(a.retryAt) || len(a.declared.Rollout.Steps) == 0 {
		return nil
	}
	if a.mustRead || a.wanted && !a.holds() && now.Sub(a.lastRead) >= a.opts.RenewEvery {
		a.busy = true
		return []Effect{ReadObject{ObjectKey: ObjectKey(a.version)}}
	}
	next, ok := a.next(now)
	if !ok {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil
	}
	a.busy, a.writing = true, &next
	return []Effect{WriteObject{ObjectKey: ObjectKey(a.version), Value: value, IfVersion: a.object}}
}

func (a *Advancer) holds() bool { return a.object != 0 && a.progress.Holder == a.self }

func (a *Advancer) outdated() bool {
	return a.object == 0 || a.progress.Declaration != a.declared.Declaration
}

// mayWrite reports whether this process may write the object: as its holder, or
// as a candidate for an object that is outdated or whose holder is silent.
func (a *Advancer) mayWrite(now time.Time) bool {
	if a.outdated() && a.object != 0 && manifest.Newer(a.progress.Revision, a.declared.Revision) {
		return false // the writer knows a newer manifest
	}
	if a.holds() {
		return true
	}
	if !a.wanted {
		return false
	}
	silent := now.Sub(a.seenAt) >= a.opts.HolderTimeout && a.progress.State == api.RolloutStateAdvancing
	return a.outdated() || silent
}

// next returns the progress to write at now, if any. A taker-over keeps the step
// and judges it anew before it advances.
func (a *Advancer) next(now time.Time) (api.RolloutProgress, bool) {
	p := a.progress
	if !a.mayWrite(now) {
		return p, false
	}
	changed := a.outdated() || p.Holder != a.self
	if a.outdated() {
		p = a.first(now)
	}
	p.Holder, p.RenewedAt, p.Revision = a.self, int(now.UnixMilli()), a.declared.Revision
	if a.cut != "" && p.State != api.RolloutStateBackedOut {
		p.State, p.Reason, p.Evidence = api.RolloutStateBackedOut, a.cut, a.gathered()
		return p, true
	}
	if !changed && a.mayAdvance(now) {
		p.Step++
		p.SteppedAt, p.Evidence = int(now.UnixMilli()), a.gathered()
		p.State = a.stateAt(p.Step)
		return p, true
	}
	renew := p.State == api.RolloutStateAdvancing && now.Sub(a.seenAt) >= a.opts.RenewEvery
	return p, changed || renew
}

func (a *Advancer) first(now time.Time) api.RolloutProgress {
	return api.RolloutProgress{
		Version: a.version, Declaration: a.declared.Declaration, State: a.stateAt(0), SteppedAt: int(now.UnixMilli()),
	}
}

func (a *Advancer) stateAt(step int) api.RolloutState {
	if step >= len(a.declared.Rollout.Steps)-1 {
		return api.RolloutStateComplete
	}
	return api.RolloutStateAdvancing
}

// gathered is the evidence since this holder began to judge the step.
func (a *Advancer) gathered() *api.Evidence {
	e, b := a.sum, a.stepEvidence
	e.Samples, e.Failed, e.Slow = e.Samples-b.Samples, e.Failed-b.Failed, e.Slow-b.Slow
	e.Rated, e.Bad = e.Rated-b.Rated, e.Bad-b.Bad
	e.Step = a.progress.Step
	e.Version, e.Revision = a.version, a.declared.Revision
	return &e
}

func (a *Advancer) mayAdvance(now time.Time) bool {
	r := a.declared.Rollout
	return a.progress.State == api.RolloutStateAdvancing && a.progress.Step < len(r.Steps)-1 &&
		now.Sub(a.stepAt) >= time.Duration(r.StepSeconds)*time.Second &&
		a.gathered().Samples >= r.MinSamples
}
