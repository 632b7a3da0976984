package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/news"
)

// State is the status of a gateway for operators, served at /state. Ages are in milliseconds. It
// describes the gateway's own data, which may be older than the store's.
type State struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	// Reason states why the gateway is not ready.
	Reason string `json:"reason,omitempty"`
	// Config is the version of the configuration in force.
	Config int64 `json:"config"`
	// ConfigAgeMs is the time since the configuration was last known to be the newest.
	ConfigAgeMs int64 `json:"configAgeMs"`
	Active      int64 `json:"activeRequests"`
	// Relay is the address of the gateway that relays the updates of the store; empty means
	// that they come from the store itself.
	Relay string `json:"relay,omitempty"`
	// PassesOn reports whether this gateway is a relay.
	PassesOn bool           `json:"passesOn,omitempty"`
	Workers  []WorkerState  `json:"workers"`
	Rollouts []RolloutState `json:"rollouts"`
}

// WorkerState is the status of a worker as this gateway knows it.
type WorkerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	// Share is the part of its normal traffic that the worker gets, 0 to 1.
	Share float64 `json:"share"`
	// Load is the estimated number of requests at the worker.
	Load float64 `json:"load"`
	// LoadAgeMs is the age of the worker's last load report, negative before the first one.
	LoadAgeMs int64 `json:"loadAgeMs"`
}

// RolloutState is the status of a rollout as this gateway knows it.
type RolloutState struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Recorded is the state of the rollout in the store.
	Recorded string `json:"recorded"`
	Step     int    `json:"step"`
	// Share is the share of sessions that go to the target, 0 to 1.
	Share float64 `json:"share"`
	// Bad states the evidence of this gateway against the target; empty if there is none.
	Bad string `json:"bad,omitempty"`
}

// state returns the status from the data of the dispatcher.
func (d *dispatcher) state(now time.Duration) State {
	var s State
	s.Ready, s.Reason = d.isReady(now)
	if snapshot := d.snapshot.Load(); snapshot != nil {
		s.Config = snapshot.config.Version
		s.ConfigAgeMs = d.keyView(snapshot).Age(now).Milliseconds()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.usableWorkers {
		load, age := d.placer.Believed(now, id)
		s.Workers = append(s.Workers, WorkerState{id, w.Service, w.Version, w.Address, d.health.Share(id), load, age.Milliseconds()})
	}
	slices.SortFunc(s.Workers, func(a, b WorkerState) int { return strings.Compare(a.Service+a.ID, b.Service+b.ID) })
	for _, tracked := range d.rollouts.byService {
		_, reason := tracked.progress.Bad()
		s.Rollouts = append(s.Rollouts, RolloutState{tracked.record.Service, tracked.record.Target, string(tracked.state()), tracked.progress.Step(), tracked.progress.Share(), reason})
	}
	slices.SortFunc(s.Rollouts, func(a, b RolloutState) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// serveState responds with the status as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := g.dispatcher.state(sinceBoot())
	s.Instance, s.Active = g.settings.Instance, g.activeRequests.Load()
	if relayed, ok := g.store.(*news.Store); ok {
		s.Relay = relayed.Relay()
	}
	s.PassesOn = g.relayPeer != nil && g.relayPeer.isRelay
	if g.draining.Load() {
		s.Ready, s.Reason = false, "instance is leaving"
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		g.log.Warn("response to a status request was not sent", zap.Error(err))
	}
}
