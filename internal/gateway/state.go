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

// State is what a gateway believes, for operators. Ages are in milliseconds.
type State struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	// Reason says why the gateway is not ready.
	Reason string `json:"reason,omitempty"`
	// Config is the version of the configuration; ConfigAgeMs is how long ago it was known to
	// be the newest.
	Config      int64 `json:"config"`
	ConfigAgeMs int64 `json:"configAgeMs"`
	Active      int64 `json:"activeRequests"`
	// Relay is the gateway that news of the store come from; empty means the store itself.
	// PassesOn is set where this gateway is a relay.
	Relay    string         `json:"relay,omitempty"`
	PassesOn bool           `json:"passesOn,omitempty"`
	Workers  []WorkerState  `json:"workers"`
	Rollouts []RolloutState `json:"rollouts"`
}

// WorkerState is what a gateway believes of a worker.
type WorkerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	// Share is the share of its normal traffic that it gets, 0 to 1.
	Share float64 `json:"share"`
	// Load is the believed number of requests; LoadAgeMs is the age of what the worker stated,
	// negative when it never stated any.
	Load      float64 `json:"load"`
	LoadAgeMs int64   `json:"loadAgeMs"`
}

// RolloutState is what a gateway believes of a rollout.
type RolloutState struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Recorded string  `json:"recorded"`
	Step     int     `json:"step"`
	Share    float64 `json:"share"`
	// Bad names the evidence of this gateway against the target.
	Bad string `json:"bad,omitempty"`
}

// state collects what the core believes.
func (c *core) state(now time.Duration) State {
	var s State
	s.Ready, s.Reason = c.ready(now)
	if v := c.view.Load(); v != nil {
		s.Config = v.config.Version
		s.ConfigAgeMs = c.keyView(v).Age(now).Milliseconds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.known {
		load, age := c.placer.Believed(now, id)
		s.Workers = append(s.Workers, WorkerState{id, w.Service, w.Version, w.Address, c.health.Share(id), load, age.Milliseconds()})
	}
	slices.SortFunc(s.Workers, func(a, b WorkerState) int { return strings.Compare(a.Service+a.ID, b.Service+b.ID) })
	for _, o := range c.rollouts.orders {
		_, reason := o.order.Bad()
		s.Rollouts = append(s.Rollouts, RolloutState{o.record.Service, o.record.Target, string(o.state()), o.order.Step(), o.order.Share(), reason})
	}
	slices.SortFunc(s.Rollouts, func(a, b RolloutState) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// serveState answers with the state as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := g.core.state(elapsed())
	s.Instance, s.Active = g.settings.Instance, g.active.Load()
	if asked, ok := g.store.(*news.Store); ok {
		s.Relay = asked.Relay()
	}
	s.PassesOn = g.relaying != nil && g.relaying.passesOn
	if g.leaving.Load() {
		s.Ready, s.Reason = false, "instance is leaving"
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		g.log.Warn("state was not sent", zap.Error(err))
	}
}
