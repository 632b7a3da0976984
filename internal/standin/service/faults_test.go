package service

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// Guards against faults whose run state contradicts the protocol: a refused call must
// not run, and a call with any other fault must run once.
func TestFaults(t *testing.T) {
	for _, kind := range []base.FaultKind{base.FaultRefuse, base.FaultError, base.FaultCut, base.FaultTruncate} {
		t.Run(string(kind), func(t *testing.T) {
			s, server := startService(t, Config{})
			s.Faults().Set(base.Fault{Kind: kind, Target: "book", Count: 1})
			status, text, err := callBook(t.Context(), server, "r1", "{}")
			runs := s.Ledger().Snapshot().RunsByRequest["r1"]
			switch kind {
			case base.FaultRefuse:
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Equal(t, runs, 0)
			case base.FaultError:
				assert.Equal(t, status, http.StatusInternalServerError)
				assert.Equal(t, runs, 1)
			default:
				assert.Assert(t, err != nil, "answer %q", text)
				// http.Client does not retry a POST, so the call that was cut ran once.
				assert.Equal(t, runs, 1)
			}
			_, text, err = callBook(t.Context(), server, "r2", "{}")
			assert.NilError(t, err)
			assert.Equal(t, text, string(Answer("book", []byte("{}"))))
		})
	}
}

// Guards against FaultCross returning each answer to its own caller.
func TestCross(t *testing.T) {
	s, server := startService(t, Config{})
	s.Faults().Set(base.Fault{Kind: base.FaultCross})
	first := make(chan string, 1)
	go func() {
		_, text, _ := callBook(t.Context(), server, "r1", `"a"`)
		first <- text
	}()
	_, second, err := callBook(t.Context(), server, "r2", `"b"`)
	assert.NilError(t, err)
	assert.Equal(t, second, string(Answer("book", []byte(`"a"`))))
	assert.Equal(t, <-first, string(Answer("book", []byte(`"b"`))))
}
