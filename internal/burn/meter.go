package burn

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// excludedErrorKinds holds the error kinds that the caller or an operator caused. Requests
// that end with them count neither as good nor as bad.
var excludedErrorKinds = map[errkind.Kind]bool{
	errkind.InvalidRequest: true, errkind.Unauthenticated: true, errkind.ForbiddenVersion: true,
	errkind.UnknownModel: true, errkind.PayloadTooLarge: true, errkind.HeaderTooLarge: true, errkind.RateLimited: true,
	errkind.SessionInvalid: true, errkind.VersionWithdrawn: true,
	errkind.DuplicateInProgress: true, errkind.Conflict: true,
}

// objectiveMeter holds an objective and the counts of its requests.
type objectiveMeter struct {
	objective api.Objective
	counter   *slidingCounter
}

// Meter counts good and bad requests for every objective of a manifest. It is not safe
// for concurrent use.
type Meter struct {
	meters                    []objectiveMeter
	deadlineByClass           map[string]time.Duration
	openRequests              map[string]openRequest // arrivals without an end event, by request ID
	lastSamples               map[counterKey]api.CounterSample
	firstEventAt, lastEventAt time.Duration // since the start
	hasEvents                 bool
}

// openRequest is a request that has arrived and not ended.
type openRequest struct {
	class     string
	arrivedAt time.Duration
}

// counterKey identifies a counter: the n-th objective of a class, on one instance.
type counterKey struct {
	instance, class string
	objective       int
}

// NewMeter returns a meter for the objectives of a manifest. The deadlines of its classes
// bound how long an arrival may have no end.
func NewMeter(manifest api.Manifest) *Meter {
	m := &Meter{
		deadlineByClass: map[string]time.Duration{}, openRequests: map[string]openRequest{},
		lastSamples: map[counterKey]api.CounterSample{},
	}
	for _, class := range manifest.Classes {
		m.deadlineByClass[class.Name] = time.Duration(class.DeadlineMs) * time.Millisecond
	}
	for _, objective := range manifest.Objectives {
		m.meters = append(m.meters, objectiveMeter{objective: objective, counter: newSlidingCounter()})
	}
	return m
}

// maxTimeUs limits a time in microseconds to 142 years, so that neither the conversion
// to a duration nor the addition of a window overflows.
const maxTimeUs = 1 << 52

// microseconds converts a time to a duration, limited to the range 0 to maxTimeUs.
func microseconds(us int) time.Duration {
	return time.Duration(min(max(us, 0), maxTimeUs)) * time.Microsecond
}

// Record processes a trace record. Arrival and end events are counted; other events only
// extend the time range of the report.
func (m *Meter) Record(record api.TraceRecord) {
	at := microseconds(record.At)
	m.recordEventTime(at)
	switch record.Event {
	case api.TraceEventArrival:
		m.openRequests[record.Request] = openRequest{class: record.Class, arrivedAt: at}
	case api.TraceEventEnd:
		m.recordEnd(record, at)
	}
}

// recordEnd counts a request for every objective of its class. An end without a class
// takes the class of the arrival.
func (m *Meter) recordEnd(record api.TraceRecord, at time.Duration) {
	if record.Class == "" {
		record.Class = m.openRequests[record.Request].class
	}
	delete(m.openRequests, record.Request)
	for _, om := range m.meters {
		if om.objective.Class != record.Class {
			continue
		}
		good, counts := classify(om.objective, record)
		if counts {
			om.counter.add(at, countOf(good), 1)
		}
	}
}

// countOf returns 1 for a good request and 0 for a bad one.
func countOf(good bool) uint64 {
	if good {
		return 1
	}
	return 0
}

// classify reports whether a request meets the objective, and whether it counts at all:
// requests with an excluded error kind do not.
func classify(o api.Objective, r api.TraceRecord) (good, counts bool) {
	if r.ErrorKind != "" {
		return false, !excludedErrorKinds[errkind.Kind(r.ErrorKind)]
	}
	return meetsLimit(r.FirstTokenUs, o.FirstTokenMs) &&
		meetsLimit(meanTokenIntervalUs(r), o.TokenMs) && meetsLimit(r.TotalUs, o.TotalMs), true
}

// meetsLimit reports whether a time in microseconds is within a limit in milliseconds; a
// limit of 0 always holds.
func meetsLimit(us, limitMs int) bool { return limitMs == 0 || us <= limitMs*1000 }

// meanTokenIntervalUs returns the mean time between output tokens in microseconds, or 0 for
// fewer than two tokens.
func meanTokenIntervalUs(r api.TraceRecord) int {
	if r.OutputTokens < 2 {
		return 0
	}
	return (r.TotalUs - r.FirstTokenUs) / (r.OutputTokens - 1)
}

// RecordCounters processes a sample of cumulative counters and counts the increase since
// the previous sample. A sample below the previous one means that the process restarted;
// its full values are counted then.
func (m *Meter) RecordCounters(sample api.CounterSample) {
	at := microseconds(sample.At)
	m.recordEventTime(at)
	key := counterKey{sample.Instance, sample.Class, sample.Objective}
	previous := m.lastSamples[key]
	if sample.Good < previous.Good || sample.Total < previous.Total {
		previous = api.CounterSample{}
	}
	m.lastSamples[key] = sample
	if target := m.findObjective(sample.Class, sample.Objective); target != nil {
		target.counter.add(at, uint64(sample.Good-previous.Good), uint64(sample.Total-previous.Total))
	}
}

// findObjective returns the meter of the n-th objective of a class, counted from 0, or
// nil.
func (m *Meter) findObjective(class string, n int) *objectiveMeter {
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

// recordEventTime extends the time range of the report to an event.
func (m *Meter) recordEventTime(at time.Duration) {
	if !m.hasEvents || at < m.firstEventAt {
		m.firstEventAt = at
	}
	m.lastEventAt = max(m.lastEventAt, at)
	m.hasEvents = true
}

// Expire counts every arrival without an end as bad once the deadline of its class has
// passed, at the time of the deadline. Call it after the records up to now.
func (m *Meter) Expire(now time.Duration) {
	for id, request := range m.openRequests {
		due := request.arrivedAt + m.deadlineByClass[request.class]
		if due > now || due < request.arrivedAt {
			continue
		}
		delete(m.openRequests, id)
		for _, om := range m.meters {
			if om.objective.Class == request.class {
				om.counter.add(due, 0, 1)
			}
		}
	}
}

// Status returns the counts and burn rates of every objective, for each of Windows up to
// now.
func (m *Meter) Status(now time.Duration) []api.ObjectiveStatus {
	statuses := make([]api.ObjectiveStatus, 0, len(m.meters))
	for _, om := range m.meters {
		status := api.ObjectiveStatus{Class: om.objective.Class, Target: om.objective.Target}
		for _, window := range Windows {
			status.Windows = append(status.Windows, om.burnWindow(now, window))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// burnWindow returns the counts and the burn rate of the window that ends at now.
func (m objectiveMeter) burnWindow(now, window time.Duration) api.BurnWindow {
	good, total := m.counter.sum(now, window)
	return api.BurnWindow{
		Seconds: int(window.Seconds()), Good: good, Total: total,
		Burn: burnRate(m.objective.Target, good, total),
	}
}

// burnRate returns the burn rate: the share of bad requests divided by the share that the
// target allows. At a rate of 1 the error budget lasts exactly for its period.
func burnRate(target float64, good, total int) float64 {
	if total == 0 {
		return 0
	}
	bad := float64(total-good) / float64(total)
	return bad / (1 - target)
}
