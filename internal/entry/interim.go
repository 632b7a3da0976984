package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

type sample struct {
	Version, Class string
	Failed         bool
	FirstTokenMs   float64
	Rating         *float64
	RatingOnly     bool
}

type shares struct{ s *manifest.Snapshot }

func (s *shares) Apply(m *manifest.Snapshot)              { s.s = m }
func (s *shares) Merge([]api.CutBack)                     {}
func (s *shares) CutBacks() []api.CutBack                 { return nil }
func (s *shares) Observe(time.Time, sample) []api.CutBack { return nil }
func (s *shares) Cut(string) bool                         { return false }
func (s *shares) Share(v string) float64 {
	if r, ok := s.s.Rollout(v); ok {
		return r.Steps[0]
	}
	return 1
}
