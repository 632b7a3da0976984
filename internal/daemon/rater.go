package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	ratingQueueSize = 256
	ratingWorkers   = 4
	// defaultRatingTimeout bounds one rating when the settings give no timeout.
	defaultRatingTimeout = 2 * time.Second
	// maxRatingBytes bounds an answer of the rating service, which holds one number.
	maxRatingBytes = 64 << 10
)

// rater sends answers to the rating service. When the queue is full, an answer is dropped
// without a rating, since ratings are samples.
type rater struct {
	url      string
	timeout  time.Duration
	client   *http.Client
	queue    *ring.Queue[entry.RateAnswer]
	onRating func(entry.RatingReceived)
}

// newRater returns a rater that passes each outcome to onRating. It returns nil when the
// settings name no rating service.
func newRater(s *api.RatingSettings, onRating func(entry.RatingReceived)) *rater {
	if s == nil {
		return nil
	}
	timeout := defaultRatingTimeout
	if s.TimeoutMs > 0 {
		timeout = ms(s.TimeoutMs)
	}
	return &rater{url: s.URL, timeout: timeout, client: &http.Client{Transport: ratingTransport()}, queue: ring.New[entry.RateAnswer](ratingQueueSize), onRating: onRating}
}

func ratingTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone() //nolint:forcetypeassert // net/http documents the type
	t.MaxResponseHeaderBytes = framing.MaxHeadBytes
	// A rating names no request, so that a second copy of one on a connection in use again would be
	// taken for that of the next answer.
	t.DisableKeepAlives = true
	return t
}

// submit queues an answer for rating. It does nothing on a nil rater.
func (r *rater) submit(e entry.RateAnswer) {
	if r != nil {
		r.queue.TryPut(e)
	}
}

func (r *rater) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.queue.Items():
			score, err := r.rate(ctx, e)
			r.onRating(entry.RatingReceived{Request: e.Request, Stage: e.Stage, Score: score, Err: err})
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

// rate calls the rating service and returns the score of an answer, from 0 to 1.
func (r *rater) rate(ctx context.Context, e entry.RateAnswer) (float64, error) {
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
		return 0, fmt.Errorf("rating service answered with status %d, expected 200", resp.StatusCode)
	}
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRatingBytes)).Decode(&answer); err != nil {
		return 0, eris.Wrap(err, "answer of the rating service is not valid JSON")
	}
	switch {
	case answer.Score == nil:
		return 0, eris.New("answer of the rating service has no score")
	case *answer.Score < 0 || *answer.Score > 1:
		return 0, fmt.Errorf("rating %g is outside the allowed range from 0 to 1", *answer.Score)
	}
	return *answer.Score, nil
}
