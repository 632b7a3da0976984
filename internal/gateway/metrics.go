package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/borageflow/borageflow/internal/admission"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/overload"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	set               *metrics.Set
	requests          *metrics.Counter
	retries           *metrics.Counter
	escalations       *metrics.Counter
	abortedResponses  *metrics.Counter
	workerConnections *metrics.Counter
	// silentAnswers counts attempts whose answer was overdue.
	silentAnswers *metrics.Counter

	mu sync.Mutex
	// unfinished holds the workers that have counters of unfinished answers, by their ID.
	unfinished *lru.LRU[string, struct{}]
}

// maxWorkersInMetrics bounds the workers that have counters of their own.
const maxWorkersInMetrics = 1024

func newGatewayMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	unfinished, err := lru.NewLRU(maxWorkersInMetrics, func(worker string, _ struct{}) {
		for _, cause := range framing.Causes {
			set.UnregisterMetric(unfinishedMetric(worker, cause))
		}
	})
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &gatewayMetrics{
		unfinished:        unfinished,
		set:               set,
		requests:          set.NewCounter("borageflow_gateway_requests_total"),
		retries:           set.NewCounter("borageflow_gateway_repeats_total"),
		escalations:       set.NewCounter("borageflow_gateway_escalations_total"),
		abortedResponses:  set.NewCounter("borageflow_gateway_cut_total"),
		workerConnections: set.NewCounter("borageflow_gateway_worker_connections_total"),
		silentAnswers:     set.NewCounter("borageflow_gateway_silent_answers_total"),
	}
}

// countHedge counts a second attempt beside a silent one, by its outcome. An answered one has replaced the first.
func (m *gatewayMetrics) countHedge(outcome forward.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_hedges_total{outcome=%q}", outcome)).Inc()
}

// countDomainBytes counts bytes that went to or came from another failure domain, by cause.
func (m *gatewayMetrics) countDomainBytes(cause string, bytes int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_domain_bytes_total{cause=%q,domain=\"other\"}", cause)).AddInt64(bytes)
}

func (m *gatewayMetrics) countRefusal(kind errkind.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_refused_total{kind=%q}", kind)).Inc()
}

// countGivenUp counts a connection that made room for a new one, by what the instance waited for.
func (m *gatewayMetrics) countGivenUp(phase overload.Phase) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_given_up_connections_total{phase=%q}", phase)).Inc()
}

// countOverload counts a request that was refused for a limit of the instance.
func (m *gatewayMetrics) countOverload(reason overload.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_overload_refused_total{limit=%q}", reason)).Inc()
}

// observeAdmission counts a request that waited for room or was refused.
func (m *gatewayMetrics) observeAdmission(priority int, d admission.Decision) {
	priority = min(max(priority, 0), limits.MaxClass)
	if d.Waited > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("borageflow_gateway_admission_wait_seconds{priority=\"%d\",outcome=%q}", priority, d.Action)).Update(d.Waited.Seconds())
	}
	if d.Action == admission.Refuse {
		m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_admission_refused_total{priority=\"%d\",reason=%q}", priority, d.Reason)).Inc()
	}
}

// countRetry counts a retry that reached a worker.
func (m *gatewayMetrics) countRetry(service string, cause forward.RetryCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_retries_total{service=%q,cause=%q}", service, cause)).Inc()
}

// showRetryBudget adds the gauge of the retry budget of a service, unless it exists.
func (m *gatewayMetrics) showRetryBudget(service string, left func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("borageflow_gateway_retry_budget{service=%q}", service), left)
}

// countRetryRefusal counts a retry that the budget did not allow.
func (m *gatewayMetrics) countRetryRefusal(service string, cause forward.RetryCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_retries_refused_total{service=%q,cause=%q}", service, cause)).Inc()
}

// countPanic counts an unexpected error that was contained.
func (m *gatewayMetrics) countPanic(duty string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_panics_total{duty=%q}", duty)).Inc()
}

// countWorkerEnd counts a worker that ended under a request.
func (m *gatewayMetrics) countWorkerEnd(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_worker_ends_total{service=%q}", service)).Inc()
}

// countUncountedBreak counts an answer that broke off and that counts as no end of a worker.
func (m *gatewayMetrics) countUncountedBreak(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_uncounted_breaks_total{reason=%q}", reason)).Inc()
}

// countEscalation counts a request for which a larger model was asked, by what came of it. The
// routes of the configuration are few, and requests on unknown routes are refused before.
func (m *gatewayMetrics) countEscalation(route, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_escalation_outcomes_total{route=%q,outcome=%q}", route, outcome)).Inc()
}

func unfinishedMetric(worker string, cause framing.Cause) string {
	return fmt.Sprintf("borageflow_gateway_unfinished_answers_total{worker=%q,cause=%q}", worker, cause)
}

// countUnfinished counts an answer of a worker that was not whole.
func (m *gatewayMetrics) countUnfinished(worker string, cause framing.Cause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfinished.Add(worker, struct{}{})
	m.set.GetOrCreateCounter(unfinishedMetric(worker, cause)).Inc()
}

func (m *gatewayMetrics) observeRequest(outcome string, d time.Duration, wasSent bool) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("borageflow_gateway_request_seconds{outcome=%q}", outcome)).Update(d.Seconds())
	if outcome == outcomeCallerLeft {
		m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_departed_callers_total{sent=\"%t\"}", wasSent)).Inc()
	}
}

func (m *gatewayMetrics) countLoadExchange(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_load_exchanges_total{ok=\"%t\"}", ok)).Inc()
}

// countPeerBytes counts the bytes of a call to another gateway and its answer, by whether it is in
// another failure domain.
func (m *gatewayMetrics) countPeerBytes(cause string, leavesDomain bool, bytes int) {
	domain := "own"
	if leavesDomain {
		domain = "other"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_domain_bytes_total{cause=%q,domain=%q}", cause, domain)).Add(bytes)
}

// countStoreCall counts a call to the store, or a response of a relay in its place.
func (m *gatewayMetrics) countStoreCall(topic string, relayed, ok bool) {
	if relayed {
		m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_relayed_answers_total{topic=%q}", topic)).Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("borageflow_gateway_store_calls_total{topic=%q,ok=\"%t\"}", topic, ok)).Inc()
}
