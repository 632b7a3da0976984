package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	ratingQueue   = 256
	ratingWorkers = 4
	// defaultRatingTimeout bounds one rating when settings state nothing.
	defaultRatingTimeout = 2 * time.Second
)

// rater sends answers to the rating service. A full queue drops a rating, since
// each is only a sample.
type rater struct {
	url     string
	timeout time.Duration
	client  *http.Client
	queue   *ring.Ring[entry.Rate]
	done    func(entry.RatingArrived)
}

// newRater returns nil when settings name no rating service.
func newRater(s *api.RatingSettings, done func(entry.RatingArrived)) *rater {
	if s == nil {
		return nil
	}
	timeout := defaultRatingTimeout
	if s.TimeoutMs > 0 {
		timeout = ms(s.TimeoutMs)
	}
	return &rater{url: s.URL, timeout: timeout, client: &http.Client{}, queue: ring.New[entry.Rate](ratingQueue), done: done}
}

func (r *rater) submit(e entry.Rate) {
	if r != nil {
		r.queue.Offer(e)
	}
}

func (r *rater) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.queue.Items():
			score, err := r.rate(ctx, e)
			r.done(entry.RatingArrived{Request: e.Request, Stage: e.Stage, Score: score, Err: err})
		}
	}
}

type ratingRequest struct {
	Request string `json:"request"`
	Class   string `json:"class"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

func (r *rater) rate(ctx context.Context, e entry.Rate) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	body, err := json.Marshal(ratingRequest{e.Request, e.Class, e.Version, e.Prompt, e.Text})
	if err != nil {
		return 0, eris.Wrap(err, "rating request cannot be encoded")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/ratings", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "rating request cannot be built")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "rating service cannot be reached")
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rating service answered status %d", resp.StatusCode)
	}
	var answer struct {
		Score float64 `json:"score"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, eris.Wrap(err, "rating is not valid JSON")
	}
	if answer.Score < 0 || answer.Score > 1 {
		return 0, fmt.Errorf("rating %g is outside 0 to 1", answer.Score)
	}
	return answer.Score, nil
}
