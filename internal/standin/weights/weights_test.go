package weights

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against loads above the rate limit, and against rate-limit responses without
// Retry-After.
func TestRateIsLimited(t *testing.T) {
	s := New(Config{PerSecond: 0.001, Burst: 2, Versions: []string{"m-1"}})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	for _, step := range []struct {
		version string
		status  int
	}{{"m-1", 200}, {"m-9", 404}, {"m-1", 200}, {"m-1", 429}} {
		response, err := http.Get(server.URL() + "/v1/weights/" + step.version)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, step.status)
		if step.status == http.StatusTooManyRequests {
			assert.Equal(t, response.Header.Get("Retry-After"), "1000")
		}
	}
	assert.Equal(t, s.Ledger().Snapshot().RunsByRequest["m-1"], 2)
}
