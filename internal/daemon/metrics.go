package daemon

import (
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

// statsInterval is how often the main loop publishes its figures.
const statsInterval = 100 * time.Millisecond

// publishStats hands the core's figures to the metrics, which are read by the
// health goroutine.
func (l *entryLoop) publishStats(now time.Time) {
	if now.Before(l.nextStats) {
		return
	}
	l.nextStats = now.Add(statsInterval)
	stats := l.core.Stats()
	l.stats.Store(&stats)
}

// registerMetrics exposes the figures of an entry.
func (d *entryDaemon) registerMetrics() {
	gauge := func(name string, value func(*entry.Stats) int) {
		d.metrics.NewGauge(name, func() float64 {
			if s := d.loop.stats.Load(); s != nil {
				return float64(value(s))
			}
			return 0
		})
	}
	gauge("borageflow_entry_requests_running", func(s *entry.Stats) int { return s.Running })
	gauge("borageflow_entry_backend_servers", func(s *entry.Stats) int { return s.BackendServers })
	gauge("borageflow_entry_attempts_total", func(s *entry.Stats) int { return s.Attempts })
	gauge("borageflow_entry_tokens_total", func(s *entry.Stats) int { return s.Tokens })
	gauge("borageflow_entry_parts_dropped_total", func(s *entry.Stats) int { return s.DroppedParts })
	gauge("borageflow_entry_probes_failed_total", func(s *entry.Stats) int { return s.FailedProbes })
	gauge("borageflow_entry_ejections_total", func(s *entry.Stats) int { return s.Ejections })
	gauge("borageflow_entry_cutbacks_total", func(s *entry.Stats) int { return s.CutBacks })
	gauge("borageflow_entry_usage_records_unwritten", func(s *entry.Stats) int { return s.UsageRecords })
	gauge("borageflow_entry_usage_bytes_unwritten", func(s *entry.Stats) int { return s.UsageBytes })
	gauge("borageflow_entry_claims_remembered", func(s *entry.Stats) int { return s.Claims })
	for _, k := range errkind.All() {
		gauge(fmt.Sprintf("borageflow_entry_refusals_total{kind=%q}", k), func(s *entry.Stats) int { return s.Kinds[k] })
	}
	d.ringMetrics("entry_events", d.loop.events.Len, d.loop.events.Refused)
	d.ringMetrics("trace", d.record.records.Len, d.record.records.Refused)
	d.ringMetrics("exchange", d.control.events.Len, d.control.events.Refused)
	d.ringMetrics("outbox", d.outbox.items.Len, d.outbox.items.Refused)
	d.byteMetrics(d.node.Counters())
}

// ringMetrics exposes the fill and the refusals of a ring.
func (c *common) ringMetrics(name string, length func() int, refused func() uint64) {
	c.metrics.NewGauge(fmt.Sprintf("borageflow_ring_length{ring=%q}", name), func() float64 { return float64(length()) })
	c.metrics.NewGauge(fmt.Sprintf("borageflow_ring_refused_total{ring=%q}", name), func() float64 { return float64(refused()) })
}

// byteMetrics exposes the traffic between daemons.
func (c *common) byteMetrics(counters *peer.Counters) {
	c.metrics.NewGauge("borageflow_peer_sent_bytes_total", func() float64 { return float64(counters.SentBytes.Load()) })
	c.metrics.NewGauge("borageflow_peer_received_bytes_total", func() float64 { return float64(counters.ReceivedBytes.Load()) })
}

// revisionMetrics exposes the revision of the manifest in force; 0 means none.
func (c *common) revisionMetrics(x *control) {
	gauge := func(name string, value func(api.Revision) int) {
		c.metrics.NewGauge(name, func() float64 { return float64(value(x.hello().Revision)) })
	}
	gauge("borageflow_manifest_generation", func(r api.Revision) int { return r.Generation })
	gauge("borageflow_manifest_version", func(r api.Revision) int { return r.Version })
}
