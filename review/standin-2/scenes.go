package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Configuration objects in the encoding of the platform's store. The field names are the names on the wire.
type (
	wireRoute struct {
		Name, Hostname, PathPrefix, Kind, Service      string
		TimeoutMs, TargetLatencyMs, GapAimMs           int
		Priority, MaxAttempts                          int
		SessionAffinity, ResumeStreams, AllowAnonymous bool
		Sizes                                          []string `json:",omitempty"`
	}
	wireModel struct {
		Name string
		Cost float64
	}
	wireEngine struct {
		Slots, KvCapacity int
		Models            []wireModel
	}
	wireService struct {
		Name           string
		MaxConnections int
		HealthPath     string
		Engine         *wireEngine `json:",omitempty"`
	}
	wireCustomer struct {
		Name    string
		ApiKeys []string //nolint:revive // the name on the wire
	}
	wireLimits struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
	wireConfig struct {
		Version  int
		Routes   []wireRoute
		Services []wireService
		Limits   wireLimits
		Tenants  []wireCustomer
	}
)

// The two services of the scenes, as in the sheet of a small deployment.
const (
	modelService = "borage-llm"
	plainService = "booking-app"
	streamPath   = "/note/"
	lookupPath   = "/lookup/"
	checkPath    = "/check/"
	modelSlots   = 48
	plainSlots   = 6
)

var models = []string{"m0", "m1", "m2"}

// config returns a configuration with the routes of a small deployment.
func config(version int, more ...wireRoute) wireConfig {
	c := wireConfig{
		Version: version,
		Routes: []wireRoute{
			{Name: "escort-note", Hostname: callerHost, PathPrefix: streamPath, Kind: "stream", Service: modelService, TimeoutMs: 6000, TargetLatencyMs: 1000, GapAimMs: 500, MaxAttempts: 3, SessionAffinity: true, ResumeStreams: true, Sizes: models},
			{Name: "host-lookup", Hostname: callerHost, PathPrefix: lookupPath, Kind: "unsafe", Service: plainService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
			{Name: "slot-check", Hostname: callerHost, PathPrefix: checkPath, Kind: "safe", Service: plainService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 2},
		},
		Services: []wireService{
			{Name: modelService, MaxConnections: 300, HealthPath: "/health", Engine: &wireEngine{Slots: modelSlots, KvCapacity: 609801, Models: []wireModel{{"m0", 0.019}, {"m1", 0.14}, {"m2", 0.29}}}},
			{Name: plainService, MaxConnections: 110, HealthPath: "/health"},
		},
		Limits:  wireLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10000},
		Tenants: []wireCustomer{{"nord", []string{callerKey}}},
	}
	c.Routes = append(c.Routes, more...)
	return c
}

// startFleet writes the configuration and starts workers of both services and two gateways.
func (s *scene) startFleet(modelWorkers int, confidence map[string]int) error {
	s.store.put(wire.Config, wire.ConfigName, config(7))
	for i := range modelWorkers {
		w := &worker{id: fmt.Sprintf("i-a%07x", i+1), models: models, confidence: confidence, entry: workerEntry{Service: modelService, Version: "1", Slots: modelSlots}}
		if err := s.start(w); err != nil {
			return err
		}
	}
	if err := s.startPlain(4, "b", "1"); err != nil {
		return err
	}
	return s.startGateways(2)
}

// startPlain starts workers of the plain service, each set by the given functions.
func (s *scene) startPlain(n int, prefix, version string, set ...func(*worker)) error {
	for i := range n {
		w := &worker{id: fmt.Sprintf("i-%s%07x", prefix, i+1), entry: workerEntry{Service: plainService, Version: version, Slots: plainSlots}}
		for _, f := range set {
			f(w)
		}
		if err := s.start(w); err != nil {
			return err
		}
	}
	return nil
}

// startTraffic starts the callers of all kinds of request at all gateways, which send so many of each a second until a time. The
// group ends with them.
func (s *scene) startTraffic(group *sync.WaitGroup, streams, lookups, checks int, end time.Duration) {
	every := func(perSecond int) time.Duration {
		return time.Second * time.Duration(len(s.gateways)) / time.Duration(perSecond)
	}
	for i, g := range s.gateways {
		stream := s.newCaller(g, "escort-note", http.MethodPost, streamPath, "*", 6*time.Second)
		lookup := s.newCaller(g, "host-lookup", http.MethodPost, lookupPath, "", time.Second)
		check := s.newCaller(g, "slot-check", http.MethodGet, checkPath, "", time.Second)
		base := uint32(i+1) << 28
		group.Go(func() { stream.repeat(base, every(streams), end) })
		group.Go(func() { lookup.repeat(base+1<<24, every(lookups), end) })
		group.Go(func() { check.repeat(base+2<<24, every(checks), end) })
	}
}

// foreignModel plays ordinary callers and one that the operators do not control: on a route on which callers leave the choice of the
// model to the system, it names a model that the workers do not have. It sends one such request to each gateway.
func foreignModel(s *scene) (verdict, error) {
	if err := s.startFleet(18, map[string]int{"m0": 90, "m1": 90, "m2": 95}); err != nil {
		return verdict{}, err
	}
	begin := s.now()
	troubleAt, end := begin+3*time.Second, begin+60*time.Second
	var group sync.WaitGroup
	s.startTraffic(&group, 20, 10, 10, end)
	s.sleepUntil(troubleAt)
	if s.hasTrouble {
		for i, g := range s.gateways {
			s.newCaller(g, "foreign", http.MethodPost, streamPath, "daka510000", 6*time.Second).send(fmt.Sprintf("f000000%d", i))
		}
	}
	group.Wait()
	for _, g := range s.gateways {
		s.note("gateway %s is ready: %v", g.name, g.isReady())
	}
	return s.judgeStarved()
}

// judgeStarved checks that no kind of request is served less than a quarter as often as all requests.
func (s *scene) judgeStarved() (verdict, error) {
	asked, served := map[string]int{}, map[string]int{}
	for i := range s.tries {
		t := &s.tries[i]
		if t.kind == "foreign" {
			continue
		}
		for _, key := range []string{t.kind, "all"} {
			asked[key]++
			if t.served() {
				served[key]++
			}
		}
	}
	all := float64(served["all"]) / float64(asked["all"])
	v := verdict{why: fmt.Sprintf("of all requests %d of %d were served", served["all"], asked["all"])}
	for _, kind := range []string{"escort-note", "host-lookup", "slot-check"} {
		v.why += fmt.Sprintf(", of %s %d of %d", kind, served[kind], asked[kind])
		v.broken = v.broken || float64(served[kind])/float64(asked[kind]) < all/4
	}
	return v, nil
}
