package burn

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// notOurs are the error kinds that the caller or an operator brought about. They
// count neither as good nor as bad.
var notOurs = map[errkind.Kind]bool{
	errkind.InvalidRequest: true, errkind.Unauthenticated: true, errkind.ForbiddenVersion: true,
	errkind.UnknownModel: true, errkind.PayloadTooLarge: true, errkind.RateLimited: true,
	errkind.SessionInvalid: true, errkind.VersionWithdrawn: true,
	errkind.DuplicateInProgress: true, errkind.Conflict: true,
}

// meter is one objective with its series.
type meter struct {
	objective api.Objective
	series    *series
}

// Meter measures every objective of a manifest. It is not safe for concurrent
// use.
type Meter struct {
	meters   []meter
	deadline map[string]time.Duration // by class
	waiting  map[string]waiting       // arrivals without an end, by request
	counters map[counterKey]api.CounterSample
	from, to time.Duration // first and last event
	any      bool
}

type waiting struct {
	class string
	at    time.Duration
}

type counterKey struct {
	instance, class string
	objective       int
}

// NewMeter returns a meter for the objectives of a manifest.
func NewMeter(manifest api.Manifest) *Meter {
	m := &Meter{
		deadline: map[string]time.Duration{}, waiting: map[string]waiting{},
		counters: map[counterKey]api.CounterSample{},
	}
	for _, class := range manifest.Classes {
		m.deadline[class.Name] = time.Duration(class.DeadlineMs) * time.Millisecond
	}
	for _, objective := range manifest.Objectives {
		m.meters = append(m.meters, meter{objective: objective, series: newSeries()})
	}
	return m
}

// maxUs bounds a time in microseconds (142 years), so that neither the
// conversion to a duration nor the addition of a window overflows.
const maxUs = 1 << 52

func microseconds(us int) time.Duration {
	return time.Duration(min(max(us, 0), maxUs)) * time.Microsecond
}

// Record takes a trace record. Arrivals and ends count; other events only move
// the time on.
func (m *Meter) Record(record api.TraceRecord) {
	at := microseconds(record.At)
	m.seen(at)
	switch record.Event {
	case api.TraceEventArrival:
		m.waiting[record.Request] = waiting{class: record.Class, at: at}
	case api.TraceEventEnd:
		m.end(record, at)
	}
}

func (m *Meter) end(record api.TraceRecord, at time.Duration) {
	if record.Class == "" {
		record.Class = m.waiting[record.Request].class
	}
	delete(m.waiting, record.Request)
	for _, each := range m.meters {
		if each.objective.Class != record.Class {
			continue
		}
		good, counts := judge(each.objective, record)
		if counts {
			each.series.add(at, one(good), 1)
		}
	}
}

func one(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// judge reports whether a request is good and whether it counts at all.
func judge(o api.Objective, r api.TraceRecord) (good, counts bool) {
	if r.ErrorKind != "" {
		return false, !notOurs[errkind.Kind(r.ErrorKind)]
	}
	return within(r.FirstTokenUs, o.FirstTokenMs) &&
		within(betweenTokens(r), o.TokenMs) && within(r.TotalUs, o.TotalMs), true
}

func within(us, boundMs int) bool { return boundMs == 0 || us <= boundMs*1000 }

// betweenTokens returns the mean time between tokens, in microseconds.
func betweenTokens(r api.TraceRecord) int {
	if r.OutputTokens < 2 {
		return 0
	}
	return (r.TotalUs - r.FirstTokenUs) / (r.OutputTokens - 1)
}

// Counter takes a reading of cumulative counters. A reading below the one before
// means that the process has restarted.
func (m *Meter) Counter(sample api.CounterSample) {
	at := microseconds(sample.At)
	m.seen(at)
	key := counterKey{sample.Instance, sample.Class, sample.Objective}
	before := m.counters[key]
	if sample.Good < before.Good || sample.Total < before.Total {
		before = api.CounterSample{}
	}
	m.counters[key] = sample
	if target := m.find(sample.Class, sample.Objective); target != nil {
		target.series.add(at, uint64(sample.Good-before.Good), uint64(sample.Total-before.Total))
	}
}

// find returns the n-th objective of a class, or nil.
func (m *Meter) find(class string, n int) *meter {
	for i := range m.meters {
		if m.meters[i].objective.Class != class {
			continue
		}
		if n == 0 {
			return &m.meters[i]
		}
		n--
	}
	return nil
}

func (m *Meter) seen(at time.Duration) {
	if !m.any || at < m.from {
		m.from = at
	}
	m.to = max(m.to, at)
	m.any = true
}

// Expire counts every arrival that has had no end by its class's deadline as
// bad, at that deadline. Call it after the last record.
func (m *Meter) Expire(now time.Duration) {
	for request, w := range m.waiting {
		due := w.at + m.deadline[w.class]
		if due > now || due < w.at {
			continue
		}
		delete(m.waiting, request)
		for _, each := range m.meters {
			if each.objective.Class == w.class {
				each.series.add(due, 0, 1)
			}
		}
	}
}

// Status returns the burn rates of every objective at now.
func (m *Meter) Status(now time.Duration) []api.ObjectiveStatus {
	statuses := make([]api.ObjectiveStatus, 0, len(m.meters))
	for _, each := range m.meters {
		status := api.ObjectiveStatus{Class: each.objective.Class, Target: each.objective.Target}
		for _, window := range Windows {
			status.Windows = append(status.Windows, each.window(now, window))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (m meter) window(now, window time.Duration) api.BurnWindow {
	good, total := m.series.sum(now, window)
	return api.BurnWindow{
		Seconds: int(window.Seconds()), Good: good, Total: total,
		Burn: rate(m.objective.Target, good, total),
	}
}

// rate returns the burn rate: the share of bad requests divided by the share that
// the target permits. 1 uses the budget up exactly at the end of its period.
func rate(target float64, good, total int) float64 {
	if total == 0 {
		return 0
	}
	bad := float64(total-good) / float64(total)
	return bad / (1 - target)
}
