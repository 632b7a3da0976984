package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// deviations is the number of standard deviations by which an error rate must
// stand out.
const deviations = 2

// stat holds outcomes whose weight decays with time.
type stat struct {
	at      time.Time
	ok      float64
	failed  float64
	latency float64 // sum of weighted seconds of answers
}

func (s *stat) decay(now time.Time, halfLife time.Duration) {
	if !s.at.IsZero() && now.After(s.at) {
		factor := math.Exp2(-float64(now.Sub(s.at)) / float64(halfLife))
		s.ok *= factor
		s.failed *= factor
		s.latency *= factor
	}
	s.at = now
}

func (s *stat) add(failure Failure, latency time.Duration) {
	if failure != Succeeded {
		s.failed++
		return
	}
	s.ok++
	s.latency += latency.Seconds()
}

// errorRate returns the share of failures; 0 without outcomes.
func errorRate(failed, ok float64) float64 {
	if failed+ok <= 0 {
		return 0
	}
	return failed / (failed + ok)
}

func (h *Health) statOf(stats map[string]*stat, version string) *stat {
	s, ok := stats[version]
	if !ok {
		s = &stat{}
		stats[version] = s
	}
	s.decay(h.now, h.cfg.HalfLife)
	return s
}

func (h *Health) attemptEnded(e AttemptEnded) {
	s, ok := h.servers[e.Server]
	if !ok || !slices.Contains(s.versions, e.Version) {
		return
	}
	own := h.statOf(s.stats, e.Version)
	own.add(e.Failure, e.Latency)
	total := h.statOf(h.totals, e.Version)
	total.add(e.Failure, e.Latency)
	switch e.Failure {
	case Unreachable:
		h.eject(s, ReasonUnreachable)
	case Failed:
		if h.failsMore(s, own, total) {
			h.eject(s, ReasonErrors)
		}
	}
}

// failsMore compares a server with its peers on the same version. The excess must
// also stand out from the chance of so few outcomes: without that, three servers
// of ten were ejected when a version failed 60% of its requests on all of them. A
// server on its way back is judged by fewer failures.
func (h *Health) failsMore(s *server, own, total *stat) bool {
	need := h.cfg.MinFailures
	if s.step != fullStep() {
		need /= 2
	}
	peers := errorRate(max(total.failed-own.failed, 0), max(total.ok-own.ok, 0))
	deviation := math.Sqrt(peers * (1 - peers) / max(own.failed+own.ok, 1))
	return own.failed >= need && errorRate(own.failed, own.ok) >= peers+h.cfg.ErrorExcess+deviations*deviation
}

func (h *Health) tick() {
	for _, version := range sortedKeys(h.serving) {
		h.judgeLatency(version)
	}
	for _, name := range sortedKeys(h.servers) {
		h.advance(h.servers[name])
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

// judgeLatency ejects the servers of a version whose mean latency exceeds the
// median of all by the configured ratio.
func (h *Health) judgeLatency(version string) {
	type candidate struct {
		server *server
		mean   float64
	}
	var judged []candidate
	for _, s := range h.serving[version] {
		own := h.statOf(s.stats, version)
		if own.ok >= h.cfg.MinSamples {
			judged = append(judged, candidate{server: s, mean: own.latency / own.ok})
		}
	}
	if len(judged) < 2 {
		return
	}
	slices.SortFunc(judged, func(a, b candidate) int { return cmp.Compare(a.mean, b.mean) })
	// The lower median: of two servers the faster one is the measure.
	median := judged[(len(judged)-1)/2].mean
	for i := len(judged) - 1; i > 0 && judged[i].mean > h.cfg.LatencyRatio*median; i-- {
		h.eject(judged[i].server, ReasonLatency)
	}
}

// eject takes a server out of traffic unless too many are out already. Each
// strike doubles the time until it may come back.
func (h *Health) eject(s *server, reason ShareReason) {
	if s.step == ejectedStep || !h.mayEject(s, reason) {
		return
	}
	s.strikes++
	wait := h.cfg.EjectFor << min(s.strikes-1, 16)
	h.change(s, reason, func() {
		s.step = ejectedStep
		s.until = h.now.Add(min(wait, h.cfg.MaxEjectFor))
	})
	// The outcomes that led to the ejection count once.
	for version, own := range s.stats {
		total := h.statOf(h.totals, version)
		total.ok, total.failed = max(total.ok-own.ok, 0), max(total.failed-own.failed, 0)
	}
	s.stats = map[string]*stat{}
}

// mayEject checks the bound for each version that the server serves. A refused
// connection only has to leave another server.
func (h *Health) mayEject(s *server, reason ShareReason) bool {
	for _, version := range s.versions {
		all := h.serving[version]
		out, others := 0, 0
		for _, other := range all {
			if other == s {
				continue
			}
			if other.step == ejectedStep {
				out++
			}
			if other.share() > 0 {
				others++
			}
		}
		allowed := max(1, int(h.cfg.MaxEjected*float64(len(all))))
		if others == 0 || reason != ReasonUnreachable && out+1 > allowed {
			return false
		}
	}
	return true
}

// advance moves a server on its way back, or forgives a strike.
func (h *Health) advance(s *server) {
	if s.step == fullStep() {
		if s.strikes > 0 && h.now.After(s.forgive) {
			s.strikes--
			s.forgive = h.now.Add(h.cfg.ForgiveAfter)
		}
		return
	}
	if h.now.Before(s.until) {
		return
	}
	h.change(s, ReasonReturning, func() {
		s.step++
		s.until = h.now.Add(h.cfg.StepTime)
		s.forgive = h.now.Add(h.cfg.ForgiveAfter)
	})
}

// keepLast brings an ejected server back when its versions have no other one
// left: a doubtful server is better than none.
func (h *Health) keepLast(versions []string) {
	for _, version := range versions {
		var best *server
		served := false
		for _, s := range h.serving[version] {
			served = served || s.share() > 0
			usable := s.step == ejectedStep && s.signals.Ready && s.signals.Alive
			if usable && (best == nil || s.strikes < best.strikes) {
				best = s
			}
		}
		if served || best == nil {
			continue
		}
		h.change(best, ReasonLastServer, func() { best.step = fullStep() })
		best.forgive = h.now.Add(h.cfg.ForgiveAfter)
	}
}
