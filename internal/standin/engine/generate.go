package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
)

type generateBody struct {
	Request    string            `json:"request"`
	Attempt    int               `json:"attempt"`
	Version    string            `json:"version"`
	Customer   string            `json:"customer"`
	Messages   []api.ChatMessage `json:"messages"`
	MaxTokens  int               `json:"maxTokens"`
	Priority   int               `json:"priority"`
	Offset     int               `json:"offset"`
	DeadlineMs int               `json:"deadlineMs"`
}

// refusal is an answer to a request that did not run.
type refusal struct {
	status int
	reason string
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body generateBody
	if !base.ReadJSON(w, r, &body) {
		return
	}
	if body.Request == "" || len(body.Messages) == 0 || body.Offset < 0 {
		base.WriteError(w, http.StatusBadRequest, "request, messages and an offset of at least 0 are required")
		return
	}
	hit := e.faults.Match(base.Call{
		Request: body.Request, Attempt: body.Attempt, Target: body.Version, Customer: body.Customer,
	})
	s, out, refused := e.accept(body, hit)
	if refused != nil {
		e.ledger.Refuse()
		w.Header().Set("Retry-After", "1")
		base.WriteError(w, refused.status, refused.reason)
		return
	}
	defer e.abandon(s)
	e.respond(w, r, s, out)
}

// accept queues a request or says why it does not run.
func (e *Engine) accept(body generateBody, hit base.Hit) (*sequence, *stream, *refusal) {
	if hit.Has(base.FaultRefuse) {
		return nil, nil, &refusal{hit.Status(base.FaultRefuse, http.StatusServiceUnavailable), "refused by a fault"}
	}
	if time.Since(e.started) < e.config.StartTime {
		return nil, nil, &refusal{http.StatusServiceUnavailable, "engine is starting"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.versions[body.Version] {
		return nil, nil, &refusal{http.StatusNotFound, "version " + strconv.Quote(body.Version) + " is not loaded"}
	}
	if len(e.queue) >= e.config.Queue {
		return nil, nil, &refusal{http.StatusTooManyRequests, "queue is full"}
	}
	id := attemptID{body.Request, body.Attempt}
	if e.byID[id] != nil {
		return nil, nil, &refusal{http.StatusConflict, "attempt is already running"}
	}
	s := e.newSequence(id, body, hit)
	out := s.out
	e.byID[id] = s
	e.queue = append(e.queue, s)
	e.cross(s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, out, nil
}

func (e *Engine) newSequence(id attemptID, body generateBody, hit base.Hit) *sequence {
	e.arrivals++
	seed := seedOf(body.Version, body.Messages)
	length := answerLength(seed, body.MaxTokens)
	quality, rated := e.config.Quality[body.Version]
	return &sequence{
		body: body, id: id, hit: hit, seed: seed,
		poor:    hit.Has(base.FaultPoor) || (rated && Difficulty(body.Messages) >= quality),
		arrival: e.arrivals, arrived: time.Now(),
		length: length, next: min(body.Offset, length),
		prompt: PromptTokens(body.Messages),
		out:    newStream(),
		handle: e.ledger.Start(base.Run{
			Request: body.Request, Attempt: body.Attempt, Customer: body.Customer,
			Version: body.Version, Offset: body.Offset, Body: Digest(body.Messages),
		}),
	}
}

// cross swaps the streams of two requests that the fault cross hits.
func (e *Engine) cross(s *sequence) {
	if !s.hit.Has(base.FaultCross) {
		return
	}
	if e.crossing == nil {
		e.crossing = s
		return
	}
	s.out, e.crossing.out = e.crossing.out, s.out
	e.crossing = nil
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
	}
	if !base.ReadJSON(w, r, &body) {
		return
	}
	e.cancelAttempt(attemptID{body.Request, body.Attempt})
	base.WriteJSON(w, http.StatusOK, struct{}{})
}

// endData is the data of the end event.
type endData struct {
	Request      string  `json:"request"`
	Attempt      int     `json:"attempt"`
	InputTokens  int     `json:"inputTokens"`
	CachedTokens int     `json:"cachedTokens"`
	OutputTokens int     `json:"outputTokens"`
	FinishReason string  `json:"finishReason"`
	Confidence   float64 `json:"confidence"`
}

func (e *Engine) endOf(s *sequence, reason string) []byte {
	// Encoding a struct of strings and finite numbers cannot fail.
	raw, _ := json.Marshal(endData{
		Request: s.body.Request, Attempt: s.body.Attempt,
		InputTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.next,
		FinishReason: reason, Confidence: e.confidence(s),
	})
	return raw
}

// confidence is high for good answers and low for poor ones, with noise.
func (e *Engine) confidence(s *sequence) float64 {
	center := 0.85
	if s.poor {
		center = 0.35
	}
	noise := (unit(mix(s.seed^0xc0ffee)) - 0.5) * e.config.ConfidenceNoise
	return min(1, max(0, center+noise))
}
