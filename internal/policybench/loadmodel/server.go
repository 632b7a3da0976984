package loadmodel

import (
	"math"
	"time"
)

// Server models one backend server with continuous batching: each step yields
// one token for every running request, and takes Base plus PerRequest for each
// of them; above Knee requests a step takes ten times PerRequest for each one
// more, as with exhausted cache memory.
type Server struct {
	Base       time.Duration
	PerRequest time.Duration
	Knee       int

	sim     *Sim
	running []*run
	at      time.Time
	epoch   int
}

type run struct {
	left float64
	done func()
}

// NewServer returns an idle server.
func NewServer(sim *Sim, base, perRequest time.Duration, knee int) *Server {
	return &Server{Base: base, PerRequest: perRequest, Knee: knee, sim: sim, at: sim.Now}
}

// Step returns the duration of a step with n running requests.
func (s *Server) Step(n int) time.Duration {
	step := s.Base + time.Duration(n)*s.PerRequest
	if s.Knee > 0 && n > s.Knee {
		step += time.Duration(n-s.Knee) * 10 * s.PerRequest
	}
	return step
}

// Rate returns the tokens per second with n running requests.
func (s *Server) Rate(n int) float64 { return float64(n) / s.Step(n).Seconds() }

// Running returns the number of running requests.
func (s *Server) Running() int { return len(s.running) }

// Start runs a request of some tokens and calls done at its end.
func (s *Server) Start(tokens float64, done func()) {
	s.advance()
	s.running = append(s.running, &run{left: tokens, done: done})
	s.plan()
}

func (s *Server) advance() {
	if n := len(s.running); n > 0 {
		made := s.sim.Now.Sub(s.at).Seconds() / s.Step(n).Seconds()
		for _, r := range s.running {
			r.left -= made
		}
	}
	s.at = s.sim.Now
}

// plan schedules the next end; a later plan makes it void.
func (s *Server) plan() {
	s.epoch++
	epoch, least := s.epoch, math.Inf(1)
	for _, r := range s.running {
		least = math.Min(least, r.left)
	}
	if len(s.running) == 0 {
		return
	}
	wait := Seconds(math.Max(least, 0)*s.Step(len(s.running)).Seconds()) + time.Nanosecond
	s.sim.After(wait, func() {
		if s.epoch == epoch {
			s.finish()
		}
	})
}

func (s *Server) finish() {
	s.advance()
	var ended []*run
	kept := s.running[:0]
	for _, r := range s.running {
		if r.left <= 1e-6 {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = kept
	s.plan()
	for _, r := range ended {
		r.done()
	}
}
