package rating

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

func requestRating(t *testing.T, server *Server, request, answer string) (int, float64) {
	t.Helper()
	raw, err := json.Marshal(ratingRequest{Request: request, Class: "quick", Version: "m-1", Answer: answer})
	assert.NilError(t, err)
	response, err := http.Post(server.URL()+"/v1/ratings", "application/json", strings.NewReader(string(raw)))
	assert.NilError(t, err)
	defer response.Body.Close()
	var result struct{ Score float64 }
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&result))
	return response.StatusCode, result.Score
}

// Guards against ratings that do not distinguish good answers from poor ones, and against
// faults for missing and biased ratings that have no effect.
func TestScoresAndFaults(t *testing.T) {
	s := New(Config{})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	messages := []api.ChatMessage{{Role: "user", Content: "q"}}
	good, poor := engine.Answer("m-1", messages, 8), engine.PoorAnswer("m-1", messages, 8)

	_, score := requestRating(t, server, "r1", good)
	assert.Equal(t, score, GoodScore)
	_, score = requestRating(t, server, "r2", poor)
	assert.Equal(t, score, PoorScore)

	s.Faults().Set(base.Fault{Kind: base.FaultBias, Bias: -0.3}, base.Fault{Kind: base.FaultRefuse, Request: "r4"})
	_, score = requestRating(t, server, "r3", good)
	assert.Assert(t, score < 0.61 && score > 0.59, "%v", score)
	status, _ := requestRating(t, server, "r4", good)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, s.Ledger().Snapshot().RunsByRequest["r4"], 0)
}
