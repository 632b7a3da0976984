package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/borageflow/borageflow/internal/errkind"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	set               *metrics.Set
	requests          *metrics.Counter
	retries           *metrics.Counter
	escalations       *metrics.Counter
	abortedResponses  *metrics.Counter
	workerConnections *metrics.Counter
}

func newGatewayMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set:               set,
		requests:          set.NewCounter("borageflow_gateway_requests_total"),
		retries:           set.NewCounter("borageflow_gateway_repeats_total"),
		escalations:       set.NewCounter("borageflow_gateway_escalations_total"),
		abortedResponses:  set.NewCounter("borageflow_gateway_cut_total"),
		workerConnections: set.NewCounter("borageflow_gateway_worker_connections_total"),
	}
}

func (m *gatewayMetrics) countRefusal(kind errkind.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_refused_total{kind=%q}", kind)).Inc()
}

// countEscalation counts a request for which a larger model was asked, by what came of it. The
// routes of the configuration are few, and requests on unknown routes are refused before.
func (m *gatewayMetrics) countEscalation(route, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_escalation_outcomes_total{route=%q,outcome=%q}", route, outcome)).Inc()
}

func (m *gatewayMetrics) observeRequest(outcome string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("borageflow_gateway_request_seconds{outcome=%q}", outcome)).Update(d.Seconds())
}

func (m *gatewayMetrics) countLoadExchange(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_load_exchanges_total{ok=\"%t\"}", ok)).Inc()
}

// countStoreCall counts a call to the store, or a response of a relay in its place.
func (m *gatewayMetrics) countStoreCall(topic string, relayed, ok bool) {
	if relayed {
		m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_relayed_answers_total{topic=%q}", topic)).Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_store_calls_total{topic=%q,ok=\"%t\"}", topic, ok)).Inc()
}
