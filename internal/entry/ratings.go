package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/rollout"
)

const (
	// maxPendingRatings bounds the number of answers that wait for a score.
	maxPendingRatings = 1024
	// ratingTTL is how long an answer waits for its score; a later score is
	// ignored.
	ratingTTL = time.Minute
)

type ratingKey struct {
	request string
	stage   int
}

type pendingRating struct {
	observation cascade.Observation
	sentAt      time.Time
}

// pendingRatings holds the answers that were sent for rating. order lists their
// keys by ascending time.
type pendingRatings struct {
	byKey map[ratingKey]pendingRating
	order []ratingKey
}

func newPendingRatings() *pendingRatings {
	return &pendingRatings{byKey: map[ratingKey]pendingRating{}}
}

// add returns false when maxPendingRatings answers are waiting.
func (s *pendingRatings) add(k ratingKey, p pendingRating) bool {
	if len(s.byKey) >= maxPendingRatings {
		return false
	}
	s.byKey[k] = p
	s.order = append(s.order, k)
	return true
}

func (s *pendingRatings) remove(k ratingKey) (pendingRating, bool) {
	p, ok := s.byKey[k]
	delete(s.byKey, k)
	return p, ok
}

// expire removes answers that have waited for their score for ratingTTL.
func (s *pendingRatings) expire(now time.Time) {
	for len(s.order) > 0 {
		p, ok := s.byKey[s.order[0]]
		if ok && now.Sub(p.sentAt) < ratingTTL {
			return
		}
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
}

// observeAnswer reports an answer to the cascade planner and sends a sample of
// the answers to the rating service.
func (c *Core) observeAnswer(now time.Time, r *request, result *api.RunResult, escalated bool) {
	o := cascade.Observation{
		Class: r.class, Version: r.version, Confidence: result.Confidence, Escalated: escalated,
		PreviousVersion: r.previousVersion, PreviousConfidence: r.previousConfidence,
		OutputTokens: result.OutputTokens, MaxTokens: r.MaxTokens,
	}
	c.planner.Observe(now, o)
	if !r.sampledForRating {
		return
	}
	key := ratingKey{r.Request, r.stage}
	if !c.ratings.add(key, pendingRating{observation: o, sentAt: now}) {
		return
	}
	c.emit(RateAnswer{
		Request: r.Request, Stage: r.stage, Class: r.class.Name, Version: r.version,
		Prompt: lastPrompt(r.Messages), Text: string(r.answerText), Timeout: c.cfg.RatingTimeout,
	})
}

func lastPrompt(messages []api.ChatMessage) string {
	if len(messages) == 0 {
		return ""
	}
	return messages[len(messages)-1].Content
}

// handleRatingReceived reports a score to the cascade planner and to the
// rollout of the version.
func (c *Core) handleRatingReceived(now time.Time, e RatingReceived) {
	p, ok := c.ratings.remove(ratingKey{e.Request, e.Stage})
	if !ok || e.Err != nil {
		return
	}
	o := p.observation
	o.Rating, o.RatingIsLate = &e.Score, true
	c.planner.Observe(now, o)
	c.observeVersion(now, rollout.Sample{Version: o.Version, Class: o.Class.Name, Rating: &e.Score, RatingOnly: true})
	c.emit(Trace{api.TraceRecord{
		Event: api.TraceEventRating, Request: e.Request, Stage: e.Stage, Version: o.Version, Class: o.Class.Name, Rating: e.Score,
	}})
}
