package membership

import (
	"cmp"
	"slices"
	"time"
)

// Exported API of Health:
//
//	NewHealth(cfg HealthConfig) *Health
//	(*Health).Handle(now, HealthEvent) []HealthEffect
//	(*Health).Share(server) float64      share of its normal traffic, 0 to 1; 0 for an unknown server
//	(*Health).Ejected(server) bool       out of traffic or on its way back
//
// The daemon sends ServerChanged for every backend server of the table, an
// AttemptEnded for every attempt, SignalsSeen for every probe or load report, and
// a HealthTick each second.

// HealthEvent is an input of Health.
type HealthEvent interface{ healthEvent() }

// HealthEffect is an output of Health.
type HealthEffect interface{ healthEffect() }

// Failure states how an attempt failed.
type Failure int

// The kinds of failure.
const (
	// Succeeded is an attempt that the server answered. A refusal such as overloaded
	// or stale_revision counts as answered: it says nothing bad of the server.
	Succeeded Failure = iota
	// Failed is an error, a truncated stream or a timeout.
	Failed
	// Unreachable is a refused connection. One suffices for ejection.
	Unreachable
)

type (
	// HealthTick lets time pass.
	HealthTick struct{}

	// ServerChanged adds a backend server, or replaces its versions. A higher
	// incarnation starts with a clean record; its strikes stay. So a restart is a
	// ServerChanged, and ServerRemoved is for servers that the table dropped.
	ServerChanged struct {
		Server      string
		Incarnation int
		// Versions are the versions or plain services that it serves.
		Versions []string
	}

	// ServerRemoved drops a backend server.
	ServerRemoved struct{ Server string }

	// SignalsSeen are the two signals of a server. A server that is not ready is
	// kept without traffic; one that is not alive is out.
	SignalsSeen struct {
		Server  string
		Signals Signals
	}

	// AttemptEnded is the outcome of one attempt.
	AttemptEnded struct {
		Server  string
		Version string
		Failure Failure
		// Latency is the time to first token, or of the whole call to a plain service.
		Latency time.Duration
	}
)

// ShareChanged says that a server's share of its normal traffic changed.
type ShareChanged struct {
	Server string
	Share  float64
	Reason ShareReason
}

func (HealthTick) healthEvent()    {}
func (ServerChanged) healthEvent() {}
func (ServerRemoved) healthEvent() {}
func (SignalsSeen) healthEvent()   {}
func (AttemptEnded) healthEvent()  {}
func (ShareChanged) healthEffect() {}

// ShareReason states why a share changed.
type ShareReason string

// The reasons of a change.
const (
	ReasonErrors      ShareReason = "errors"
	ReasonLatency     ShareReason = "latency"
	ReasonUnreachable ShareReason = "unreachable"
	ReasonReturning   ShareReason = "returning"
	ReasonSignals     ShareReason = "signals"
	ReasonLastServer  ShareReason = "last_server"
)

// HealthConfig holds the thresholds of Health; zero values mean the defaults.
type HealthConfig struct {
	// HalfLife is the time in which an outcome loses half its weight; default 10 s.
	HalfLife time.Duration
	// MinFailures is the weight of failures needed for ejection; default 3.
	MinFailures float64
	// ErrorExcess is how far the error rate must exceed that of the peers on the
	// same version; default 0.25. A version that fails everywhere ejects nobody: it
	// is the rollout's to judge.
	ErrorExcess float64
	// MinSamples is the weight of answers needed to judge latency; default 10.
	MinSamples float64
	// LatencyRatio is how far the mean latency must exceed the median of the peers
	// on the same version; default 3.
	LatencyRatio float64
	// MaxEjected is the largest share of a version's servers that may be out of
	// traffic at once; default 0.3. One of two may be.
	MaxEjected float64
	// EjectFor is the time out of traffic after the first strike; default 10 s. It
	// doubles with each strike up to MaxEjectFor, default 5 min.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// StepTime is the time at each step of the return; default 5 s.
	StepTime time.Duration
	// ForgiveAfter is the time in traffic that removes one strike; default 2 min.
	ForgiveAfter time.Duration
}

func (c HealthConfig) withDefaults() HealthConfig {
	c.HalfLife = orDefault(c.HalfLife, 10*time.Second)
	c.MinFailures = orDefault(c.MinFailures, 3)
	c.ErrorExcess = orDefault(c.ErrorExcess, 0.25)
	c.MinSamples = orDefault(c.MinSamples, 10)
	c.LatencyRatio = orDefault(c.LatencyRatio, 3)
	c.MaxEjected = orDefault(c.MaxEjected, 0.3)
	c.EjectFor = orDefault(c.EjectFor, 10*time.Second)
	c.MaxEjectFor = orDefault(c.MaxEjectFor, 5*time.Minute)
	c.StepTime = orDefault(c.StepTime, 5*time.Second)
	c.ForgiveAfter = orDefault(c.ForgiveAfter, 2*time.Minute)
	return c
}

// returnSteps are the shares of a server that comes back.
var returnSteps = []float64{0.05, 0.25, 0.5, 1}

// server is the record of one backend server.
type server struct {
	name        string
	incarnation int
	versions    []string
	signals     Signals
	stats       map[string]*stat

	// step indexes returnSteps; ejectedStep means out of traffic.
	step    int
	until   time.Time // end of the ejection or of the step
	strikes int
	forgive time.Time // when the next strike is removed
}

const (
	ejectedStep = -1
	// maxRestartStrikes is the number of strikes up to which a restart ends an
	// ejection.
	maxRestartStrikes = 2
)

func fullStep() int { return len(returnSteps) - 1 }

// share is the share by outcomes and signals.
func (s *server) share() float64 {
	if !s.signals.Ready || !s.signals.Alive || s.step == ejectedStep {
		return 0
	}
	return returnSteps[s.step]
}

// Health judges the backend servers that one entry uses.
type Health struct {
	cfg     HealthConfig
	now     time.Time
	servers map[string]*server
	// serving holds the servers of each version in the order of their names.
	serving map[string][]*server
	totals  map[string]*stat
	effects []HealthEffect
}

// NewHealth returns a Health without servers.
func NewHealth(cfg HealthConfig) *Health {
	return &Health{
		cfg:     cfg.withDefaults(),
		servers: map[string]*server{},
		serving: map[string][]*server{},
		totals:  map[string]*stat{},
	}
}

// Share returns the share of its normal traffic that a server may get.
func (h *Health) Share(name string) float64 {
	if s, ok := h.servers[name]; ok {
		return s.share()
	}
	return 0
}

// Ejected reports whether a server is out of traffic, or on its way back, by its
// outcomes.
func (h *Health) Ejected(name string) bool {
	s, ok := h.servers[name]
	return ok && s.step != fullStep()
}

// Handle takes one event and returns the effects to carry out. The slice is
// valid until the next call.
func (h *Health) Handle(now time.Time, event HealthEvent) []HealthEffect {
	h.now = now
	h.effects = h.effects[:0]
	switch e := event.(type) {
	case HealthTick:
		h.tick()
	case ServerChanged:
		h.serverChanged(e)
	case ServerRemoved:
		h.serverRemoved(e.Server)
	case SignalsSeen:
		h.signalsSeen(e)
	case AttemptEnded:
		h.attemptEnded(e)
	}
	return h.effects
}

// change runs an update of a server and reports a change of its share.
func (h *Health) change(s *server, reason ShareReason, update func()) {
	before := s.share()
	update()
	if after := s.share(); after != before {
		h.effects = append(h.effects, ShareChanged{Server: s.name, Share: after, Reason: reason})
	}
}

func (h *Health) serverChanged(e ServerChanged) {
	s, ok := h.servers[e.Server]
	if !ok {
		s = &server{name: e.Server, step: fullStep(), signals: Signals{Ready: true, Alive: true}}
		h.servers[e.Server] = s
		h.effects = append(h.effects, ShareChanged{Server: s.name, Share: s.share(), Reason: ReasonSignals})
	}
	if e.Incarnation < s.incarnation {
		return
	}
	if e.Incarnation > s.incarnation || !ok {
		s.incarnation = e.Incarnation
		s.stats = map[string]*stat{}
		h.restarted(s)
	}
	if slices.Equal(s.versions, e.Versions) {
		return
	}
	old := s.versions
	h.leave(s)
	s.versions = slices.Clone(e.Versions)
	for _, v := range s.versions {
		h.serving[v] = append(h.serving[v], s)
		slices.SortFunc(h.serving[v], func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	}
	h.keepLast(old)
	h.keepLast(s.versions)
}

// restarted lets an ejected server begin its return, because its process is new.
// One that was ejected often waits all the same, else a process that crashes
// again and again would get traffic after each start.
func (h *Health) restarted(s *server) {
	if s.step == ejectedStep && s.strikes <= maxRestartStrikes {
		h.change(s, ReasonReturning, func() {
			s.step = 0
			s.until = h.now.Add(h.cfg.StepTime)
			s.forgive = h.now.Add(h.cfg.ForgiveAfter)
		})
	}
}

// leave takes a server out of the lists of its versions.
func (h *Health) leave(s *server) {
	for _, v := range s.versions {
		h.serving[v] = slices.DeleteFunc(h.serving[v], func(other *server) bool { return other == s })
		if len(h.serving[v]) == 0 {
			delete(h.serving, v)
			delete(h.totals, v)
		}
	}
}

func (h *Health) serverRemoved(name string) {
	s, ok := h.servers[name]
	if !ok {
		return
	}
	h.leave(s)
	delete(h.servers, name)
	h.keepLast(s.versions)
}

func (h *Health) signalsSeen(e SignalsSeen) {
	s, ok := h.servers[e.Server]
	if !ok {
		return
	}
	h.change(s, ReasonSignals, func() {
		s.signals = e.Signals
		s.signals.Ready = e.Signals.Ready && !e.Signals.Leaving
	})
	h.keepLast(s.versions)
}
