package loadmodel

import (
	"math"
	"time"
)

// Server simulates a backend server with continuous batching. Each step generates one token for
// every running request. A step takes Base plus PerRequest for each running request; each
// request above Knee adds ten times PerRequest more, as with exhausted cache memory. Knee 0
// means no such limit.
type Server struct {
	Base       time.Duration
	PerRequest time.Duration
	Knee       int

	sim            *Sim
	running        []*serverRequest
	advancedAt     time.Time
	scheduleNumber int
}

type serverRequest struct {
	remainingTokens float64
	done            func()
}

// NewServer returns an idle server that runs on sim.
func NewServer(sim *Sim, base, perRequest time.Duration, knee int) *Server {
	return &Server{Base: base, PerRequest: perRequest, Knee: knee, sim: sim, advancedAt: sim.Now}
}

// StepTime returns the duration of a step with n running requests.
func (s *Server) StepTime(n int) time.Duration {
	step := s.Base + time.Duration(n)*s.PerRequest
	if s.Knee > 0 && n > s.Knee {
		step += time.Duration(n-s.Knee) * 10 * s.PerRequest
	}
	return step
}

// TokensPerSecond returns the tokens per second of all n running requests together.
func (s *Server) TokensPerSecond(n int) float64 { return float64(n) / s.StepTime(n).Seconds() }

// Running returns the number of running requests.
func (s *Server) Running() int { return len(s.running) }

// Start runs a request that generates the given number of tokens and calls done at its end.
func (s *Server) Start(tokens float64, done func()) {
	s.advance()
	s.running = append(s.running, &serverRequest{remainingTokens: tokens, done: done})
	s.scheduleNextEnd()
}

func (s *Server) advance() {
	if n := len(s.running); n > 0 {
		generatedTokens := s.sim.Now.Sub(s.advancedAt).Seconds() / s.StepTime(n).Seconds()
		for _, r := range s.running {
			r.remainingTokens -= generatedTokens
		}
	}
	s.advancedAt = s.sim.Now
}

// scheduleNextEnd schedules the end of the request with the fewest remaining tokens. A later
// call replaces the scheduled end.
func (s *Server) scheduleNextEnd() {
	s.scheduleNumber++
	number, fewestTokens := s.scheduleNumber, math.Inf(1)
	for _, r := range s.running {
		fewestTokens = math.Min(fewestTokens, r.remainingTokens)
	}
	if len(s.running) == 0 {
		return
	}
	wait := Seconds(math.Max(fewestTokens, 0)*s.StepTime(len(s.running)).Seconds()) + time.Nanosecond
	s.sim.After(wait, func() {
		if s.scheduleNumber == number {
			s.finishRequests()
		}
	})
}

func (s *Server) finishRequests() {
	s.advance()
	var ended []*serverRequest
	kept := s.running[:0]
	for _, r := range s.running {
		if r.remainingTokens <= 1e-6 { // tolerance for rounding errors
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = kept
	s.scheduleNextEnd()
	for _, r := range ended {
		r.done()
	}
}
