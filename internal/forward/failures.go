package forward

import (
	"math"
	"time"
)

// The failures of a worker are requests that ended without an answer. One that fails some of its
// requests while its health checks are good is noticed late by the ejection of workers where many
// processes each send it a few requests a second.
const (
	// failureHalfLife is the time in which a failure loses half of its weight.
	failureHalfLife = 3 * time.Second
	// failurePenalty is the load that one failure counts as, in requests.
	failurePenalty = 4
	// peerFailurePenalty is the load that one failure of another process counts as. The
	// failures of all processes are added up.
	peerFailurePenalty = 0.5
	// minStatedFailures is the weight below which a failure is not stated any more.
	minStatedFailures = 0.1
	// answerDecay is the factor by which an answer reduces the failures of its worker.
	answerDecay = 0.7
)

func (s *workerState) recentFailures(now Elapsed) float64 {
	return decayed(s.failures, now-s.failedAt)
}

// decayed returns the weight of failures after a time.
func decayed(failures float64, age time.Duration) float64 {
	if failures == 0 {
		return 0
	}
	return failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// RecordFailure records that a request to a worker ended without an answer.
func (p *Placer) RecordFailure(now Elapsed, id string) {
	if s := p.workers[id]; s != nil {
		s.failures, s.failedAt = s.recentFailures(now)+1, now
	}
}

// RecordAnswer records that a worker answered a request.
func (p *Placer) RecordAnswer(now Elapsed, id string) {
	if s := p.workers[id]; s != nil && s.failures > 0 {
		s.failures, s.failedAt = answerDecay*s.recentFailures(now), now
	}
}

// SetPeerFailures sets the failures that the other processes together had at each worker, by ID.
func (p *Placer) SetPeerFailures(now Elapsed, failures func(id string) float64) {
	for id, s := range p.workers {
		s.peerFailures, s.peerFailuresAt = failures(id), now
	}
}

// OwnFailures calls report for each worker at which this process had failures lately.
func (p *Placer) OwnFailures(now Elapsed, report func(id string, failures float64)) {
	for id, s := range p.workers {
		if failures := s.recentFailures(now); failures > minStatedFailures {
			report(id, failures)
		}
	}
}
