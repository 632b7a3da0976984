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
	// rolloutTick is how often the advancers act.
	rolloutTick = time.Second
	// rolloutPrefix is the prefix of the keys of rollout progress.
	rolloutPrefix = "rollout/"
	// evidencePerDigest bounds the evidence of one digest to another entry, to
	// about 600 bytes.
	evidencePerDigest = 4
)

// rolloutState is what this entry knows of the rollouts.
type rolloutState struct {
	shares    *rollout.Shares
	advancers map[string]*rollout.Advancer
	progress  map[string]api.RolloutProgress
	entries   []string
	next      time.Time
	turn      int
}

func newRolloutState(self api.Member) rolloutState {
	origin := self.Instance + "." + strconv.Itoa(self.Incarnation)
	return rolloutState{
		shares: rollout.NewShares(origin), advancers: map[string]*rollout.Advancer{},
		progress: map[string]api.RolloutProgress{},
	}
}

// applyRollouts takes the rollouts of a new manifest.
func (c *Core) applyRollouts(now time.Time) {
	s := &c.rollouts
	s.shares.Apply(c.snapshot)
	declared := map[string]bool{}
	for _, r := range c.snapshot.Manifest.Rollouts {
		event, ok := s.shares.Declared(r.Version)
		if !ok {
			continue
		}
		declared[r.Version] = true
		advancer, ok := s.advancers[r.Version]
		if !ok {
			advancer = rollout.NewAdvancer(c.cfg.Self.Instance+"."+strconv.Itoa(c.cfg.Self.Incarnation), r.Version, rollout.AdvancerOptions{})
			s.advancers[r.Version] = advancer
		}
		c.rolloutEffects(advancer.Handle(now, event))
	}
	for version := range s.advancers {
		if !declared[version] {
			delete(s.advancers, version)
			delete(s.progress, version)
		}
	}
}

// tickRollouts lets every advancer act on the evidence so far.
func (c *Core) tickRollouts(now time.Time) {
	s := &c.rollouts
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(rolloutTick)
	cut := map[string]string{}
	for _, k := range s.shares.CutBacks() {
		cut[k.Version] = k.Reason
	}
	for version, advancer := range s.advancers {
		c.rolloutEffects(advancer.Handle(now, rollout.Candidate{Wanted: c.holds(version)}))
		c.rolloutEffects(advancer.Handle(now, rollout.EvidenceSum{Evidence: s.shares.Sum(version)}))
		if reason, ok := cut[version]; ok {
			c.rolloutEffects(advancer.Handle(now, rollout.CutBackSeen{Reason: reason}))
		}
		c.rolloutEffects(advancer.Handle(now, rollout.Tick{}))
	}
}

// holds reports whether this entry should hold a rollout: the highest hash over
// the entries. It is a hint; the object's version decides.
func (c *Core) holds(version string) bool { return c.holderOf(version) == c.cfg.Self.Instance }

func (c *Core) holderOf(version string) string {
	best, holder := uint64(0), c.cfg.Self.Instance
	for _, name := range c.rollouts.entries {
		if score := hashFor(version, name); score > best {
			best, holder = score, name
		}
	}
	return holder
}

func hashFor(key, entry string) uint64 { return xxhash.Sum64String(key + "\x00" + entry) }

func (c *Core) rolloutEffects(effects []rollout.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case rollout.ReadObject:
			c.emit(ReadObject{Key: e.ObjectKey})
		case rollout.WriteObject:
			c.emit(WriteObject{Key: e.ObjectKey, Value: e.Value, IfVersion: e.IfVersion})
		case rollout.ShareChanged:
			c.rolloutProgress(e.Progress)
		}
	}
}

func (c *Core) rolloutProgress(p api.RolloutProgress) {
	c.rollouts.shares.SetProgress(p)
	c.rollouts.progress[p.Version] = p
}

// rolloutRead routes a read object to its advancer.
func (c *Core) rolloutRead(now time.Time, e StoreRead) {
	advancer, ok := c.rollouts.advancers[strings.TrimPrefix(e.Key, rolloutPrefix)]
	if !ok {
		return
	}
	notFound := errors.Is(e.Err, platform.ErrNotFound)
	c.rolloutEffects(advancer.Handle(now, rollout.StoreRead{
		Version: e.Version, Value: e.Value, NotFound: notFound, Failed: e.Err != nil && !notFound,
	}))
}

// rolloutWritten routes a written object to its advancer.
func (c *Core) rolloutWritten(now time.Time, e StoreWritten) {
	advancer, ok := c.rollouts.advancers[strings.TrimPrefix(e.Key, rolloutPrefix)]
	if !ok {
		return
	}
	outcome := rollout.Failed
	switch {
	case e.Err == nil:
		outcome = rollout.Written
	case errors.Is(e.Err, platform.ErrConflict):
		outcome = rollout.Conflict
	case errors.Is(e.Err, platform.ErrAmbiguous):
		outcome = rollout.Ambiguous
	}
	c.rolloutEffects(advancer.Handle(now, rollout.StoreWritten{Version: e.Version, Outcome: outcome}))
}

// digestReceived takes what another entry reported.
func (c *Core) digestReceived(now time.Time, e DigestReceived) {
	c.rollouts.shares.Merge(e.CutBacks)
	c.customers.MergeDemands(now, e.Demands)
	for _, p := range e.Rollouts {
		c.rolloutProgress(p)
	}
	c.cutBack(c.rollouts.shares.MergeEvidence(e.Evidence))
}

// observeVersion feeds what this entry saw of a version.
func (c *Core) observeVersion(now time.Time, s rollout.Sample) {
	c.cutBack(c.rollouts.shares.Observe(now, s))
}

// cutBack spreads a reduction of a traffic share at once.
func (c *Core) cutBack(cuts []api.CutBack) {
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

// publish hands the peer exchange what it spreads.
func (c *Core) publish(now time.Time) {
	s := &c.rollouts
	s.turn++
	p := Publish{
		CutBacks: s.shares.CutBacks(), Demands: c.customers.Demands(now),
		Evidence: s.shares.Evidence(evidencePerDigest, s.turn),
	}
	for _, progress := range s.progress {
		p.Rollouts = append(p.Rollouts, progress)
	}
	c.emit(p)
}

func versionSample(r *request, a *attempt, kind errkind.Kind, o routing.Outcome) rollout.Sample {
	return rollout.Sample{Version: a.version, Class: r.class.Name, Failed: kind != "", FirstTokenMs: o.FirstTokenMs}
}
