package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second worker for a request that must not run twice, that has no run, time or use for one left,
// or under which workers end.
func TestMayHedge(t *testing.T) {
	sound := SilenceState{Kind: Safe, Runs: 0, MaxRuns: 3, Remaining: time.Second, UsualTime: 20 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(s *SilenceState)
		want   bool
	}{
		"safe":                    {func(*SilenceState) {}, true},
		"nothing known":           {func(s *SilenceState) { s.UsualTime = 0 }, true},
		"second hedge":            {func(s *SilenceState) { s.Runs = 1 }, true},
		"no run left":             {func(s *SilenceState) { s.Runs = 2 }, false},
		"one run allowed":         {func(s *SilenceState) { s.MaxRuns = 1 }, false},
		"no time left":            {func(s *SilenceState) { s.Remaining = minRetryTime }, false},
		"usually answered later":  {func(s *SilenceState) { s.UsualTime = HedgeTime }, false},
		"workers end under it":    {func(s *SilenceState) { s.Suspected = true }, false},
		"unsafe":                  {func(s *SilenceState) { s.Kind = Unsafe }, false},
		"stream, also resumable":  {func(s *SilenceState) { s.Kind = Stream }, false},
		"stream with all at hand": {func(s *SilenceState) { s.Kind, s.MaxRuns, s.Remaining = Stream, 9, time.Minute }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := sound
			c.change(&s)
			assert.Equal(t, s.MayHedge(), c.want)
		})
	}
	assert.Assert(t, HedgeTime < 400*time.Millisecond, "two workers may run a request for 400 ms at most")
}
