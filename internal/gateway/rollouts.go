package gateway

import (
	"hash/fnv"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/rollout"
)

// maxSessions bounds the sessions whose version is remembered.
const maxSessions = 16384

// rollouts holds the orders of all services. The core's lock guards it.
type rollouts struct {
	instance string
	// writesLate is set on instances that hear of changes from relays, which write first.
	writesLate bool
	session    time.Duration
	listed     bool
	orders     map[string]*ordered
	// established holds the versions that served before any order, by service.
	established map[string]map[string]bool
	sessions    *lru.LRU[sessionKey, sessionVersion]
}

type sessionKey struct{ service, session string }

type sessionVersion struct {
	version string
	at      time.Duration
}

// ordered is one order and what the process knows of it.
type ordered struct {
	record forward.Rollout
	order  *rollout.Order
	// notBefore delays the next write after a failed one.
	notBefore time.Duration
	writing   bool
}

func newRollouts(s Settings) *rollouts {
	sessions, err := lru.NewLRU[sessionKey, sessionVersion](maxSessions, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &rollouts{
		instance: s.Instance, writesLate: s.usesRelays() && !s.isRelay(), session: s.Session, orders: map[string]*ordered{},
		established: map[string]map[string]bool{}, sessions: sessions,
	}
}

// state is the recorded state for the ordered target; a state of an earlier target counts
// as none.
func (o *ordered) state() forward.RolloutState {
	if o.record.StatusTarget != "" && o.record.StatusTarget != o.record.Target {
		return ""
	}
	return o.record.State
}

func (r *rollouts) apply(now time.Duration, u *forward.Update, log *zap.Logger) {
	for _, change := range u.Rollouts {
		if change.Removed {
			r.remove(change.Service)
			continue
		}
		r.put(now, change.Rollout, log)
	}
	if u.Full {
		r.listed = true
	}
}

// remove forgets an order. The target of a completed one is the version that serves now.
func (r *rollouts) remove(service string) {
	if o := r.orders[service]; o != nil && o.state() == forward.RolloutCompleted {
		r.established[service] = map[string]bool{o.record.Target: true}
	}
	delete(r.orders, service)
}

func (r *rollouts) put(now time.Duration, record forward.Rollout, log *zap.Logger) {
	held := r.orders[record.Service]
	if held != nil && held.record.Revision > record.Revision {
		return
	}
	if held == nil || held.record.Target != record.Target || held.record.Created != record.Created {
		held = &ordered{record: record}
		step := 0
		if held.state() == forward.RolloutRunning {
			step = record.Step
		}
		held.order = rollout.NewOrder(record.Service, record.Target, record.Duration, step, now)
		r.orders[record.Service] = held
	}
	held.record = record
	if held.state() == forward.RolloutRunning {
		held.order.SetStep(record.Step, now)
	}
	log.Info("rollout is known", zap.String("service", record.Service), zap.String("target", record.Target),
		zap.String("state", string(held.state())), zap.Int("step", held.order.Step()), zap.Int64("revision", record.Revision))
}

// sawVersions records which versions serve before any order. A version that appears
// later is not used before its order is known, unless no worker of another is left.
func (r *rollouts) sawVersions(workers []forward.Worker) {
	for _, w := range workers {
		known := r.established[w.Service]
		if known == nil {
			known = map[string]bool{}
			r.established[w.Service] = known
		}
	}
	for service, known := range r.established {
		if len(known) > 0 {
			continue
		}
		for _, w := range workers {
			if w.Service == service && !r.isTarget(service, w.Version) {
				known[w.Version] = true
			}
		}
	}
}

func (r *rollouts) isTarget(service, version string) bool {
	o := r.orders[service]
	return o != nil && o.record.Target == version
}

// versionChoice says which versions a request may run on.
type versionChoice struct {
	allows   func(version string) bool
	fallback func(version string) bool
}

// choose decides between the old version and the target of a rollout. A request without a
// session is a session of its own. A request that the target has failed goes to the old
// version if there is a worker of it.
func (r *rollouts) choose(now time.Duration, service, session, requestID string, avoidTarget bool) versionChoice {
	o := r.orders[service]
	if o == nil {
		known := r.established[service]
		if len(known) == 0 {
			return versionChoice{}
		}
		return versionChoice{allows: func(v string) bool { return known[v] }, fallback: func(string) bool { return true }}
	}
	target := o.record.Target
	isTarget := func(v string) bool { return v == target }
	isOld := func(v string) bool { return v != target }
	bad, _ := o.order.Bad()
	switch {
	case o.state() == forward.RolloutCompleted:
		return versionChoice{allows: isTarget, fallback: isOld}
	case o.state() == forward.RolloutRolledBack || bad:
		return versionChoice{allows: isOld}
	}
	if avoidTarget {
		return versionChoice{allows: isOld, fallback: isTarget}
	}
	if held, ok := r.sessions.Get(sessionKey{service, session}); ok && session != "" && now-held.at < r.session {
		if held.version == target {
			return versionChoice{allows: isTarget, fallback: isOld}
		}
		if !o.order.Growing() {
			return versionChoice{allows: isOld}
		}
	}
	if session == "" {
		session = requestID
	}
	if o.order.Takes(session) {
		return versionChoice{allows: isTarget, fallback: isOld}
	}
	if o.order.Growing() {
		return versionChoice{allows: isOld, fallback: isTarget}
	}
	return versionChoice{allows: isOld}
}

// placed remembers the version of a session.
func (r *rollouts) placed(now time.Duration, service, session, version string) {
	if session != "" {
		r.sessions.Add(sessionKey{service, session}, sessionVersion{version, now})
	}
}

// observed records an answer as evidence.
func (r *rollouts) observed(w forward.Worker, a rollout.Answer, log *zap.Logger) {
	o := r.orders[w.Service]
	if o == nil || o.state() == forward.RolloutCompleted || o.state() == forward.RolloutRolledBack {
		return
	}
	if w.Version != o.record.Target {
		o.order.Usual(a)
		return
	}
	wasBad, _ := o.order.Bad()
	o.order.Observed(a)
	if bad, reason := o.order.Bad(); bad && !wasBad {
		log.Warn("new version is bad", zap.String("service", w.Service), zap.String("target", o.record.Target), zap.String("reason", reason))
	}
}

// writeSpread is the time over which the processes are spread: longer than a write takes
// to reach the others, shorter than the shortest step of a rollout.
const writeSpread = 600

// writeDelay spreads the processes, so that usually one of them writes a change and the
// others learn of it. Of 28 processes without relays eight wrote at the same tick, and all
// but one in vain.
func (r *rollouts) writeDelay(o *ordered) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.instance + o.record.Target + string(rune('0'+o.order.Step()))))
	delay := h.Sum32() % writeSpread
	if r.writesLate {
		delay += writeSpread
	}
	return time.Duration(delay) * time.Millisecond
}

// rolloutWrite is a change of a recorded state that is due.
type rolloutWrite struct {
	record   forward.Rollout
	progress forward.Progress
}

// due returns the writes that are due now and marks them as being written.
func (r *rollouts) due(now time.Duration) []rolloutWrite {
	var out []rolloutWrite
	for _, o := range r.orders {
		if o.writing || now < o.notBefore {
			continue
		}
		p, ok := r.next(now, o)
		if !ok {
			continue
		}
		o.writing = true
		out = append(out, rolloutWrite{o.record, p})
	}
	return out
}

func (r *rollouts) next(now time.Duration, o *ordered) (forward.Progress, bool) {
	p := forward.Progress{State: forward.RolloutRunning, Target: o.record.Target, Step: o.order.Step()}
	state := o.state()
	if state == forward.RolloutCompleted || state == forward.RolloutRolledBack {
		return p, false
	}
	switch o.order.Due(now, r.writeDelay(o)) {
	case rollout.DueRollBack:
		p.State = forward.RolloutRolledBack
	case rollout.DueComplete:
		p.State = forward.RolloutCompleted
	case rollout.DueStep:
		p.Step++
	default:
		return p, state == "" && o.order.Age(now) > r.writeDelay(o)
	}
	return p, true
}

// written takes the outcome of a write.
func (r *rollouts) written(now time.Duration, w rolloutWrite, result forward.Rollout, err error, log *zap.Logger) {
	o := r.orders[w.record.Service]
	if o == nil {
		return
	}
	o.writing = false
	if err != nil {
		o.notBefore = now + rolloutRetry
		log.Warn("state of a rollout was not recorded", zap.String("service", w.record.Service), zap.String("state", string(w.progress.State)), zap.Int("step", w.progress.Step), zap.Error(err))
		return
	}
	r.put(now, result, log)
}

// rolloutRetry is the pause after a write that failed or met another revision; the watch
// tells the other's record in the meantime.
const rolloutRetry = 300 * time.Millisecond
