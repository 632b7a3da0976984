package gateway

import (
	"hash/fnv"
	"hash/maphash"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/rollout"
)

// maxSessions bounds the number of sessions whose version is remembered.
const maxSessions = 16384

// rolloutTracker holds the rollouts of all services. The lock of the dispatcher guards it.
type rolloutTracker struct {
	instance string
	// delaysWrites is set on instances that get their updates from relays. The relays write
	// first.
	delaysWrites bool
	// sessionTimeout is the pause after which a session ends and is no longer bound to a version.
	sessionTimeout time.Duration
	hasListed      bool
	// revision is that of the last update. eraBeganAt is when an update was the first of an era of
	// the store, if hadEras is set.
	revision   int64
	eraBeganAt time.Duration
	hadEras    bool
	// byService holds the ordered rollout of each service.
	byService map[string]*trackedRollout
	// baselineVersions holds, by service, the versions that served before any rollout.
	baselineVersions map[string]map[string]bool
	sessions         *lru.LRU[sessionKey, sessionVersion]
}

// sessionKey identifies a session. It holds a hash of what the caller sends, which may be as long as a header.
type sessionKey struct {
	service string
	session uint64
}

var sessionSeed = maphash.MakeSeed()

func newSessionKey(service, session string) sessionKey {
	return sessionKey{service, maphash.String(sessionSeed, session)}
}

type sessionVersion struct {
	version  string
	lastUsed time.Duration
}

// trackedRollout is an ordered rollout and its progress in this process.
type trackedRollout struct {
	record   forward.Rollout
	progress *rollout.TimedRollout
	// settled is the final state that this process knows of. It holds in later eras of the store,
	// in which the record may be an older one or gone.
	settled forward.RolloutState
	// outdatedSince is when the record was found to be behind what this process knows, 0 if it
	// is not.
	outdatedSince time.Duration
	// nextWriteAt is the earliest time of the next write after a failed one.
	nextWriteAt time.Duration
	isWriting   bool
	// rejectionLogged reports whether the log has the reason why the target is bad.
	rejectionLogged bool
}

func newRolloutTracker(s Settings) *rolloutTracker {
	sessions, err := lru.NewLRU[sessionKey, sessionVersion](maxSessions, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &rolloutTracker{
		instance: s.Instance, delaysWrites: s.usesRelays() && !s.isRelay(), sessionTimeout: s.SessionTimeout, byService: map[string]*trackedRollout{},
		baselineVersions: map[string]map[string]bool{}, sessions: sessions,
	}
}

// state returns the state of the rollout: the final one that is known, or else the recorded one.
func (tracked *trackedRollout) state() forward.RolloutState {
	if tracked.settled != "" {
		return tracked.settled
	}
	return tracked.recorded()
}

// recorded returns the recorded state of the ordered target. A state recorded for an earlier target
// counts as none.
func (tracked *trackedRollout) recorded() forward.RolloutState {
	if tracked.record.StatusTarget != "" && tracked.record.StatusTarget != tracked.record.TargetVersion {
		return ""
	}
	return tracked.record.State
}

// apply applies a full list of rollouts or a list of changes. An order that is missing at the start
// of an era of the store is not in the older copy yet, and is written again.
func (t *rolloutTracker) apply(now time.Duration, u *forward.Update, log *zap.Logger) {
	eraBegins := t.hasListed && forward.IsNewerEra(u.Revision, t.revision)
	if eraBegins {
		t.eraBeganAt, t.hadEras = now, true
	}
	t.revision = max(t.revision, u.Revision)
	for _, change := range u.Rollouts {
		if change.Removed {
			if !eraBegins {
				t.remove(change.Service)
			}
			continue
		}
		t.upsert(now, change.Rollout, log)
	}
	if u.Full {
		t.hasListed = true
	}
}

// remove deletes a rollout. If it was completed, its target becomes the baseline version.
func (t *rolloutTracker) remove(service string) {
	if tracked := t.byService[service]; tracked != nil && tracked.state() == forward.RolloutCompleted {
		t.baselineVersions[service] = map[string]bool{tracked.record.TargetVersion: true}
	}
	delete(t.byService, service)
}

// upsert adds a rollout or replaces its record, unless the known record is newer. A record with
// another target or creation revision starts a new rollout. At the start of an era of the store the
// operator writes the same orders again, so that only another target starts a new rollout then.
func (t *rolloutTracker) upsert(now time.Duration, record forward.Rollout, log *zap.Logger) {
	existing := t.byService[record.Service]
	if existing != nil && (existing.record.Revision > record.Revision || existing.record == record) {
		return // an older record, or a known one that is listed again
	}
	isNew := existing == nil || existing.record.TargetVersion != record.TargetVersion ||
		existing.record.CreatedRevision != record.CreatedRevision && !t.eraIsNew(now)
	if isNew {
		existing = &trackedRollout{record: record}
		step := 0
		if existing.state() == forward.RolloutRunning {
			step = record.Step
		}
		existing.progress = rollout.NewTimedRollout(record.Service, record.TargetVersion, record.Duration, step, now)
		t.byService[record.Service] = existing
	}
	existing.record = record
	if recorded := existing.recorded(); recorded == forward.RolloutCompleted || recorded == forward.RolloutRolledBack {
		existing.settled = recorded
	}
	if existing.state() == forward.RolloutRunning {
		existing.progress.SetStep(record.Step, now)
	}
	existing.updateOutdated(now)
	log.Info("rollout record is received", zap.String("service", record.Service), zap.String("target", record.TargetVersion),
		zap.String("state", string(existing.state())), zap.Int("step", existing.progress.Step()), zap.Int64("revision", record.Revision))
}

// rewriteTime is the time after the start of an era of the store in which the operator writes again
// what the older copy lacks.
const rewriteTime = 30 * time.Second

func (t *rolloutTracker) eraIsNew(now time.Duration) bool {
	return t.hadEras && now-t.eraBeganAt < rewriteTime
}

// updateOutdated notes whether the record is behind what this process knows.
func (tracked *trackedRollout) updateOutdated(now time.Duration) {
	isBehind := tracked.settled != "" && tracked.recorded() != tracked.settled ||
		tracked.recorded() == forward.RolloutRunning && tracked.record.Step < tracked.progress.Step()
	switch {
	case !isBehind:
		tracked.outdatedSince = 0
	case tracked.outdatedSince == 0:
		tracked.outdatedSince = now
	}
}

// recordBaseline records which versions serve before any rollout is ordered. A version that
// appears later is not used before its rollout is known, unless no worker of another version
// is left.
func (t *rolloutTracker) recordBaseline(workers []forward.Worker) {
	for _, w := range workers {
		versions := t.baselineVersions[w.Service]
		if versions == nil {
			versions = map[string]bool{}
			t.baselineVersions[w.Service] = versions
		}
	}
	for service, versions := range t.baselineVersions {
		if len(versions) > 0 {
			continue
		}
		for _, w := range workers {
			if w.Service == service && !t.isTarget(service, w.Version) {
				versions[w.Version] = true
			}
		}
	}
}

func (t *rolloutTracker) isTarget(service, version string) bool {
	tracked := t.byService[service]
	return tracked != nil && tracked.record.TargetVersion == version
}

// versionFilter decides which versions a request may run on: those that allowed accepts, or else
// those that fallback accepts. A nil allowed accepts all versions; a nil fallback, none.
type versionFilter struct {
	allowed  func(version string) bool
	fallback func(version string) bool
	// isPinned is set if the session of the request has decided.
	isPinned bool
}

// chooseVersion decides between the target of a rollout and the other versions. A request without
// a session counts as a session of its own. A request that failed on the target goes to
// another version if there is a worker of one.
func (t *rolloutTracker) chooseVersion(now time.Duration, service, session, requestID string, avoidTarget bool) versionFilter {
	tracked := t.byService[service]
	if tracked == nil {
		versions := t.baselineVersions[service]
		if len(versions) == 0 {
			return versionFilter{}
		}
		return versionFilter{allowed: func(v string) bool { return versions[v] }, fallback: func(string) bool { return true }}
	}
	target := tracked.record.TargetVersion
	isTarget := func(v string) bool { return v == target }
	isOther := func(v string) bool { return v != target }
	bad, _ := tracked.progress.TargetIsBad()
	switch {
	case tracked.state() == forward.RolloutCompleted:
		return versionFilter{allowed: isTarget, fallback: isOther}
	case tracked.state() == forward.RolloutRolledBack || bad:
		return versionFilter{allowed: isOther}
	}
	if avoidTarget {
		return versionFilter{allowed: isOther, fallback: isTarget}
	}
	if pinned, ok := t.sessions.Peek(newSessionKey(service, session)); ok && session != "" && now-pinned.lastUsed < t.sessionTimeout {
		if pinned.version == target {
			return versionFilter{allowed: isTarget, fallback: isOther, isPinned: true}
		}
		if !tracked.progress.SessionsMayMove() {
			return versionFilter{allowed: isOther, isPinned: true}
		}
	}
	if session == "" {
		session = requestID
	}
	if tracked.progress.SelectsTarget(session) {
		return versionFilter{allowed: isTarget, fallback: isOther}
	}
	if tracked.progress.SessionsMayMove() {
		return versionFilter{allowed: isOther, fallback: isTarget}
	}
	return versionFilter{allowed: isOther}
}

// recordSession remembers the version that a session runs on.
func (t *rolloutTracker) recordSession(now time.Duration, service, session, version string) {
	if session != "" {
		t.sessions.Add(newSessionKey(service, session), sessionVersion{version, now})
	}
}

// inProgress returns the rollout of a service that is neither completed nor rolled back, or nil.
func (t *rolloutTracker) inProgress(service string) *trackedRollout {
	tracked := t.byService[service]
	if tracked == nil || tracked.state() == forward.RolloutCompleted || tracked.state() == forward.RolloutRolledBack {
		return nil
	}
	return tracked
}

// writeSpreadMs is the time over which the writes of all processes are spread, in milliseconds.
// It is longer than a write takes to reach the others and shorter than the shortest step of a
// rollout.
const writeSpreadMs = 600

// writeDelay returns how long this process delays a due write. The delays spread the processes,
// so that usually one of them writes a change and the others learn of it. Of 28 processes
// without relays, eight wrote at the same tick, and all but one of the writes failed.
func (t *rolloutTracker) writeDelay(tracked *trackedRollout) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.instance + tracked.record.TargetVersion + string(rune('0'+tracked.progress.Step()))))
	delay := h.Sum32() % writeSpreadMs
	if t.delaysWrites {
		delay += writeSpreadMs
	}
	return time.Duration(delay) * time.Millisecond
}

// rolloutWrite is a change of a recorded state that is due.
type rolloutWrite struct {
	record   forward.Rollout
	progress forward.RolloutProgress
	// evidence is what this process knew when it decided.
	evidence rollout.EvidenceSummary
}

// dueWrites returns the writes that are due now and marks their rollouts as being written.
func (t *rolloutTracker) dueWrites(now time.Duration) []rolloutWrite {
	var out []rolloutWrite
	for _, tracked := range t.byService {
		if tracked.isWriting || now < tracked.nextWriteAt {
			continue
		}
		p, ok := t.nextProgress(now, tracked)
		if !ok {
			continue
		}
		tracked.isWriting = true
		out = append(out, rolloutWrite{tracked.record, p, tracked.progress.Summary()})
	}
	return out
}

// nextProgress returns the next state to record for a rollout and whether it is due.
func (t *rolloutTracker) nextProgress(now time.Duration, tracked *trackedRollout) (forward.RolloutProgress, bool) {
	p := forward.RolloutProgress{State: forward.RolloutRunning, Target: tracked.record.TargetVersion, Step: tracked.progress.Step()}
	rewrite := tracked.outdatedSince > 0 && now-tracked.outdatedSince > t.writeDelay(tracked)
	if tracked.settled != "" {
		p.State = tracked.settled
		return p, rewrite
	}
	state := tracked.state()
	switch tracked.progress.DueTransition(now, t.writeDelay(tracked)) {
	case rollout.TransitionRollBack:
		p.State = forward.RolloutRolledBack
	case rollout.TransitionComplete:
		p.State = forward.RolloutCompleted
	case rollout.TransitionNextStep:
		p.Step++
	default:
		return p, rewrite || state == "" && tracked.progress.Elapsed(now) > t.writeDelay(tracked)
	}
	return p, true
}

// handleWriteResult takes the stored record after a write, or schedules a new write after an
// error.
func (t *rolloutTracker) handleWriteResult(now time.Duration, w rolloutWrite, result forward.Rollout, err error, log *zap.Logger) {
	tracked := t.byService[w.record.Service]
	if tracked == nil {
		return
	}
	tracked.isWriting = false
	if err != nil {
		tracked.nextWriteAt = now + rolloutWriteBackoff
		log.Warn("rollout state was not recorded, the write will be retried", zap.String("service", w.record.Service), zap.String("state", string(w.progress.State)), zap.Int("step", w.progress.Step), zap.Error(err))
		return
	}
	t.upsert(now, result, log)
}

// rolloutWriteBackoff is the pause after a write that failed or met another revision. The watch
// delivers the record of the other process in the meantime.
const rolloutWriteBackoff = 300 * time.Millisecond
