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
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `json:"config"`
	// ConfigAgeMs is the time since the configuration was last known to be the newest.
	ConfigAgeMs    int64 `json:"configAgeMs"`
	ActiveRequests int64 `json:"activeRequests"`
	// RelayAddress is the address of the gateway that relays the updates of the store; empty means
	// that they come from the store itself.
	RelayAddress string `json:"relay,omitempty"`
	// IsRelay reports whether this gateway is a relay.
	IsRelay bool `json:"passesOn,omitempty"`
	// Evacuated are the failure domains whose workers get no new requests by order of an operator.
	Evacuated []string       `json:"evacuated,omitempty"`
	Workers   []WorkerState  `json:"workers"`
	Rollouts  []RolloutState `json:"rollouts"`
}

// WorkerState is the status of a worker as this gateway knows it.
type WorkerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	// Share is the part of its normal traffic that the worker gets, 0 to 1.
	Share float64 `json:"share"`
	// Load is the estimated load of the worker in requests. On model engines, a request whose
	// answer has started counts for less than one that waits.
	Load float64 `json:"load"`
	// LoadAgeMs is the age of the worker's last load report, negative before the first one.
	LoadAgeMs int64 `json:"loadAgeMs"`
	// Slowness is how much longer than on a usual worker of the service the same load takes now, and
	// Learned the part of it that its answers show, of which there were Answers lately. They are absent
	// for services whose workers do not state their pace.
	Slowness float64 `json:"slowness,omitempty"`
	Learned  float64 `json:"learnedSlowness,omitempty"`
	Answers  float64 `json:"speedAnswers,omitempty"`
}

// RolloutState is the status of a rollout as this gateway knows it.
type RolloutState struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// RecordedState is the state of the rollout in the store.
	RecordedState string `json:"recorded"`
	Step          int    `json:"step"`
	// Share is the share of sessions that go to the target, 0 to 1.
	Share float64 `json:"share"`
	// Regression states why this gateway takes the target to be bad; empty if it does not.
	Regression string `json:"bad,omitempty"`
	// Answers is the number of judged answers of the target in all gateways, Failed that of the
	// failed ones among them. Errors and Slowness are the log-likelihood ratios of the tests.
	Answers  int     `json:"answers"`
	Failed   int     `json:"failed"`
	Errors   float64 `json:"errors"`
	Slowness float64 `json:"slowness"`
}

// state returns the status from the data of the dispatcher.
func (d *dispatcher) state(now time.Duration) State {
	var s State
	s.Ready, s.Reason = d.isReady(now)
	if snapshot := d.snapshot.Load(); snapshot != nil {
		s.ConfigVersion = snapshot.config.Version
		s.ConfigAgeMs = d.confirmedConfig(snapshot).Age(now).Milliseconds()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Evacuated = d.evacuations.Domains()
	for id, w := range d.usableWorkers {
		load, age := d.placer.LoadEstimate(now, id)
		speed, _ := d.placer.SpeedEstimate(now, id)
		s.Workers = append(s.Workers, WorkerState{
			id, w.Service, w.Version, w.Address, d.health.Share(id), load, age.Milliseconds(),
			speed.Slowness, speed.Learned, speed.Answers,
		})
	}
	slices.SortFunc(s.Workers, func(a, b WorkerState) int { return strings.Compare(a.Service+a.ID, b.Service+b.ID) })
	for _, tracked := range d.rollouts.byService {
		_, reason := tracked.progress.TargetIsBad()
		evidence := tracked.progress.Summary()
		s.Rollouts = append(s.Rollouts, RolloutState{
			tracked.record.Service, tracked.record.TargetVersion, string(tracked.state()), tracked.progress.Step(), tracked.progress.Share(), reason,
			evidence.Answers, evidence.Failed, evidence.Errors, evidence.Slowness,
		})
	}
	slices.SortFunc(s.Rollouts, func(a, b RolloutState) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// serveState responds with the status as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := g.dispatcher.state(sinceBoot())
	s.Instance, s.ActiveRequests = g.settings.Instance, g.activeRequests.Load()
	if relayed, ok := g.store.(*news.RelayedStore); ok {
		s.RelayAddress = relayed.CurrentRelay()
	}
	s.IsRelay = g.relayPeer != nil && g.relayPeer.isRelay
	if g.draining.Load() {
		s.Ready, s.Reason = false, "instance is leaving"
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		g.log.Warn("response to a status request was not sent", zap.Error(err))
	}
}
