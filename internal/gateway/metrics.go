package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/borageflow/borageflow/internal/errkind"
)

// meters are the counters and histograms of a gateway.
type meters struct {
	set         *metrics.Set
	requests    *metrics.Counter
	repeats     *metrics.Counter
	escalations *metrics.Counter
	cut         *metrics.Counter
	connections *metrics.Counter
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:         set,
		requests:    set.NewCounter("borageflow_gateway_requests_total"),
		repeats:     set.NewCounter("borageflow_gateway_repeats_total"),
		escalations: set.NewCounter("borageflow_gateway_escalations_total"),
		cut:         set.NewCounter("borageflow_gateway_cut_total"),
		connections: set.NewCounter("borageflow_gateway_worker_connections_total"),
	}
}

func (m *meters) refused(kind errkind.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_refused_total{kind=%q}", kind)).Inc()
}

func (m *meters) ended(outcome string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("borageflow_gateway_request_seconds{outcome=%q}", outcome)).Update(d.Seconds())
}

// storeCall counts a call to the store, or an answer of a relay in its place.
func (m *meters) storeCall(topic string, relayed, ok bool) {
	if relayed {
		m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_relayed_answers_total{topic=%q}", topic)).Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_store_calls_total{topic=%q,ok=\"%t\"}", topic, ok)).Inc()
}
