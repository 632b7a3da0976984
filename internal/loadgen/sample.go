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
	headerKey      = "Idempotency-Key"
	headerClass    = "X-Borageflow-Class"
	headerSession  = "X-Borageflow-Session"
	headerDeadline = "X-Borageflow-Deadline-Ms"
	headerVersion  = "X-Borageflow-Version"
)

// maxBody bounds a complete response, in bytes.
const maxBody = 16 << 20

// sample is what one request came to.
type sample struct {
	class    int
	notSent  bool
	complete bool
	wrong    bool
	poor     bool
	moved    bool
	kind     string // error kind of the closed list; empty when none was stated
	runState string
	version  string
	digest   string // ledger digest of the request
	cost     float64
	priced   bool
	tokens   int
	lag      time.Duration // how late the generator sent the request
	first    time.Duration // from the scheduled arrival; 0 when no token came
	total    time.Duration // from the scheduled arrival
	gaps     []time.Duration
}

func (s *sample) lost() bool { return !s.notSent && !s.complete && s.kind == "" }

// errorBody is the body of an error response, or an error event of a stream.
type errorBody struct {
	Error *struct {
		Kind     string `json:"kind"`
		Type     string `json:"type"`
		Code     any    `json:"code"`
		RunState string `json:"runState"`
		Snake    string `json:"run_state"`
	} `json:"error"`
}

// note takes the kind and the run state of an error. Kinds that are not in the
// closed list are no explanation, so the request counts as lost.
func (s *sample) note(raw []byte) {
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return
	}
	code, _ := body.Error.Code.(string)
	for _, name := range []string{body.Error.Kind, code, body.Error.Type} {
		if errkind.Parse(name) == errkind.Kind(name) {
			s.kind = name
			break
		}
	}
	s.runState = body.Error.RunState
	if s.runState == "" {
		s.runState = body.Error.Snake
	}
}

func (s *sample) noteResponse(response *http.Response) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return
	}
	s.note(raw)
}

// refusedUnrun reports whether the answer claims that the request did not run.
func (s *sample) refusedUnrun() bool { return s.runState == string(api.RunStateNotRun) }

// price sets the cost of an answer where the plan knows it.
func (s *sample) price(perKilo float64, known bool, tokens int) {
	if !known {
		return
	}
	s.cost = perKilo * float64(tokens) / 1000
	s.priced = true
}
