package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against actions that ask the gateway for something else than the operator named.
func TestQuarantineAsksGateway(t *testing.T) {
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.RequestURI)
		switch r.Method {
		case http.MethodGet:
			fmt.Fprint(w, `[{"service":"llm","part":"5c1e","version":"v1","endedWorkers":3,"tries":0,"remainingMs":599000}]`)
		case http.MethodDelete:
			http.Error(w, "part is not condemned", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	defer server.Close()
	address := " --address " + strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"quarantine list" + address, 0, "5c1e  v1       3"},
		{"quarantine set --service llm/a --part 5c1e --for 2h" + address, 0, ""},
		{"quarantine lift --service llm --part 5c1e" + address, 1, "part is not condemned"},
	} {
		code, out, errOut := runCommand(t, strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s%s", c.args, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.want), "%s: %s%s", c.args, out, errOut)
	}
	assert.DeepEqual(t, asked, []string{"GET /quarantine", "PUT /quarantine/5c1e?for=2h0m0s&service=llm%2Fa", "DELETE /quarantine/5c1e?service=llm"})
}
