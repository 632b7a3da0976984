// Package engine is a stand-in for a model engine. It implements the engine protocol of
// docs/protocols.md: continuous batching in steps, a priority queue, a prefix cache in
// limited memory, resumed and canceled requests, lagging load reports, delayed and dropped
// cache events, and load and unload orders with or without fencing.
//
// Answers are a function of version and messages; see Answer. The engine supports the fault
// kinds repeat, cross, truncate, delay, cut, refuse, error, freeze, slow and poor; a fault's
// target is a version.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// Server is the running HTTP server of an engine.
type Server = base.Server

// Config sets the capacity, the speed and the behavior of an engine. Zero fields take the
// defaults stated here.
type Config struct {
	// Versions lists the versions that are loaded at the start.
	Versions []string
	// Slots is the maximum number of requests in the batch; default 8.
	Slots int
	// MaxQueued is the maximum number of queued requests; default 64.
	MaxQueued int
	// StepTime is the duration of one step without BatchSlowdown; default 2 ms.
	StepTime time.Duration
	// BatchSlowdown is the relative increase of the step duration at a full batch: 1
	// doubles it.
	BatchSlowdown float64
	// PrefillTokens is the number of prompt tokens that a request prefills in one step;
	// default 512.
	PrefillTokens int
	// KVCapacityTokens is the size of the memory for prompts, answers and cached prefixes, in
	// tokens; default 65536.
	KVCapacityTokens int
	// LoadPeriod is the interval between two load reports; 0 makes a new report for each
	// call of GET /v1/load.
	LoadPeriod time.Duration
	// EventDelay is the delay after which readers see a cache event.
	EventDelay time.Duration
	// EventDropNth drops every n-th cache event; 0 drops none.
	EventDropNth int
	// CheckFence makes the engine refuse orders with an outdated fencing token.
	CheckFence bool
	// WeightStore is the base URL of the weight store; empty loads versions without
	// one.
	WeightStore string
	// LoadTime is the time to load a version after its weights are fetched.
	LoadTime time.Duration
	// StartTime is the time after New during which requests get status 503.
	StartTime time.Duration
	// Quality is the fraction of prompts that get a good answer, by version. A version
	// without an entry gives only good answers.
	Quality map[string]float64
	// ConfidenceNoise is the width of the uniform noise in the stated confidence;
	// default 0.2.
	ConfidenceNoise float64
}

func (c *Config) setDefaults() {
	setDefault(&c.Slots, 8)
	setDefault(&c.MaxQueued, 64)
	setDefault(&c.StepTime, 2*time.Millisecond)
	setDefault(&c.PrefillTokens, 512)
	setDefault(&c.KVCapacityTokens, 65536)
	setDefault(&c.ConfidenceNoise, 0.2)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a stand-in for a model engine. It is an http.Handler.
type Engine struct {
	config    Config
	ledger    *base.Ledger
	faults    *base.Faults
	handler   http.Handler
	startedAt time.Time

	mu           sync.Mutex
	versions     map[string]bool
	highestFence int64
	latestOrder  map[string]int64 // by version: number of the latest accepted order
	orderCount   int64
	queue        []*sequence
	running      []*sequence
	attempts     map[attemptID]*sequence
	pendingSwap  *sequence
	arrivalCount int64
	cache        *cache
	timing       timing
	lastReport   loadReport

	wake      chan struct{}
	quit      chan struct{}
	closeOnce sync.Once
}

// New returns an engine and starts its batch loop, which runs until Close.
func New(config Config) *Engine {
	config.setDefaults()
	e := &Engine{
		config:      config,
		ledger:      base.NewLedger(),
		faults:      base.NewFaults(),
		startedAt:   time.Now(),
		versions:    map[string]bool{},
		latestOrder: map[string]int64{},
		attempts:    map[attemptID]*sequence{},
		cache:       newCache(config.KVCapacityTokens, config.EventDropNth),
		wake:        make(chan struct{}, 1),
		quit:        make(chan struct{}),
	}
	for _, v := range config.Versions {
		e.versions[v] = true
	}
	e.lastReport = e.newLoadReport()
	e.handler = e.routes()
	go e.runBatch()
	if config.LoadPeriod > 0 {
		go e.runReports()
	}
	return e
}

// Start serves a new engine with the default configuration and the given versions on addr,
// a host:port.
func Start(addr string, versions ...string) (*Server, error) {
	return New(Config{Versions: versions}).Start(addr)
}

// Start serves the engine on addr, a host:port. Closing the server closes the engine.
func (e *Engine) Start(addr string) (*Server, error) {
	return base.Serve(addr, e, e.Close)
}

// Close stops the batch loop. Running streams end without an end event. It may be called more
// than once.
func (e *Engine) Close() { e.closeOnce.Do(func() { close(e.quit) }) }

// Ledger returns the ledger of the engine's runs and orders.
func (e *Engine) Ledger() *base.Ledger { return e.ledger }

// Faults returns the injected faults.
func (e *Engine) Faults() *base.Faults { return e.faults }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", e.serveGenerate).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel", e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", e.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	r.Handle("/standin/ledger", e.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", e.faults).Methods(http.MethodGet, http.MethodPost)
	return e.faults.BlockWhileFrozen(r)
}
