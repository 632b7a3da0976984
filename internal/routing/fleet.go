package routing

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// Location is the place where an entry runs.
type Location struct {
	Instance      string
	FailureDomain string
	Region        string
}

// Server describes one backend server.
type Server struct {
	// Name is unique in the fleet.
	Name     string
	Instance string
	// Incarnation is the start time of the sidecar in Unix nanoseconds. A new
	// incarnation discards the state of the previous one.
	Incarnation   int
	FailureDomain string
	Region        string
	// Versions are the deployed versions of a model engine.
	Versions []string
	// Service is the name of the plain service; empty for a model engine.
	Service string
	// Slots is the number of requests that the server runs at once; 0 means
	// unknown.
	Slots int
	// Address is where requests for the server are sent.
	Address string
}

// Attempt describes one attempt, for the load accounting of a Fleet.
type Attempt struct {
	// Prefix is the fingerprint of the prompt prefix; 0 means none.
	Prefix       uint64
	PromptTokens int
	MaxTokens    int
	// IsShort marks a request with a short answer, which engines run before long
	// ones.
	IsShort bool
	// StartedAt and Incarnation are set when the attempt starts and checked when it
	// ends.
	StartedAt   time.Time
	Incarnation int
	// loadAtStart is the predicted load per slot of the server before the attempt.
	loadAtStart float64
	// backlogAtStartMs is the predicted time to process the prompts that this
	// entry sent to the server before the attempt.
	backlogAtStartMs float64
}

// Outcome is the result of an attempt. A number of 0 means that the value was not
// measured.
type Outcome struct {
	// OK is set when the attempt delivered a complete answer.
	OK bool
	// FirstTokenMs is the time to first token.
	FirstTokenMs float64
	// TokenMs is the time between tokens.
	TokenMs      float64
	InputTokens  int
	CachedTokens int
	OutputTokens int
}

// Query describes the request for which Fleet.Pick chooses a backend server.
// Exactly one of Version and Service is set.
type Query struct {
	Version string
	Service string
	// Prefix is the fingerprint of the prompt prefix; 0 means none.
	Prefix       uint64
	PromptTokens int
	MaxTokens    int
	// IsShort marks a request with a short answer, which engines run before long
	// ones.
	IsShort bool
	// Exclude holds the names of servers that must not be picked.
	Exclude []string
}

// Pick is a chosen backend server.
type Pick struct {
	Server        string
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string
	// FirstTokenTime is the predicted time to first token.
	FirstTokenTime time.Duration
	// CacheProbability is the predicted probability that the server has the prefix
	// cached.
	CacheProbability float64
}

// server is the state of one backend server.
type server struct {
	Server
	// weight is the share of traffic, from 0 (ejected) to 1.
	weight float64
	// leaving is set by a report and stops new work.
	leaving bool
	// present is false for an unused element of Fleet.servers.
	present           bool
	load              loadEstimator
	locationPenaltyMs float64
}

// pool holds the servers of one version or plain service, as indexes into
// Fleet.servers.
type pool struct {
	members []int32
	// subset holds the members that this entry sends to.
	subset         []int32
	nextRoundRobin int
}

// Fleet holds the state of the backend servers as one entry sees them, and
// chooses servers for requests. It is not safe for concurrent use.
type Fleet struct {
	location    Location
	opts        Options
	servers     []server
	indexByName map[string]int32
	// freeIndexes lists the unused elements of servers.
	freeIndexes     []int32
	pools           map[poolKey]*pool
	prefixes        *prefixIndex
	averages        fleetAverages
	firstTokenModel firstTokenModel
	probeCandidates []int32
	// examinedServers counts the checks of a server in all calls of Pick.
	examinedServers uint64
}

// poolKey identifies a pool. A version and a plain service may have the same name.
type poolKey struct {
	name      string
	isService bool
}

// NewFleet returns an empty fleet for an entry at the location self.
func NewFleet(self Location, opts Options) *Fleet {
	opts = opts.withDefaults()
	return &Fleet{
		location:        self,
		opts:            opts,
		indexByName:     map[string]int32{},
		pools:           map[poolKey]*pool{},
		prefixes:        newPrefixIndex(opts.PrefixEntries, opts.PrefixHalfLife),
		averages:        fleetAverages{tokenMs: opts.DefaultTokenMs, serviceMs: opts.DefaultServiceMs},
		firstTokenModel: newFirstTokenModel(opts.PrefillTokenMs, opts.DefaultTokenMs),
	}
}

// SetServers replaces the set of servers. A server with the same name and
// incarnation as before keeps its state; a new one starts with weight 1.
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
	i, ok := f.indexByName[s.Name]
	if !ok {
		i = f.allocateIndex()
		f.indexByName[s.Name] = i
	}
	state := &f.servers[i]
	if !ok || state.Incarnation != s.Incarnation {
		f.prefixes.removeServer(i)
		*state = server{weight: 1, load: newLoadEstimator(now)}
	}
	state.Server = s
	state.present = true
	state.locationPenaltyMs = f.locationPenaltyMs(s)
}

func (f *Fleet) allocateIndex() int32 {
	if n := len(f.freeIndexes); n > 0 {
		i := f.freeIndexes[n-1]
		f.freeIndexes = f.freeIndexes[:n-1]
		return i
	}
	f.servers = append(f.servers, server{})
	return int32(len(f.servers) - 1) //nolint:gosec // a fleet has far fewer than 2^31 servers
}

func (f *Fleet) removeAbsent() {
	for name, i := range f.indexByName {
		if f.servers[i].present {
			continue
		}
		f.prefixes.removeServer(i)
		f.servers[i] = server{}
		delete(f.indexByName, name)
		f.freeIndexes = append(f.freeIndexes, i)
	}
}

// SetWeight sets a server's share of traffic, from 0 (ejected) to 1 (full).
func (f *Fleet) SetWeight(name string, weight float64) {
	if s := f.lookup(name); s != nil {
		s.weight = min(max(weight, 0), 1)
	}
}

// RecordLoadReport records a load report that was received at now. After a report with
// Leaving set, the server gets no new work until it has a new incarnation.
func (f *Fleet) RecordLoadReport(now time.Time, name string, load api.LoadReport) {
	s := f.lookup(name)
	if s == nil {
		return
	}
	if load.Leaving {
		s.leaving = true
	}
	s.load.recordReport(now, load)
	f.averages.recordReport(load)
}

// StartAttempt records that an attempt was sent to a server. It returns the attempt
// with the fields that EndAttempt needs.
func (f *Fleet) StartAttempt(now time.Time, name string, attempt Attempt) Attempt {
	attempt.StartedAt = now
	s := f.lookup(name)
	if s == nil {
		return attempt
	}
	attempt.Incarnation = s.Incarnation
	i := f.indexByName[name]
	p := f.prefixes.cacheProbability(now, attempt.Prefix, i)
	attempt.loadAtStart = f.loadPerSlot(now, s)
	attempt.backlogAtStartMs = s.load.backlogMs(now)
	s.load.startAttempt(now, f.prefillMs(s, attempt.PromptTokens, p))
	f.prefixes.recordAttempt(now, attempt.Prefix, i)
	return attempt
}

// EndAttempt records that an attempt ended. attempt is the result of StartAttempt. An
// attempt on an earlier incarnation or a removed server is ignored.
func (f *Fleet) EndAttempt(now time.Time, name string, attempt Attempt, o Outcome) {
	s := f.lookup(name)
	if s == nil || (attempt.Incarnation != 0 && attempt.Incarnation != s.Incarnation) {
		return
	}
	s.load.endAttempt(now, attempt, o)
	if o.OK && !attempt.StartedAt.IsZero() {
		f.averages.recordServiceTime(now.Sub(attempt.StartedAt))
	}
	if o.OK && o.FirstTokenMs > 0 && attempt.Incarnation != 0 && attempt.loadAtStart < 1 {
		uncached := float64(max(attempt.PromptTokens-o.CachedTokens, 0))
		f.firstTokenModel.observe(uncached*f.relativeTokenTime(s), attempt.loadAtStart*f.relativeTokenTime(s), max(o.FirstTokenMs-attempt.backlogAtStartMs, 0))
	}
	if o.OK && o.InputTokens > 0 {
		f.prefixes.recordOutcome(now, attempt.Prefix, f.indexByName[name], o.CachedTokens > 0)
	}
}

// RecordCacheEvent records that the engine of a server cached a prefix, or evicted it
// when isCached is false. Events may be late or missing.
func (f *Fleet) RecordCacheEvent(now time.Time, name string, prefix uint64, isCached bool) {
	if i, ok := f.indexByName[name]; ok {
		f.prefixes.recordCacheEvent(now, prefix, i, isCached)
	}
}

// ExaminedServers returns the number of server checks in all calls of Pick so far.
func (f *Fleet) ExaminedServers() uint64 { return f.examinedServers }

// InFlight returns the number of this entry's attempts in flight at a server.
func (f *Fleet) InFlight(name string) int {
	if s := f.lookup(name); s != nil {
		return s.load.inFlight
	}
	return 0
}

// ServesVersion reports whether a server that accepts work has the version.
func (f *Fleet) ServesVersion(version string) bool {
	p := f.pools[poolKey{name: version}]
	return p != nil && f.anyAcceptsWork(p)
}

// ServesService reports whether a server that accepts work runs the plain service.
func (f *Fleet) ServesService(service string) bool {
	p := f.pools[poolKey{name: service, isService: true}]
	return p != nil && f.anyAcceptsWork(p)
}

func (f *Fleet) anyAcceptsWork(p *pool) bool {
	for _, i := range p.members {
		if f.servers[i].acceptsWork() {
			return true
		}
	}
	return false
}

func (s *server) acceptsWork() bool { return s.weight > 0 && !s.leaving }

func (f *Fleet) lookup(name string) *server {
	if i, ok := f.indexByName[name]; ok {
		return &f.servers[i]
	}
	return nil
}

func (f *Fleet) locationPenaltyMs(s Server) float64 {
	switch {
	case s.Region != f.location.Region:
		return f.opts.RegionPenaltyMs
	case s.FailureDomain != f.location.FailureDomain:
		return f.opts.DomainPenaltyMs
	}
	return 0
}
