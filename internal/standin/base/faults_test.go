package base

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a share that hits far more or fewer requests than it says, and
// against a count that is exceeded.
func TestShareAndCount(t *testing.T) {
	f := NewFaults()
	f.Set(Fault{Kind: FaultRefuse, Share: 0.3}, Fault{Kind: FaultError, Count: 5})
	refused, failed := 0, 0
	const calls = 4000
	for i := range calls {
		hit := f.Match(Call{Request: strconv.Itoa(i)})
		if hit.Has(FaultRefuse) {
			refused++
		}
		if hit.Has(FaultError) {
			failed++
		}
	}
	// Three standard deviations of a share of 0.3 over 4,000 calls are 87.
	assert.Assert(t, refused > 1200-87 && refused < 1200+87, "%d", refused)
	assert.Equal(t, failed, 5)
}

// Guards against a misspelt fault that is accepted and then never acts.
func TestUnknownFaultIsRefused(t *testing.T) {
	f := NewFaults()
	w := httptest.NewRecorder()
	body := strings.NewReader(`{"faults":[{"kind":"slowly"}]}`)
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/standin/faults", body))
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Equal(t, len(f.Active()), 0)
}
