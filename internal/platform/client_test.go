package platform

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against a second copy of a response about another object that is taken for the response to the next
// call: a claim would be read, or thought to be written, that is another one.
func TestAnswerAboutAnotherObjectIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"key":"claims/1","version":4,"value":{}}`)
	}))
	defer server.Close()
	c, err := NewClient(api.PlatformSettings{URL: server.URL})
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Get(t.Context(), "claims/1")
	assert.NilError(t, err)
	_, err = c.Get(t.Context(), "claims/2")
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	_, err = c.Watch(t.Context(), "claims/2", 1, 0)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	_, err = c.Put(t.Context(), "claims/2", []byte(`{}`), 0)
	assert.Assert(t, errors.Is(err, ErrAmbiguous), "%v", err)
}
