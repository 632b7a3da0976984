package service

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/standin/base"
)

func startService(t *testing.T, config Config) (*Service, *Server) {
	t.Helper()
	s := New(config)
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return s, server
}

func callBook(ctx context.Context, server *Server, request, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL()+"/v1/operations/book", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("X-Request-Id", request)
	r.Header.Set("X-Attempt", "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// Guards against answers that depend on anything but the operation and the body, and
// against runs that the ledger does not count.
func TestAnswerAndLedger(t *testing.T) {
	s, server := startService(t, Config{})
	for range 2 {
		status, text, err := callBook(t.Context(), server, "r1", `{"seat":1}`)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, string(Answer("book", []byte(`{"seat":1}`))))
	}
	assert.Equal(t, s.Ledger().Snapshot().RunsByRequest["r1"], 2)
	assert.Equal(t, s.Ledger().Snapshot().Runs[1].RunNumber, 2)
}

// Guards against a service at capacity that runs a call although it refuses it.
func TestCapacity(t *testing.T) {
	s, server := startService(t, Config{Capacity: 1})
	s.Faults().Set(base.Fault{Kind: base.FaultDelay, Request: "slow", DelayMs: 200})
	done := make(chan error, 1)
	go func() {
		_, _, err := callBook(context.Background(), server, "slow", "{}")
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Ledger().Snapshot().RunsByRequest["slow"] == 1 {
			return poll.Success()
		}
		return poll.Continue("the slow call has not started")
	}, poll.WithDelay(time.Millisecond))
	status, _, err := callBook(t.Context(), server, "r2", "{}")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, s.Ledger().Snapshot().RunsByRequest["r2"], 0)
	assert.NilError(t, <-done)
}
