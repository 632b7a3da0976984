// Package engine is a stand-in for a model engine. It emulates the engine
// protocol of docs/protocols.md: continuous batching in steps, a queue with
// priorities, a prefix cache in limited memory, resume, cancel, lagging load
// reports, late and gapped cache events, and orders with or without fencing.
//
// Answers are a function of version and messages; see Answer. The fault kinds
// repeat, cross, truncate, delay, cut, refuse, error, freeze, slow and poor are
// honoured; a fault's target is a version.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// Server is a started engine.
type Server = base.Server

// Config sets the size and the behaviour of an engine. Zero fields take the
// defaults that New documents.
type Config struct {
	// Versions are loaded from the start.
	Versions []string
	// Slots is the number of requests in the batch; default 8.
	Slots int
	// Queue is the number of waiting requests; default 64.
	Queue int
	// StepTime is the time of one step of an empty batch; default 2 ms.
	StepTime time.Duration
	// BatchSlowdown is the relative growth of the step time at a full batch.
	BatchSlowdown float64
	// PrefillTokens is the number of prompt tokens read in one step; default 512.
	PrefillTokens int
	// KVTokens is the memory for prompts, answers and cached prefixes, in
	// tokens; default 65536.
	KVTokens int
	// LoadPeriod is the time between two load reports; 0 reports at once.
	LoadPeriod time.Duration
	// EventDelay is the delay of cache events.
	EventDelay time.Duration
	// EventDropNth loses every n-th cache event; 0 loses none.
	EventDropNth int
	// CheckFence makes the engine refuse orders with an old fencing token.
	CheckFence bool
	// WeightStore is the URL of the weight store; empty loads without it.
	WeightStore string
	// LoadTime is the time to load a version after its weights arrived.
	LoadTime time.Duration
	// StartTime is the time after New during which requests get 503.
	StartTime time.Duration
	// Quality is the share of prompts that a version answers well; a version
	// without an entry answers everything well.
	Quality map[string]float64
	// ConfidenceNoise is the width of the noise of the stated confidence;
	// default 0.2.
	ConfidenceNoise float64
}

func (c *Config) setDefaults() {
	setDefault(&c.Slots, 8)
	setDefault(&c.Queue, 64)
	setDefault(&c.StepTime, 2*time.Millisecond)
	setDefault(&c.PrefillTokens, 512)
	setDefault(&c.KVTokens, 65536)
	setDefault(&c.ConfidenceNoise, 0.2)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
	started time.Time

	mu       sync.Mutex
	versions map[string]bool
	fence    int64
	ordered  map[string]int64 // the newest order of each version, by arrival
	orders   int64
	queue    []*sequence
	running  []*sequence
	byID     map[attemptID]*sequence
	crossing *sequence
	arrivals int64
	cache    *cache
	timing   timing
	report   load

	wake chan struct{}
	quit chan struct{}
	once sync.Once
}

// New returns an engine and starts its batch loop; Close stops it.
func New(config Config) *Engine {
	config.setDefaults()
	e := &Engine{
		config:   config,
		ledger:   base.NewLedger(),
		faults:   base.NewFaults(),
		started:  time.Now(),
		versions: map[string]bool{},
		ordered:  map[string]int64{},
		byID:     map[attemptID]*sequence{},
		cache:    newCache(config.KVTokens, config.EventDropNth),
		wake:     make(chan struct{}, 1),
		quit:     make(chan struct{}),
	}
	for _, v := range config.Versions {
		e.versions[v] = true
	}
	e.report = e.measure()
	e.handler = e.routes()
	go e.runBatch()
	if config.LoadPeriod > 0 {
		go e.runReports()
	}
	return e
}

// Start serves a new engine with the default configuration and the named
// versions on addr.
func Start(addr string, versions ...string) (*Server, error) {
	return New(Config{Versions: versions}).Start(addr)
}

// Start serves the engine on addr.
func (e *Engine) Start(addr string) (*Server, error) {
	return base.Serve(addr, e, e.Close)
}

// Close stops the batch loop; running streams end without an end event.
func (e *Engine) Close() { e.once.Do(func() { close(e.quit) }) }

// Ledger returns the ledger.
func (e *Engine) Ledger() *base.Ledger { return e.ledger }

// Faults returns the fault controls.
func (e *Engine) Faults() *base.Faults { return e.faults }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", e.generate).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel", e.cancel).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", e.events).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	r.Handle("/standin/ledger", e.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", e.faults).Methods(http.MethodGet, http.MethodPost)
	return e.faults.Guard(r)
}
