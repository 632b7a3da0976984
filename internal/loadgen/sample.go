package loadgen

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Headers of the caller API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "X-Borageflow-Class"
	headerSession        = "X-Borageflow-Session"
	headerDeadline       = "X-Borageflow-Deadline-Ms"
	headerVersion        = "X-Borageflow-Version"
)

// maxResponseBytes is the maximum size of a response that is read at once.
const maxResponseBytes = 16 << 20

// sample is the outcome of one request.
type sample struct {
	class         int
	skipped       bool
	complete      bool
	wrong         bool
	poor          bool
	sessionMoved  bool
	errorKind     string // an errkind.Kind; empty when the response stated none
	runState      string
	version       string
	requestDigest string // digest under which ledgers record the request
	cost          float64
	costKnown     bool
	outputTokens  int
	sendLag       time.Duration // from the scheduled arrival until the request was sent
	firstToken    time.Duration // from the scheduled arrival; 0 without a token
	total         time.Duration // from the scheduled arrival
	tokenGaps     []time.Duration
}

// isLost reports whether a sent request got neither a complete answer nor an error of a known
// kind.
func (s *sample) isLost() bool { return !s.skipped && !s.complete && s.errorKind == "" }

// errorBody is the body of an error response or the data of an error event of a stream.
type errorBody struct {
	Error *struct {
		Kind          string `json:"kind"`
		Type          string `json:"type"`
		Code          any    `json:"code"`
		RunState      string `json:"runState"`
		RunStateSnake string `json:"run_state"`
	} `json:"error"`
}

// recordError sets the error kind and the run state from an error body. A kind that errkind
// does not define is ignored, so that the request counts as lost.
func (s *sample) recordError(raw []byte) {
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return
	}
	code, _ := body.Error.Code.(string)
	for _, name := range []string{body.Error.Kind, code, body.Error.Type} {
		if errkind.Parse(name) == errkind.Kind(name) {
			s.errorKind = name
			break
		}
	}
	s.runState = body.Error.RunState
	if s.runState == "" {
		s.runState = body.Error.RunStateSnake
	}
}

func (s *sample) recordErrorResponse(response *http.Response) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return
	}
	s.recordError(raw)
}

// claimsNotRun reports whether the error states that the request did not run.
func (s *sample) claimsNotRun() bool { return s.runState == string(api.RunStateNotRun) }

// setCost sets the cost of an answer from its tokens and its price per 1,000 tokens, if the
// price is known.
func (s *sample) setCost(perKilo float64, known bool, tokens int) {
	if !known {
		return
	}
	s.cost = perKilo * float64(tokens) / 1000
	s.costKnown = true
}
