package base

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fault that applies to far more or fewer requests than its share, and
// against one that applies to more requests than its count.
func TestShareAndCount(t *testing.T) {
	f := NewFaults()
	f.Set(Fault{Kind: FaultRefuse, Share: 0.3}, Fault{Kind: FaultError, Count: 5})
	refused, failed := 0, 0
	const calls = 4000
	for i := range calls {
		matched := f.Match(Call{Request: strconv.Itoa(i)})
		if matched.Has(FaultRefuse) {
			refused++
		}
		if matched.Has(FaultError) {
			failed++
		}
	}
	// Three standard deviations of a share of 0.3 over 4,000 calls are 87.
	assert.Assert(t, refused > 1200-87 && refused < 1200+87, "%d", refused)
	assert.Equal(t, failed, 5)
}

// Guards against a misspelled fault kind that is accepted and then has no effect.
func TestUnknownFaultIsRefused(t *testing.T) {
	f := NewFaults()
	w := httptest.NewRecorder()
	body := strings.NewReader(`{"faults":[{"kind":"slowly"}]}`)
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/standin/faults", body))
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Equal(t, len(f.Active()), 0)
}
