package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minErrorDeviations is the number of standard deviations by which an error rate
// must exceed that of the peers.
const minErrorDeviations = 2

// outcomeStats holds outcome counts with exponentially decaying weight.
type outcomeStats struct {
	decayedAt      time.Time
	succeeded      float64
	failed         float64
	latencySeconds float64 // weighted sum over the answers
}

// decay reduces the weights to their value at now.
func (s *outcomeStats) decay(now time.Time, halfLife time.Duration) {
	if !s.decayedAt.IsZero() && now.After(s.decayedAt) {
		factor := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(halfLife))
		s.succeeded *= factor
		s.failed *= factor
		s.latencySeconds *= factor
	}
	s.decayedAt = now
}

func (s *outcomeStats) add(outcome Outcome, latency time.Duration) {
	if outcome != Succeeded {
		s.failed++
		return
	}
	s.succeeded++
	s.latencySeconds += latency.Seconds()
}

// errorRate returns the fraction of failures, or 0 if there are no outcomes.
func errorRate(failed, ok float64) float64 {
	if failed+ok <= 0 {
		return 0
	}
	return failed / (failed + ok)
}

// decayedStats returns the stats of a version, created if missing and decayed to
// now.
func (h *HealthTracker) decayedStats(stats map[string]*outcomeStats, version string) *outcomeStats {
	s, ok := stats[version]
	if !ok {
		s = &outcomeStats{}
		stats[version] = s
	}
	s.decay(h.now, h.cfg.HalfLife)
	return s
}

func (h *HealthTracker) recordAttempt(e AttemptEnded) {
	s, ok := h.servers[e.Server]
	if !ok || !slices.Contains(s.versions, e.Version) {
		return
	}
	serverStats := h.decayedStats(s.stats, e.Version)
	serverStats.add(e.Outcome, e.Latency)
	versionStats := h.decayedStats(h.totals, e.Version)
	versionStats.add(e.Outcome, e.Latency)
	switch e.Outcome {
	case Unreachable:
		h.eject(s, ReasonUnreachable)
	case Failed:
		if h.exceedsPeerErrorRate(s, serverStats, versionStats) {
			h.eject(s, ReasonErrors)
		}
	}
}

// exceedsPeerErrorRate reports whether a server's error rate is too far above that
// of the other servers of the version. The excess must also be significant for the
// number of outcomes: without that check, three servers of ten were ejected when a
// version failed 60% of its requests on all of them. A server that is ramping up
// needs only half of MinFailures.
func (h *HealthTracker) exceedsPeerErrorRate(s *server, serverStats, versionStats *outcomeStats) bool {
	minFailures := h.cfg.MinFailures
	if s.step != finalStep() {
		minFailures /= 2
	}
	peerRate := errorRate(max(versionStats.failed-serverStats.failed, 0), max(versionStats.succeeded-serverStats.succeeded, 0))
	deviation := math.Sqrt(peerRate * (1 - peerRate) / max(serverStats.failed+serverStats.succeeded, 1))
	return serverStats.failed >= minFailures && errorRate(serverStats.failed, serverStats.succeeded) >= peerRate+h.cfg.MinErrorExcess+minErrorDeviations*deviation
}

func (h *HealthTracker) tick() {
	for _, version := range sortedKeys(h.serving) {
		h.ejectSlowServers(version)
	}
	for _, s := range h.sorted {
		h.advanceStep(s)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// ejectSlowServers ejects the servers of a version whose mean latency exceeds the
// median of its servers by more than MaxLatencyRatio.
func (h *HealthTracker) ejectSlowServers(version string) {
	type candidate struct {
		server             *server
		meanLatencySeconds float64
	}
	var candidates []candidate
	for _, s := range h.serving[version] {
		stats := h.decayedStats(s.stats, version)
		if stats.succeeded >= h.cfg.MinSamples {
			candidates = append(candidates, candidate{server: s, meanLatencySeconds: stats.latencySeconds / stats.succeeded})
		}
	}
	if len(candidates) < 2 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.meanLatencySeconds, b.meanLatencySeconds) })
	// Use the lower median, so that of two servers the faster one is the reference.
	median := candidates[(len(candidates)-1)/2].meanLatencySeconds
	for i := len(candidates) - 1; i > 0 && candidates[i].meanLatencySeconds > h.cfg.MaxLatencyRatio*median; i-- {
		h.eject(candidates[i].server, ReasonLatency)
	}
}

// eject takes a server out of traffic unless too many servers are ejected already.
// Each strike doubles the duration of the ejection.
func (h *HealthTracker) eject(s *server, reason ShareReason) {
	if s.step == ejectedStep || !h.canEject(s, reason) {
		return
	}
	s.strikes++
	wait := h.cfg.BaseEjectionTime << min(s.strikes-1, 16)
	h.updateShare(s, reason, func() {
		s.step = ejectedStep
		s.stepEndsAt = h.now.Add(min(wait, h.cfg.MaxEjectionTime))
	})
	// Discard the outcomes that caused the ejection, also from the version's totals,
	// so that they are not counted again.
	for version, serverStats := range s.stats {
		versionStats := h.decayedStats(h.totals, version)
		versionStats.succeeded, versionStats.failed = max(versionStats.succeeded-serverStats.succeeded, 0), max(versionStats.failed-serverStats.failed, 0)
	}
	s.stats = map[string]*outcomeStats{}
}

// canEject reports whether the ejection limit of every version of the server
// permits ejecting it. For a refused connection it is enough that another server
// has traffic.
func (h *HealthTracker) canEject(s *server, reason ShareReason) bool {
	for _, version := range s.versions {
		all := h.serving[version]
		ejected, othersWithTraffic := 0, 0
		for _, other := range all {
			if other == s {
				continue
			}
			if other.step == ejectedStep {
				ejected++
			}
			if other.share() > 0 {
				othersWithTraffic++
			}
		}
		allowed := max(1, int(h.cfg.MaxEjectedShare*float64(len(all))))
		if othersWithTraffic == 0 || reason != ReasonUnreachable && ejected+1 > allowed {
			return false
		}
	}
	return true
}

// advanceStep moves a server to its next ramp-up step when the current step has
// ended. For a server with full traffic it removes a strike when one expires.
func (h *HealthTracker) advanceStep(s *server) {
	if s.step == finalStep() {
		if s.strikes > 0 && h.now.After(s.strikeExpiresAt) {
			s.strikes--
			s.strikeExpiresAt = h.now.Add(h.cfg.StrikeDecayTime)
		}
		return
	}
	if h.now.Before(s.stepEndsAt) {
		return
	}
	h.updateShare(s, ReasonReturning, func() {
		s.step++
		s.stepEndsAt = h.now.Add(h.cfg.RampStepTime)
		s.strikeExpiresAt = h.now.Add(h.cfg.StrikeDecayTime)
	})
}

// restoreLastServer returns an ejected server to full traffic if a version has no
// other server with traffic, because a server that may be faulty serves some requests
// and no server serves none. It chooses the ready and alive server with the fewest
// strikes.
func (h *HealthTracker) restoreLastServer(versions []string) {
	for _, version := range versions {
		var best *server
		hasTraffic := false
		for _, s := range h.serving[version] {
			if s.share() > 0 {
				hasTraffic = true
				break
			}
			usable := s.step == ejectedStep && s.signals.Ready && s.signals.Alive
			if usable && (best == nil || s.strikes < best.strikes) {
				best = s
			}
		}
		if hasTraffic || best == nil {
			continue
		}
		h.updateShare(best, ReasonLastServer, func() { best.step = finalStep() })
		best.strikeExpiresAt = h.now.Add(h.cfg.StrikeDecayTime)
	}
}
