package daemon

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

// statsInterval is the time between two updates of the statistics behind the metrics.
const statsInterval = 100 * time.Millisecond

// publishStats copies the core's statistics for the metrics, which the health server reads
// in other goroutines.
func (l *entryLoop) publishStats(now time.Time) {
	if now.Before(l.nextStatsAt) {
		return
	}
	l.nextStatsAt = now.Add(statsInterval)
	stats := l.core.Stats()
	l.stats.Store(&stats)
}

// registerMetrics exposes the metrics of an entry.
func (d *entryDaemon) registerMetrics() {
	gauge := func(name string, value func(*entry.Stats) int) {
		d.metrics.NewGauge(name, func() float64 {
			if s := d.loop.stats.Load(); s != nil {
				return float64(value(s))
			}
			return 0
		})
	}
	gauge("borageflow_entry_requests_running", func(s *entry.Stats) int { return s.RunningRequests })
	gauge("borageflow_entry_backend_servers", func(s *entry.Stats) int { return s.BackendServers })
	gauge("borageflow_entry_attempts_total", func(s *entry.Stats) int { return s.Attempts })
	gauge("borageflow_entry_tokens_total", func(s *entry.Stats) int { return s.DeliveredTokens })
	gauge("borageflow_entry_parts_dropped_total", func(s *entry.Stats) int { return s.DroppedParts })
	gauge("borageflow_entry_probes_failed_total", func(s *entry.Stats) int { return s.FailedProbes })
	gauge("borageflow_entry_ejections_total", func(s *entry.Stats) int { return s.Ejections })
	gauge("borageflow_entry_cutbacks_total", func(s *entry.Stats) int { return s.CutBacks })
	gauge("borageflow_entry_usage_records_unwritten", func(s *entry.Stats) int { return s.UnwrittenUsageRecords })
	gauge("borageflow_entry_usage_bytes_unwritten", func(s *entry.Stats) int { return s.UnwrittenUsageBytes })
	gauge("borageflow_entry_claims_remembered", func(s *entry.Stats) int { return s.RememberedClaims })
	for _, k := range errkind.All() {
		gauge(fmt.Sprintf("borageflow_entry_refusals_total{kind=%q}", k), func(s *entry.Stats) int { return s.ErrorsByKind[k] })
	}
	for reason, count := range map[string]*atomic.Int64{"closed_unread": &d.memory.unread, "given_up": &d.memory.givenUp, "refused_head": &d.memory.heads} {
		d.metrics.NewGauge(fmt.Sprintf("borageflow_entry_callers_turned_away_total{reason=%q}", reason), func() float64 { return float64(count.Load()) })
	}
	d.registerQueueMetrics("entry_events", d.loop.events.Len, d.loop.events.RefusedCount)
	d.registerQueueMetrics("trace", d.recorder.records.Len, d.recorder.records.RefusedCount)
	d.registerQueueMetrics("exchange", d.exchange.events.Len, d.exchange.events.RefusedCount)
	d.registerQueueMetrics("outbox", d.outbox.queue.Len, d.outbox.queue.RefusedCount)
	d.registerTrafficMetrics(d.node.Counters())
}

// registerQueueMetrics exposes the length of a queue and the number of items that it
// refused.
func (b *base) registerQueueMetrics(name string, length func() int, refused func() uint64) {
	b.metrics.NewGauge(fmt.Sprintf("borageflow_ring_length{ring=%q}", name), func() float64 { return float64(length()) })
	b.metrics.NewGauge(fmt.Sprintf("borageflow_ring_refused_total{ring=%q}", name), func() float64 { return float64(refused()) })
}

// registerTrafficMetrics exposes the bytes that are sent to and received from other daemons.
func (b *base) registerTrafficMetrics(counters *peer.Counters) {
	b.metrics.NewGauge("borageflow_peer_sent_bytes_total", func() float64 { return float64(counters.SentBytes.Load()) })
	b.metrics.NewGauge("borageflow_peer_received_bytes_total", func() float64 { return float64(counters.ReceivedBytes.Load()) })
}

// registerRevisionMetrics exposes the revision of the manifest in force; 0 if there is
// none.
func (b *base) registerRevisionMetrics(exchange *exchangeLoop) {
	gauge := func(name string, value func(api.Revision) int) {
		b.metrics.NewGauge(name, func() float64 { return float64(value(exchange.localHello().Revision)) })
	}
	gauge("borageflow_manifest_generation", func(r api.Revision) int { return r.Generation })
	gauge("borageflow_manifest_version", func(r api.Revision) int { return r.Version })
}
