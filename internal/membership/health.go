package membership

import (
	"cmp"
	"slices"
	"time"
)

// Exported API of HealthTracker:
//
//	NewHealthTracker(cfg HealthConfig) *HealthTracker
//	(*HealthTracker).Handle(now, HealthEvent) []HealthEffect
//	(*HealthTracker).Share(server) float64  fraction of its normal traffic, 0 to 1; 0 for an unknown server
//	(*HealthTracker).Ejected(server) bool   ejected or ramping up
//
// The daemon sends a ServerChanged for every backend server of the table, an
// AttemptEnded for every attempt, a SignalsReceived for every probe or load report,
// and a HealthTick each second.

// HealthEvent is an input of a HealthTracker.
type HealthEvent interface{ healthEvent() }

// HealthEffect is an output of a HealthTracker.
type HealthEffect interface{ healthEffect() }

// Outcome is the result of an attempt.
type Outcome int

// The results of an attempt.
const (
	// Succeeded is an attempt that the server answered. A refusal such as
	// overloaded or stale_revision counts as an answer, because it does not
	// indicate a faulty server.
	Succeeded Outcome = iota
	// Failed is an error, a truncated stream or a timeout.
	Failed
	// Unreachable is a refused connection. A single one ejects the server.
	Unreachable
)

type (
	// HealthTick advances time. The daemon sends one each second.
	HealthTick struct{}

	// ServerChanged adds a backend server or replaces its versions. A higher
	// incarnation discards the recorded outcomes but keeps the strikes. A restart
	// is therefore a ServerChanged; ServerRemoved is only for servers that were
	// dropped from the table.
	ServerChanged struct {
		Server      string
		Incarnation int
		// Versions are the model versions or plain services that the server serves.
		Versions []string
	}

	// ServerRemoved removes a backend server.
	ServerRemoved struct{ Server string }

	// SignalsReceived carries the signals of a server from a probe or load report. A
	// server that is not ready, not alive, or leaving gets no traffic but is not
	// ejected.
	SignalsReceived struct {
		Server  string
		Signals Signals
	}

	// AttemptEnded is the result of one attempt.
	AttemptEnded struct {
		Server  string
		Version string
		Outcome Outcome
		// Latency is the time to first token, or the duration of the whole call for
		// a plain service.
		Latency time.Duration
	}
)

// ShareChanged reports a new traffic share of a server, as a fraction (0 to 1) of
// its normal traffic.
type ShareChanged struct {
	Server string
	Share  float64
	Reason ShareReason
}

func (HealthTick) healthEvent()      {}
func (ServerChanged) healthEvent()   {}
func (ServerRemoved) healthEvent()   {}
func (SignalsReceived) healthEvent() {}
func (AttemptEnded) healthEvent()    {}
func (ShareChanged) healthEffect()   {}

// ShareReason is the cause of a share change.
type ShareReason string

// The reasons of a change.
const (
	// ReasonErrors, ReasonLatency and ReasonUnreachable are ejections.
	// ReasonReturning is a step of the ramp-up, ReasonSignals a change of the
	// server's signals, and ReasonLastServer the return of an ejected server
	// because a version had no other server left.
	ReasonErrors      ShareReason = "errors"
	ReasonLatency     ShareReason = "latency"
	ReasonUnreachable ShareReason = "unreachable"
	ReasonReturning   ShareReason = "returning"
	ReasonSignals     ShareReason = "signals"
	ReasonLastServer  ShareReason = "last_server"
)

// HealthConfig holds the thresholds and times of a HealthTracker. Zero values
// select the defaults.
type HealthConfig struct {
	// HalfLife is the time in which the weight of a recorded outcome halves;
	// default 10 s.
	HalfLife time.Duration
	// MinFailures is the minimum weight of failures for an ejection; default 3.
	MinFailures float64
	// MinErrorExcess is the margin by which a server's error rate must exceed the
	// rate of the other servers of the same version; default 0.25. A version that
	// fails on all servers ejects none of them: the rollout handles that.
	MinErrorExcess float64
	// MinSamples is the minimum weight of answers for a server's latency to be
	// compared; default 10.
	MinSamples float64
	// MaxLatencyRatio is the ratio of a server's mean latency to the median of the
	// servers of the same version above which it is ejected; default 3.
	MaxLatencyRatio float64
	// MaxEjectedShare is the maximum fraction of a version's servers that may be
	// ejected at once; default 0.3. One server may be ejected whatever the
	// fraction, also one of two.
	MaxEjectedShare float64
	// BaseEjectionTime is the duration of the first ejection; default 10 s. It doubles with
	// each strike.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the duration of an ejection; default 5 min.
	MaxEjectionTime time.Duration
	// RampStepTime is the duration of each step of the ramp-up; default 5 s.
	RampStepTime time.Duration
	// StrikeDecayTime is the time in traffic after which one strike is removed;
	// default 2 min.
	StrikeDecayTime time.Duration
}

func (c HealthConfig) withDefaults() HealthConfig {
	c.HalfLife = orDefault(c.HalfLife, 10*time.Second)
	c.MinFailures = orDefault(c.MinFailures, 3)
	c.MinErrorExcess = orDefault(c.MinErrorExcess, 0.25)
	c.MinSamples = orDefault(c.MinSamples, 10)
	c.MaxLatencyRatio = orDefault(c.MaxLatencyRatio, 3)
	c.MaxEjectedShare = orDefault(c.MaxEjectedShare, 0.3)
	c.BaseEjectionTime = orDefault(c.BaseEjectionTime, 10*time.Second)
	c.MaxEjectionTime = orDefault(c.MaxEjectionTime, 5*time.Minute)
	c.RampStepTime = orDefault(c.RampStepTime, 5*time.Second)
	c.StrikeDecayTime = orDefault(c.StrikeDecayTime, 2*time.Minute)
	return c
}

// rampShares are the traffic shares of a server after an ejection, step by step.
var rampShares = []float64{0.05, 0.25, 0.5, 1}

// server is the health state of one backend server.
type server struct {
	name        string
	incarnation int
	versions    []string
	signals     Signals
	stats       map[string]*outcomeStats

	// step is an index into rampShares, or ejectedStep.
	step            int
	stepEndsAt      time.Time // end of the ejection or of the ramp-up step
	strikes         int
	strikeExpiresAt time.Time // when the next strike is removed in full traffic
}

const (
	ejectedStep = -1
	// maxRestartStrikes is the highest number of strikes at which a restart ends an
	// ejection.
	maxRestartStrikes = 2
)

func finalStep() int { return len(rampShares) - 1 }

// share returns the traffic share that follows from step and signals, 0 to 1.
func (s *server) share() float64 {
	if !s.signals.Ready || !s.signals.Alive || s.step == ejectedStep {
		return 0
	}
	return rampShares[s.step]
}

// HealthTracker ejects backend servers that fail or are slow, and ramps up their traffic
// afterwards. It decides for one entry from the outcomes of that entry's attempts.
type HealthTracker struct {
	cfg     HealthConfig
	now     time.Time
	servers map[string]*server
	// sorted holds all servers by name.
	sorted []*server
	// serving holds the servers of each version, sorted by name.
	serving map[string][]*server
	// totals holds the outcomes of each version over all its servers.
	totals  map[string]*outcomeStats
	effects []HealthEffect
}

// NewHealthTracker returns a tracker without servers.
func NewHealthTracker(cfg HealthConfig) *HealthTracker {
	return &HealthTracker{
		cfg:     cfg.withDefaults(),
		servers: map[string]*server{},
		serving: map[string][]*server{},
		totals:  map[string]*outcomeStats{},
	}
}

// Share returns the fraction of its normal traffic that a server may get, 0 to 1; 0
// for an unknown server.
func (h *HealthTracker) Share(name string) float64 {
	if s, ok := h.servers[name]; ok {
		return s.share()
	}
	return 0
}

// Ejected reports whether a server is ejected or still ramping up after an
// ejection. Signals do not count.
func (h *HealthTracker) Ejected(name string) bool {
	s, ok := h.servers[name]
	return ok && s.step != finalStep()
}

// Handle processes one event and returns the effects to carry out, in order. The
// slice is valid until the next call.
func (h *HealthTracker) Handle(now time.Time, event HealthEvent) []HealthEffect {
	h.now = now
	h.effects = h.effects[:0]
	switch e := event.(type) {
	case HealthTick:
		h.tick()
	case ServerChanged:
		h.handleServerChanged(e)
	case ServerRemoved:
		h.removeServer(e.Server)
	case SignalsReceived:
		h.handleSignals(e)
	case AttemptEnded:
		h.recordAttempt(e)
	}
	return h.effects
}

// updateShare runs update and emits a ShareChanged if the server's share changed.
func (h *HealthTracker) updateShare(s *server, reason ShareReason, update func()) {
	before := s.share()
	update()
	if after := s.share(); after != before {
		h.effects = append(h.effects, ShareChanged{Server: s.name, Share: after, Reason: reason})
	}
}

func (h *HealthTracker) handleServerChanged(e ServerChanged) {
	s, ok := h.servers[e.Server]
	if !ok {
		s = &server{name: e.Server, step: finalStep(), signals: Signals{Ready: true, Alive: true}}
		h.servers[e.Server] = s
		h.sorted = insertServer(h.sorted, s)
		h.effects = append(h.effects, ShareChanged{Server: s.name, Share: s.share(), Reason: ReasonSignals})
	}
	if e.Incarnation < s.incarnation {
		return
	}
	if e.Incarnation > s.incarnation || !ok {
		s.incarnation = e.Incarnation
		s.stats = map[string]*outcomeStats{}
		h.endEjectionOnRestart(s)
	}
	if slices.Equal(s.versions, e.Versions) {
		return
	}
	old := s.versions
	h.removeFromVersions(s)
	s.versions = slices.Clone(e.Versions)
	for _, v := range s.versions {
		h.serving[v] = insertServer(h.serving[v], s)
	}
	h.restoreLastServer(old)
	h.restoreLastServer(s.versions)
}

// endEjectionOnRestart starts the ramp-up of an ejected server whose process
// restarted. A server with more than maxRestartStrikes strikes stays ejected;
// otherwise a process that crashes repeatedly would get traffic after each start.
func (h *HealthTracker) endEjectionOnRestart(s *server) {
	if s.step == ejectedStep && s.strikes <= maxRestartStrikes {
		h.updateShare(s, ReasonReturning, func() {
			s.step = 0
			s.stepEndsAt = h.now.Add(h.cfg.RampStepTime)
			s.strikeExpiresAt = h.now.Add(h.cfg.StrikeDecayTime)
		})
	}
}

// insertServer inserts a server into a list that is sorted by name. A list of several thousand workers
// arrives at once, so that sorting at each of them takes seconds on a small instance.
func insertServer(list []*server, s *server) []*server {
	i, found := findServer(list, s.name)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}

// removeServerFrom removes a server from a list that is sorted by name.
func removeServerFrom(list []*server, s *server) []*server {
	i, found := findServer(list, s.name)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func findServer(list []*server, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(s *server, name string) int { return cmp.Compare(s.name, name) })
}

// removeFromVersions removes a server from the lists of its versions.
func (h *HealthTracker) removeFromVersions(s *server) {
	for _, v := range s.versions {
		h.serving[v] = removeServerFrom(h.serving[v], s)
		if len(h.serving[v]) == 0 {
			delete(h.serving, v)
			delete(h.totals, v)
		}
	}
}

func (h *HealthTracker) removeServer(name string) {
	s, ok := h.servers[name]
	if !ok {
		return
	}
	h.removeFromVersions(s)
	delete(h.servers, name)
	h.sorted = removeServerFrom(h.sorted, s)
	h.restoreLastServer(s.versions)
}

func (h *HealthTracker) handleSignals(e SignalsReceived) {
	s, ok := h.servers[e.Server]
	if !ok {
		return
	}
	h.updateShare(s, ReasonSignals, func() {
		s.signals = e.Signals
		s.signals.Ready = e.Signals.Ready && !e.Signals.Leaving
	})
	h.restoreLastServer(s.versions)
}
