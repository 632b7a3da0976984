package adminclient

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/admin"
)

// Guards against a long response that is cut and then reported as invalid JSON, or used in part.
func TestLongResponseIsRefusedAsSuch(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
		_, _ = w.Write(bytes.Repeat([]byte(" "), maxResponseBytes))
	}))
	defer server.Close()
	c, err := New(Options{URL: server.URL, Key: "k"})
	assert.NilError(t, err)
	_, err = c.Claim(context.Background(), admin.ClaimKey{})
	assert.ErrorContains(t, err, "larger than")
}
