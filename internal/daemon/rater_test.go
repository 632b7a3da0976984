package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
)

// Guards against a rating service that takes the memory of an entry by an answer without end.
func TestRatingWithoutEndIsRefused(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"score":0.5,"note":"`))
		for block := []byte(strings.Repeat("a", 64<<10)); err == nil; {
			_, err = w.Write(block)
			sent.Add(int64(len(block)))
		}
	}))
	defer server.Close()
	r := newRater(&api.RatingSettings{URL: server.URL}, func(entry.RatingReceived) {})
	started := time.Now()
	_, err := r.rate(t.Context(), entry.RateAnswer{})
	assert.ErrorContains(t, err, "rating service")
	assert.Assert(t, time.Since(started) < time.Second, "refused after %v and %d bytes", time.Since(started), sent.Load())
}
