package rollout

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// ObjectKey returns the key of the store object with the progress of a version's
// rollout.
func ObjectKey(version string) string { return "rollout/" + version }

// ControllerOptions configure the controller of a rollout. Fields that are 0 or negative
// take the defaults.
type ControllerOptions struct {
	// RenewInterval is the time after which the holder writes the object again and
	// a candidate reads it again. The default is 15 s.
	RenewInterval time.Duration
	// HolderTimeout is the time without a change of the object after which a
	// candidate takes over, by the candidate's own clock. The default is 45 s.
	HolderTimeout time.Duration
	// RetryDelay is the pause after a failed store call. The default is 2 s.
	RetryDelay time.Duration
}

func (o ControllerOptions) withDefaults() ControllerOptions {
	if o.RenewInterval <= 0 {
		o.RenewInterval = 15 * time.Second
	}
	if o.HolderTimeout <= 0 {
		o.HolderTimeout = 45 * time.Second
	}
	if o.RetryDelay <= 0 {
		o.RetryDelay = 2 * time.Second
	}
	return o
}

// Event is an input of the controller.
type Event interface{ event() }

// DeclarationChanged passes the rollout that the active manifest declares.
type DeclarationChanged struct {
	Rollout api.Rollout
	// DeclarationHash identifies the declaration of the version and its rollout.
	DeclarationHash string
	Revision        api.Revision
}

// CandidacyChanged reports whether rendezvous hashing over the entries selects this process
// to hold the rollout. Several processes may be candidates at the same time; the
// conditional write of the store object allows only one holder.
type CandidacyChanged struct{ IsCandidate bool }

// EvidenceUpdated passes the evidence on the version, summed over all entries.
type EvidenceUpdated struct{ Evidence api.Evidence }

// CutBackReported reports that the version is cut back, and the reason.
type CutBackReported struct{ Reason string }

// ObjectRead is the reply to a ReadObject. Version is the version of the object.
type ObjectRead struct {
	Version  int64
	Value    []byte
	NotFound bool
	Failed   bool
}

// WriteOutcome is the result of a WriteObject.
type WriteOutcome int

const (
	// WriteSucceeded means that the object was written.
	WriteSucceeded WriteOutcome = iota + 1
	// WriteConflict means that the object was not at WriteObject.IfVersion.
	WriteConflict
	// WriteAmbiguous means that the object may or may not have been written.
	WriteAmbiguous
	// WriteFailed means that the object was not written.
	WriteFailed
)

// ObjectWritten is the reply to a WriteObject. Version is the new version of the object
// and is set only if the write succeeded.
type ObjectWritten struct {
	Version int64
	Outcome WriteOutcome
}

// Tick triggers actions that are due. The caller sends it every second.
type Tick struct{}

func (DeclarationChanged) event() {}
func (CandidacyChanged) event()   {}
func (EvidenceUpdated) event()    {}
func (CutBackReported) event()    {}
func (ObjectRead) event()         {}
func (ObjectWritten) event()      {}
func (Tick) event()               {}

// Effect is an output of the controller, which the caller carries out.
type Effect interface{ effect() }

// ReadObject reads an object from the store.
type ReadObject struct{ ObjectKey string }

// WriteObject writes an object to the store if it is still at IfVersion; 0 means that
// it must not exist yet.
type WriteObject struct {
	ObjectKey string
	Value     []byte
	IfVersion int64
}

// ProgressConfirmed passes progress that the store has confirmed, for the traffic shares of
// this process and its peers.
type ProgressConfirmed struct{ Progress api.RolloutProgress }

func (ReadObject) effect()        {}
func (WriteObject) effect()       {}
func (ProgressConfirmed) effect() {}

// Controller controls one rollout in one process. At most one process holds the store
// object with the rollout's progress and advances its steps; a candidate takes over
// when the holder fails. It is not safe for concurrent use. The caller must reply to
// every ReadObject and WriteObject exactly once.
type Controller struct {
	// self identifies this process as a holder.
	self          string
	version       string
	opts          ControllerOptions
	declared      DeclarationChanged
	isCandidate   bool
	cutBackReason string

	// objectKnown is set after the first successful read. objectVersion is 0 when
	// the object does not exist.
	objectKnown   bool
	objectVersion int64
	progress      api.RolloutProgress
	// objectChangedAt is the time of the last observed change of the object.
	objectChangedAt time.Time
	// stepStart is the time from which this process evaluates the present step, and
	// stepBaseline the total evidence at that time.
	stepStart     time.Time
	stepBaseline  api.Evidence
	totalEvidence api.Evidence

	// callPending is set until the reply to the last store call arrives.
	callPending   bool
	pendingWrite  *api.RolloutProgress
	readRequired  bool
	lastReadAt    time.Time
	lastHandledAt time.Time
	retryAt       time.Time
}

// NewController returns the controller of a version's rollout. self identifies the process
// and must differ after a restart.
func NewController(self, version string, opts ControllerOptions) *Controller {
	return &Controller{self: self, version: version, opts: opts.withDefaults(), readRequired: true}
}

// Handle applies an event and returns the effects for the caller to carry out. The
// time now must not decrease between calls.
func (c *Controller) Handle(now time.Time, e Event) []Effect {
	c.detectPause(now)
	var out []Effect
	switch e := e.(type) {
	case DeclarationChanged:
		c.applyDeclaration(now, e)
	case CandidacyChanged:
		c.isCandidate = e.IsCandidate
	case EvidenceUpdated:
		c.totalEvidence = e.Evidence
	case CutBackReported:
		if c.cutBackReason == "" {
			c.cutBackReason = e.Reason
		}
	case ObjectRead:
		out = c.onRead(now, e)
	case ObjectWritten:
		out = c.onWritten(now, e)
	}
	return append(out, c.nextStoreCall(now)...)
}

// detectPause restarts the evaluation of the step if no event came for half of the
// holder timeout, because the process was suspended. The conditional write would
// prevent an advance only if another process had written meanwhile.
func (c *Controller) detectPause(now time.Time) {
	if !c.lastHandledAt.IsZero() && now.Sub(c.lastHandledAt) >= c.opts.HolderTimeout/2 {
		c.readRequired = true
		c.restartStep(now)
	}
	c.lastHandledAt = now
}

func (c *Controller) restartStep(now time.Time) {
	c.stepStart, c.stepBaseline = now, c.totalEvidence
}

func (c *Controller) applyDeclaration(now time.Time, d DeclarationChanged) {
	if !manifest.IsNewer(d.Revision, c.declared.Revision) {
		return
	}
	if d.DeclarationHash != c.declared.DeclarationHash {
		c.cutBackReason, c.readRequired = "", true
		c.restartStep(now)
	}
	c.declared = d
}

func (c *Controller) onRead(now time.Time, e ObjectRead) []Effect {
	c.callPending, c.lastReadAt = false, now
	if e.Failed {
		c.retryAt = now.Add(c.opts.RetryDelay)
		return nil
	}
	var p api.RolloutProgress
	if !e.NotFound && json.Unmarshal(e.Value, &p) != nil {
		c.retryAt = now.Add(c.opts.RetryDelay)
		return nil
	}
	c.readRequired = false
	if c.objectKnown && e.Version == c.objectVersion {
		return nil
	}
	restart := !c.objectKnown || p.Step != c.progress.Step || p.Holder != c.progress.Holder
	c.objectKnown, c.objectVersion, c.progress, c.objectChangedAt = true, e.Version, p, now
	if restart {
		c.restartStep(now)
	}
	return c.progressEffects()
}

// progressEffects returns the confirmed progress, unless it belongs to another
// declaration.
func (c *Controller) progressEffects() []Effect {
	if c.objectVersion == 0 || c.progress.Declaration != c.declared.DeclarationHash {
		return nil
	}
	return []Effect{ProgressConfirmed{c.progress}}
}

func (c *Controller) onWritten(now time.Time, e ObjectWritten) []Effect {
	c.callPending = false
	written := c.pendingWrite
	c.pendingWrite = nil
	switch e.Outcome {
	case WriteSucceeded:
		if written == nil {
			return nil
		}
		if written.Step != c.progress.Step || written.Holder != c.progress.Holder || c.objectVersion == 0 {
			c.restartStep(now)
		}
		c.objectVersion, c.progress, c.objectChangedAt = e.Version, *written, now
		return c.progressEffects()
	case WriteFailed:
		c.retryAt = now.Add(c.opts.RetryDelay)
	default:
		c.readRequired = true
	}
	return nil
}

// nextStoreCall returns the next store call, if one is due.
func (c *Controller) nextStoreCall(now time.Time) []Effect {
	if c.callPending || now.Before(c.retryAt) || len(c.declared.Rollout.Steps) == 0 {
		return nil
	}
	if c.readRequired || c.isCandidate && !c.isHolder() && now.Sub(c.lastReadAt) >= c.opts.RenewInterval {
		c.callPending = true
		return []Effect{ReadObject{ObjectKey: ObjectKey(c.version)}}
	}
	next, ok := c.nextProgress(now)
	if !ok {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil
	}
	c.callPending, c.pendingWrite = true, &next
	return []Effect{WriteObject{ObjectKey: ObjectKey(c.version), Value: value, IfVersion: c.objectVersion}}
}

func (c *Controller) isHolder() bool { return c.objectVersion != 0 && c.progress.Holder == c.self }

// isOutdated reports whether the object is missing or belongs to another declaration.
func (c *Controller) isOutdated() bool {
	return c.objectVersion == 0 || c.progress.Declaration != c.declared.DeclarationHash
}

// mayWrite reports whether this process may write the object: as its holder, or as a
// candidate if the object is outdated or its holder has timed out.
func (c *Controller) mayWrite(now time.Time) bool {
	if c.isOutdated() && c.objectVersion != 0 && manifest.IsNewer(c.progress.Revision, c.declared.Revision) {
		return false // the object was written under a newer manifest
	}
	if c.isHolder() {
		return true
	}
	if !c.isCandidate {
		return false
	}
	holderTimedOut := now.Sub(c.objectChangedAt) >= c.opts.HolderTimeout && c.progress.State == api.RolloutStateAdvancing
	return c.isOutdated() || holderTimedOut
}

// nextProgress returns the progress to write now, if any. A process that takes over
// keeps the step and evaluates it from the start before it advances.
func (c *Controller) nextProgress(now time.Time) (api.RolloutProgress, bool) {
	p := c.progress
	if !c.mayWrite(now) {
		return p, false
	}
	newHolder := c.isOutdated() || p.Holder != c.self
	if c.isOutdated() {
		p = c.initialProgress(now)
	}
	p.Holder, p.RenewedAt, p.Revision = c.self, int(now.UnixMilli()), c.declared.Revision
	if c.cutBackReason != "" && p.State != api.RolloutStateBackedOut {
		p.State, p.Reason, p.Evidence = api.RolloutStateBackedOut, c.cutBackReason, c.stepEvidence()
		return p, true
	}
	if !newHolder && c.mayAdvance(now) {
		p.Step++
		p.SteppedAt, p.Evidence = int(now.UnixMilli()), c.stepEvidence()
		p.State = c.stateForStep(p.Step)
		return p, true
	}
	renew := p.State == api.RolloutStateAdvancing && now.Sub(c.objectChangedAt) >= c.opts.RenewInterval
	return p, newHolder || renew
}

func (c *Controller) initialProgress(now time.Time) api.RolloutProgress {
	return api.RolloutProgress{
		Version: c.version, Declaration: c.declared.DeclarationHash, State: c.stateForStep(0), SteppedAt: int(now.UnixMilli()),
	}
}

// stateForStep returns the state in which a step puts the rollout.
func (c *Controller) stateForStep(step int) api.RolloutState {
	if step >= len(c.declared.Rollout.Steps)-1 {
		return api.RolloutStateComplete
	}
	return api.RolloutStateAdvancing
}

// stepEvidence returns the evidence since stepStart.
func (c *Controller) stepEvidence() *api.Evidence {
	e, base := c.totalEvidence, c.stepBaseline
	e.Samples, e.Failed, e.Slow = e.Samples-base.Samples, e.Failed-base.Failed, e.Slow-base.Slow
	e.Rated, e.Bad = e.Rated-base.Rated, e.Bad-base.Bad
	e.Step = c.progress.Step
	e.Version, e.Revision = c.version, c.declared.Revision
	return &e
}

// mayAdvance reports whether the step has lasted StepSeconds and has MinSamples.
func (c *Controller) mayAdvance(now time.Time) bool {
	r := c.declared.Rollout
	return c.progress.State == api.RolloutStateAdvancing && c.progress.Step < len(r.Steps)-1 &&
		now.Sub(c.stepStart) >= time.Duration(r.StepSeconds)*time.Second &&
		c.stepEvidence().Samples >= r.MinSamples
}
