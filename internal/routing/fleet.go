package routing

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// Location is where the calling entry runs.
type Location struct {
	Instance      string
	FailureDomain string
	Region        string
}

// Server describes one backend server. Name is unique in the fleet.
type Server struct {
	Name     string
	Instance string
	// Incarnation is the sidecar's start time in Unix nanoseconds. A change
	// discards everything learnt about the predecessor.
	Incarnation   int
	FailureDomain string
	Region        string
	// Versions are the deployed versions of a model engine.
	Versions []string
	// Service is the plain service, empty for a model engine.
	Service string
	// Slots is the number of requests that run at once; 0 means unknown.
	Slots   int
	Address string
}

// Work describes one attempt for accounting.
type Work struct {
	// Prefix is the fingerprint of the prompt prefix; 0 means none.
	Prefix       uint64
	PromptTokens int
	MaxTokens    int
	// Short marks a quick lookup, which is run before long drafts.
	Short bool
	// Started and Incarnation are set by Start and passed on to End.
	Started     time.Time
	Incarnation int
	// load is the load per slot that the attempt found and backlogMs the time
	// that the own prompts before it took.
	load      float64
	backlogMs float64
}

// Outcome is how an attempt ended. Zero values mean not measured.
type Outcome struct {
	OK           bool
	FirstTokenMs float64
	TokenMs      float64
	InputTokens  int
	CachedTokens int
	OutputTokens int
}

// Query asks for a backend server. Exactly one of Version and Service is set.
type Query struct {
	Version string
	Service string
	// Prefix is the fingerprint of the prompt prefix; 0 means none.
	Prefix       uint64
	PromptTokens int
	MaxTokens    int
	Short        bool
	// Exclude names servers that must not be picked.
	Exclude []string
}

// Pick is a chosen backend server.
type Pick struct {
	Server        string
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string
	// Wait is the predicted time to first token.
	Wait time.Duration
	// CacheProbability is the predicted probability that the prefix is cached.
	CacheProbability float64
}

// server is the state held about one backend server.
type server struct {
	Server
	weight  float64
	leaving bool
	present bool
	load    loadView
	// penaltyMs is the penalty of the server's location.
	penaltyMs float64
}

// pool is the set of servers of one version or plain service.
type pool struct {
	all    []int32
	subset []int32
	next   int
}

// Fleet holds what one entry knows about the backend servers. It is not safe
// for concurrent use.
type Fleet struct {
	self    Location
	opts    Options
	servers []server
	index   map[string]int32
	free    []int32
	pools   map[poolKey]*pool
	cache   *prefixTable
	mean    fleetMean
	wait    waitModel
	probes  []int32
	// lookedAt counts the servers that decisions looked at.
	lookedAt uint64
}

// poolKey separates versions from plain services of the same name.
type poolKey struct {
	name    string
	service bool
}

// NewFleet returns an empty fleet as seen from self.
func NewFleet(self Location, opts Options) *Fleet {
	opts = opts.withDefaults()
	return &Fleet{
		self:  self,
		opts:  opts,
		index: map[string]int32{},
		pools: map[poolKey]*pool{},
		cache: newPrefixTable(opts.PrefixEntries, opts.PrefixHalfLife),
		mean:  fleetMean{tokenMs: opts.DefaultTokenMs, serviceMs: opts.DefaultServiceMs},
		wait:  newWaitModel(opts.PrefillTokenMs, opts.DefaultTokenMs),
	}
}

// SetServers replaces the set of servers. A server that keeps its name and
// incarnation keeps its state; a new one starts with full weight.
func (f *Fleet) SetServers(now time.Time, servers []Server) {
	for i := range f.servers {
		f.servers[i].present = false
	}
	for _, s := range servers {
		f.upsert(now, s)
	}
	f.removeAbsent()
	f.rebuildPools()
}

func (f *Fleet) upsert(now time.Time, s Server) {
	i, ok := f.index[s.Name]
	if !ok {
		i = f.allocate()
		f.index[s.Name] = i
	}
	held := &f.servers[i]
	if !ok || held.Incarnation != s.Incarnation {
		f.cache.forget(i)
		*held = server{weight: 1, load: newLoadView(now)}
	}
	held.Server = s
	held.present = true
	held.penaltyMs = f.penaltyMs(s)
}

func (f *Fleet) allocate() int32 {
	if n := len(f.free); n > 0 {
		i := f.free[n-1]
		f.free = f.free[:n-1]
		return i
	}
	f.servers = append(f.servers, server{})
	return int32(len(f.servers) - 1) //nolint:gosec // a fleet has far fewer than 2^31 servers
}

func (f *Fleet) removeAbsent() {
	for name, i := range f.index {
		if f.servers[i].present {
			continue
		}
		f.cache.forget(i)
		f.servers[i] = server{}
		delete(f.index, name)
		f.free = append(f.free, i)
	}
}

// SetWeight sets a server's share of traffic: 0 is ejected, 1 is full.
func (f *Fleet) SetWeight(name string, weight float64) {
	if s := f.lookup(name); s != nil {
		s.weight = min(max(weight, 0), 1)
	}
}

// Report records a load report that arrived at now. A report with Leaving set
// stops new work until the server has a new incarnation.
func (f *Fleet) Report(now time.Time, name string, load api.LoadReport) {
	s := f.lookup(name)
	if s == nil {
		return
	}
	if load.Leaving {
		s.leaving = true
	}
	s.load.report(now, load)
	f.mean.observe(load)
}

// Start records that an attempt was sent. It returns the work to pass to End.
func (f *Fleet) Start(now time.Time, name string, w Work) Work {
	w.Started = now
	s := f.lookup(name)
	if s == nil {
		return w
	}
	w.Incarnation = s.Incarnation
	i := f.index[name]
	p := f.cache.probability(now, w.Prefix, i)
	w.load = f.loadPerSlot(now, s)
	w.backlogMs = s.load.backlogMs(now)
	s.load.start(now, f.prefillMs(s, w.PromptTokens, p))
	f.cache.routed(now, w.Prefix, i)
	return w
}

// End records that an attempt ended. An attempt of an earlier incarnation or
// of a removed server is ignored.
func (f *Fleet) End(now time.Time, name string, w Work, o Outcome) {
	s := f.lookup(name)
	if s == nil || (w.Incarnation != 0 && w.Incarnation != s.Incarnation) {
		return
	}
	s.load.end(now, w, o)
	if o.OK && !w.Started.IsZero() {
		f.mean.served(now.Sub(w.Started))
	}
	if o.OK && o.FirstTokenMs > 0 && w.Incarnation != 0 && w.load < 1 {
		uncached := float64(max(w.PromptTokens-o.CachedTokens, 0))
		f.wait.observe(uncached*f.speed(s), w.load*f.speed(s), max(o.FirstTokenMs-w.backlogMs, 0))
	}
	if o.OK && o.InputTokens > 0 {
		f.cache.outcome(now, w.Prefix, f.index[name], o.CachedTokens > 0)
	}
}

// CacheEvent records a cache event of a server's engine. Events may be late or
// missing.
func (f *Fleet) CacheEvent(now time.Time, name string, prefix uint64, isCached bool) {
	if i, ok := f.index[name]; ok {
		f.cache.event(now, prefix, i, isCached)
	}
}

// LookedAt returns how many servers all decisions so far have looked at.
func (f *Fleet) LookedAt() uint64 { return f.lookedAt }

// InFlight returns the entry's own attempts in flight at a server.
func (f *Fleet) InFlight(name string) int {
	if s := f.lookup(name); s != nil {
		return s.load.own
	}
	return 0
}

// Serves reports whether a server that accepts work holds a version.
func (f *Fleet) Serves(version string) bool {
	p := f.pools[poolKey{name: version}]
	return p != nil && f.anyOpen(p)
}

// ServesService reports whether a server that accepts work runs a plain service.
func (f *Fleet) ServesService(service string) bool {
	p := f.pools[poolKey{name: service, service: true}]
	return p != nil && f.anyOpen(p)
}

func (f *Fleet) anyOpen(p *pool) bool {
	for _, i := range p.all {
		if f.servers[i].open() {
			return true
		}
	}
	return false
}

func (s *server) open() bool { return s.weight > 0 && !s.leaving }

func (f *Fleet) lookup(name string) *server {
	if i, ok := f.index[name]; ok {
		return &f.servers[i]
	}
	return nil
}

func (f *Fleet) penaltyMs(s Server) float64 {
	switch {
	case s.Region != f.self.Region:
		return f.opts.RegionPenaltyMs
	case s.FailureDomain != f.self.FailureDomain:
		return f.opts.DomainPenaltyMs
	}
	return 0
}
