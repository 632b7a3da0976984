package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
)

type generateRequest struct {
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

// refusal is the HTTP status and the reason with which a request is refused without a run.
type refusal struct {
	status int
	reason string
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body generateRequest
	if !base.ReadJSON(w, r, &body) {
		return
	}
	if body.Request == "" || len(body.Messages) == 0 || body.Offset < 0 {
		base.WriteError(w, http.StatusBadRequest, "request and messages are required, and offset must be at least 0")
		return
	}
	matched := e.faults.Match(base.Call{
		Request: body.Request, Attempt: body.Attempt, Target: body.Version, Customer: body.Customer,
	})
	s, out, refused := e.enqueue(body, matched)
	if refused != nil {
		e.ledger.CountRefusal()
		w.Header().Set("Retry-After", "1")
		base.WriteError(w, refused.status, refused.reason)
		return
	}
	defer e.dropAbandoned(s)
	e.respond(w, r, s, out)
}

// enqueue adds a request to the queue and returns the stream of its events, or returns the
// refusal.
func (e *Engine) enqueue(body generateRequest, matched base.MatchedFaults) (*sequence, *stream, *refusal) {
	if matched.Has(base.FaultRefuse) {
		return nil, nil, &refusal{matched.StatusOr(base.FaultRefuse, http.StatusServiceUnavailable), "injected fault: request refused"}
	}
	if time.Since(e.startedAt) < e.config.StartTime {
		return nil, nil, &refusal{http.StatusServiceUnavailable, "engine is starting"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.versions[body.Version] {
		return nil, nil, &refusal{http.StatusNotFound, "version " + strconv.Quote(body.Version) + " is not loaded"}
	}
	if len(e.queue) >= e.config.MaxQueued {
		return nil, nil, &refusal{http.StatusTooManyRequests, "queue is full"}
	}
	id := attemptID{body.Request, body.Attempt}
	if e.attempts[id] != nil {
		return nil, nil, &refusal{http.StatusConflict, "attempt of this request is already running"}
	}
	s := e.newSequence(id, body, matched)
	out := s.out
	e.attempts[id] = s
	e.queue = append(e.queue, s)
	e.swapStreams(s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, out, nil
}

func (e *Engine) newSequence(id attemptID, body generateRequest, matched base.MatchedFaults) *sequence {
	e.arrivalCount++
	seed := answerSeed(body.Version, body.Messages)
	length := answerLength(seed, body.MaxTokens)
	quality, hasQuality := e.config.Quality[body.Version]
	return &sequence{
		body: body, id: id, faults: matched, seed: seed,
		poor:          matched.Has(base.FaultPoor) || (hasQuality && Difficulty(body.Messages) >= quality),
		arrivalNumber: e.arrivalCount, arrivedAt: time.Now(),
		answerTokens: length, nextToken: min(body.Offset, length),
		promptTokens: PromptTokens(body.Messages),
		out:          newStream(),
		runHandle: e.ledger.StartRun(base.Run{
			Request: body.Request, Attempt: body.Attempt, Customer: body.Customer,
			Version: body.Version, Offset: body.Offset, BodyDigest: Digest(body.Messages),
		}),
	}
}

// swapStreams swaps the streams of two requests that FaultCross matches. The first of them
// is remembered until the second arrives.
func (e *Engine) swapStreams(s *sequence) {
	if !s.faults.Has(base.FaultCross) {
		return
	}
	if e.pendingSwap == nil {
		e.pendingSwap = s
		return
	}
	s.out, e.pendingSwap.out = e.pendingSwap.out, s.out
	e.pendingSwap = nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
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

// endData is the data of the end event of a stream.
type endData struct {
	Request      string  `json:"request"`
	Attempt      int     `json:"attempt"`
	InputTokens  int     `json:"inputTokens"`
	CachedTokens int     `json:"cachedTokens"`
	OutputTokens int     `json:"outputTokens"`
	FinishReason string  `json:"finishReason"`
	Confidence   float64 `json:"confidence"`
}

func (e *Engine) encodeEnd(s *sequence, reason string) []byte {
	// Encoding a struct of strings and finite numbers cannot fail.
	raw, _ := json.Marshal(endData{
		Request: s.body.Request, Attempt: s.body.Attempt,
		InputTokens: s.promptTokens, CachedTokens: s.cachedTokens, OutputTokens: s.nextToken,
		FinishReason: reason, Confidence: e.confidence(s),
	})
	return raw
}

// confidence returns the stated confidence in [0, 1]: high for good answers and low for poor
// ones, with noise that depends on the prompt.
func (e *Engine) confidence(s *sequence) float64 {
	center := 0.85
	if s.poor {
		center = 0.35
	}
	noise := (unitFraction(splitMix64(s.seed^0xc0ffee)) - 0.5) * e.config.ConfidenceNoise
	return min(1, max(0, center+noise))
}
