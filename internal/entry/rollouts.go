package entry

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/rollout"
	"github.com/borageflow/borageflow/internal/routing"
)

const (
	// rolloutInterval is the time between two ticks of the rollout controllers.
	rolloutInterval = time.Second
	// rolloutKeyPrefix precedes the version in the store keys of rollout
	// progress.
	rolloutKeyPrefix = "rollout/"
	// maxEvidencePerDigest bounds the evidence records of one digest to another
	// entry, which then take about 600 bytes.
	maxEvidencePerDigest = 4
)

// rolloutState holds the traffic shares, the rollout progress and this entry's
// rollout controllers, by version. A controller is active in one entry at a time.
type rolloutState struct {
	shares      *rollout.TrafficShares
	controllers map[string]*rollout.Controller
	progress    map[string]api.RolloutProgress
	// entries are the instances of this entry and of all other ready entries.
	entries  []string
	nextTick time.Time
	// publishCount rotates the evidence records over successive digests.
	publishCount int
}

func newRolloutState(self api.Member) rolloutState {
	origin := self.Instance + "." + strconv.Itoa(self.Incarnation)
	return rolloutState{
		shares: rollout.NewTrafficShares(origin), controllers: map[string]*rollout.Controller{},
		progress: map[string]api.RolloutProgress{},
	}
}

// applyRollouts creates and removes controllers according to a new manifest.
func (c *Core) applyRollouts(now time.Time) {
	s := &c.rollouts
	s.shares.Apply(c.snapshot)
	declared := map[string]bool{}
	for _, r := range c.snapshot.Manifest.Rollouts {
		event, ok := s.shares.DeclarationEvent(r.Version)
		if !ok {
			continue
		}
		declared[r.Version] = true
		controller, ok := s.controllers[r.Version]
		if !ok {
			controller = rollout.NewController(c.cfg.Self.Instance+"."+strconv.Itoa(c.cfg.Self.Incarnation), r.Version, rollout.ControllerOptions{})
			s.controllers[r.Version] = controller
		}
		c.applyRolloutEffects(controller.Handle(now, event))
	}
	for version := range s.controllers {
		if !declared[version] {
			delete(s.controllers, version)
			delete(s.progress, version)
		}
	}
}

// tickRollouts passes the current evidence and cut-backs to every controller.
func (c *Core) tickRollouts(now time.Time) {
	s := &c.rollouts
	if now.Before(s.nextTick) {
		return
	}
	s.nextTick = now.Add(rolloutInterval)
	cutBackReasons := map[string]string{}
	for _, cutBack := range s.shares.CutBacks() {
		cutBackReasons[cutBack.Version] = cutBack.Reason
	}
	for version, controller := range s.controllers {
		c.applyRolloutEffects(controller.Handle(now, rollout.CandidacyChanged{IsCandidate: c.isPreferredHolder(version)}))
		c.applyRolloutEffects(controller.Handle(now, rollout.EvidenceUpdated{Evidence: s.shares.TotalEvidence(version)}))
		if reason, ok := cutBackReasons[version]; ok {
			c.applyRolloutEffects(controller.Handle(now, rollout.CutBackReported{Reason: reason}))
		}
		c.applyRolloutEffects(controller.Handle(now, rollout.Tick{}))
	}
}

// isPreferredHolder reports whether this entry should advance a rollout. This
// is only a hint that avoids conflicts: conditional writes to the store decide.
func (c *Core) isPreferredHolder(version string) bool {
	return c.preferredHolder(version) == c.cfg.Self.Instance
}

// preferredHolder returns the entry with the highest rendezvous hash for a key.
func (c *Core) preferredHolder(key string) string {
	bestScore, holder := uint64(0), c.cfg.Self.Instance
	for _, name := range c.rollouts.entries {
		if score := rendezvousHash(key, name); score > bestScore {
			bestScore, holder = score, name
		}
	}
	return holder
}

func rendezvousHash(key, entry string) uint64 { return xxhash.Sum64String(key + "\x00" + entry) }

func (c *Core) applyRolloutEffects(effects []rollout.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case rollout.ReadObject:
			c.emit(ReadObject{Key: e.ObjectKey})
		case rollout.WriteObject:
			c.emit(WriteObject{Key: e.ObjectKey, Value: e.Value, IfVersion: e.IfVersion})
		case rollout.ProgressConfirmed:
			c.setRolloutProgress(e.Progress)
		}
	}
}

func (c *Core) setRolloutProgress(p api.RolloutProgress) {
	c.rollouts.shares.SetProgress(p)
	c.rollouts.progress[p.Version] = p
}

// handleRolloutRead passes the outcome of a read to the controller of the
// version.
func (c *Core) handleRolloutRead(now time.Time, e ObjectRead) {
	controller, ok := c.rollouts.controllers[strings.TrimPrefix(e.Key, rolloutKeyPrefix)]
	if !ok {
		return
	}
	notFound := errors.Is(e.Err, platform.ErrNotFound)
	c.applyRolloutEffects(controller.Handle(now, rollout.ObjectRead{
		Version: e.Version, Value: e.Value, NotFound: notFound, Failed: e.Err != nil && !notFound,
	}))
}

// handleRolloutWritten passes the outcome of a write to the controller of the
// version.
func (c *Core) handleRolloutWritten(now time.Time, e ObjectWritten) {
	controller, ok := c.rollouts.controllers[strings.TrimPrefix(e.Key, rolloutKeyPrefix)]
	if !ok {
		return
	}
	outcome := rollout.WriteFailed
	switch {
	case e.Err == nil:
		outcome = rollout.WriteSucceeded
	case errors.Is(e.Err, platform.ErrConflict):
		outcome = rollout.WriteConflict
	case errors.Is(e.Err, platform.ErrAmbiguous):
		outcome = rollout.WriteAmbiguous
	}
	c.applyRolloutEffects(controller.Handle(now, rollout.ObjectWritten{Version: e.Version, Outcome: outcome}))
}

// handleDigestReceived merges cut-backs, demand, rollout progress and evidence
// reported by another entry.
func (c *Core) handleDigestReceived(now time.Time, e DigestReceived) {
	c.rollouts.shares.MergeCutBacks(e.CutBacks)
	c.customerLimiter.MergeDemands(now, e.Demands)
	for _, p := range e.Rollouts {
		c.setRolloutProgress(p)
	}
	c.publishCutBacks(c.rollouts.shares.MergeEvidence(e.Evidence))
}

// observeVersion adds a sample of a version to the rollout evidence of this
// entry.
func (c *Core) observeVersion(now time.Time, s rollout.Sample) {
	c.publishCutBacks(c.rollouts.shares.Observe(now, s))
}

// publishCutBacks publishes cut-backs at once instead of at the next publish
// interval. A cut-back reduces the traffic share of a bad version.
func (c *Core) publishCutBacks(cuts []api.CutBack) {
	if len(cuts) == 0 {
		return
	}
	for i := range cuts {
		cuts[i].Origin = c.cfg.Self.Instance
		c.counts.cutBacks++
		c.emit(Trace{api.TraceRecord{Event: api.TraceEventCutback, Version: cuts[i].Version, Reason: cuts[i].Reason}})
	}
	c.emit(Publish{CutBacks: cuts})
}

// publish emits the data that the peer exchange distributes.
func (c *Core) publish(now time.Time) {
	s := &c.rollouts
	s.publishCount++
	p := Publish{
		CutBacks: s.shares.CutBacks(), Demands: c.customerLimiter.Demands(now),
		Evidence: s.shares.EvidenceForDigest(maxEvidencePerDigest, s.publishCount),
	}
	for _, progress := range s.progress {
		p.Rollouts = append(p.Rollouts, progress)
	}
	c.emit(p)
}

func versionSample(r *request, a *attempt, kind errkind.Kind, o routing.Outcome) rollout.Sample {
	return rollout.Sample{Version: a.version, Class: r.class.Name, Failed: kind != "", FirstTokenMs: o.FirstTokenMs}
}
