package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// ask sends an operator's question to the metrics listener.
func ask(t *testing.T, gw *gatewayHarness, query string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + gw.gateway.settings.MetricsAddress + "/explain?" + query) //nolint:noctx // answered at once
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against a question that sends or counts something, an answer that names another worker than the one
// that gets the request, and a refusal whose rule is not named.
func TestExplainAnswersWithoutSending(t *testing.T) {
	a, b := startWorker(t, "a", answerOK), startWorker(t, "b", answerOK)
	s := testSettings(t)
	s.MetricsAddress, s.MaxEvacuateDelay = freeAddress(t), time.Second
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(a.worker())
	away := b.worker()
	away.FailureDomain = "b"
	store.PutWorker(away)
	gw := startGatewayWith(t, s, store)
	gw.waitFor("workers are known", func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == 2 })
	store.PutEvacuation("b")
	gw.waitFor("order is in force", func() bool { return len(gw.evacuated()) == 1 })

	status, body := ask(t, gw, "route=stream&customer=ada&prompt=5c1e:800,91bd:40&deadline=4s")
	assert.Equal(t, status, http.StatusOK, body)
	var e Explanation
	assert.NilError(t, json.Unmarshal([]byte(body), &e))
	assert.Equal(t, e.Worker, "a")
	assert.Equal(t, e.Service, "svc")
	assert.Equal(t, e.NextModel, "medium")
	assert.Equal(t, len(e.Candidates), 1)
	c := e.Candidates[0]
	assert.Equal(t, c.Score, c.Load+c.Failures+c.OtherPool+c.Leaving, "the parts do not add up")
	assert.DeepEqual(t, e.Excluded, map[string]forward.Exclusion{"b": forward.ExcludedEvacuated})
	assert.Equal(t, len(a.requests())+len(b.requests()), 0)
	assert.Equal(t, gw.gateway.metrics.requests.Get(), uint64(0))

	store.PutEvacuation("a")
	gw.waitFor("both orders are in force", func() bool { return len(gw.evacuated()) == 2 })
	_, body = ask(t, gw, "route=unsafe")
	e = Explanation{}
	assert.NilError(t, json.Unmarshal([]byte(body), &e))
	assert.Equal(t, e.Worker, "")
	assert.Check(t, e.Reason != "" && len(e.Excluded) == 2, body)

	for query, problem := range map[string]string{
		"route=none": "route", "route=safe&customer=eve": "customer", "route=safe&service=other": "service", "route=safe&deadline=soon": "deadline",
	} {
		status, body = ask(t, gw, query)
		assert.Equal(t, status, http.StatusBadRequest, query)
		assert.Check(t, strings.Contains(body, problem), body)
	}
}
