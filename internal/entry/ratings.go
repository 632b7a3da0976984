package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/rollout"
)

const (
	// maxPendingRatings bounds the answers that wait for a score.
	maxPendingRatings = 1024
	// ratingMemory is how long a late score is still used.
	ratingMemory = time.Minute
)

type ratingKey struct {
	request string
	stage   int
}

type pendingRating struct {
	observation cascade.Observation
	at          time.Time
}

// ratingSet holds the answers that were sent for rating.
type ratingSet struct {
	pending map[ratingKey]pendingRating
	order   []ratingKey
}

func newRatingSet() *ratingSet { return &ratingSet{pending: map[ratingKey]pendingRating{}} }

func (s *ratingSet) add(k ratingKey, p pendingRating) bool {
	if len(s.pending) >= maxPendingRatings {
		return false
	}
	s.pending[k] = p
	s.order = append(s.order, k)
	return true
}

func (s *ratingSet) take(k ratingKey) (pendingRating, bool) {
	p, ok := s.pending[k]
	delete(s.pending, k)
	return p, ok
}

// expire forgets answers whose score did not come.
func (s *ratingSet) expire(now time.Time) {
	for len(s.order) > 0 {
		p, ok := s.pending[s.order[0]]
		if ok && now.Sub(p.at) < ratingMemory {
			return
		}
		delete(s.pending, s.order[0])
		s.order = s.order[1:]
	}
}

// observeAnswer teaches the planner an answer and sends a sample for rating.
func (c *Core) observeAnswer(now time.Time, r *request, result *api.RunResult, escalated bool) {
	o := cascade.Observation{
		Class: r.class, Version: r.version, Confidence: result.Confidence, Escalated: escalated,
		PreviousVersion: r.previousVersion, PreviousConfidence: r.previousConfidence,
		OutputTokens: result.OutputTokens, MaxTokens: r.MaxTokens,
	}
	c.planner.Observe(now, o)
	if !r.sampled {
		return
	}
	key := ratingKey{r.Request, r.stage}
	if !c.ratings.add(key, pendingRating{observation: o, at: now}) {
		return
	}
	c.emit(Rate{
		Request: r.Request, Stage: r.stage, Class: r.class.Name, Version: r.version,
		Prompt: lastPrompt(r.Messages), Text: string(r.text), Timeout: c.cfg.RatingTimeout,
	})
}

func lastPrompt(messages []api.ChatMessage) string {
	if len(messages) == 0 {
		return ""
	}
	return messages[len(messages)-1].Content
}

func (c *Core) ratingArrived(now time.Time, e RatingArrived) {
	p, ok := c.ratings.take(ratingKey{e.Request, e.Stage})
	if !ok || e.Err != nil {
		return
	}
	o := p.observation
	o.Rating, o.Late = &e.Score, true
	c.planner.Observe(now, o)
	c.observeVersion(now, rollout.Sample{Version: o.Version, Class: o.Class.Name, Rating: &e.Score, RatingOnly: true})
	c.emit(Trace{api.TraceRecord{
		Event: api.TraceEventRating, Request: e.Request, Stage: e.Stage, Version: o.Version, Class: o.Class.Name, Rating: e.Score,
	}})
}
