package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a question that is not passed on as it was asked, and against an answer that is printed
// without the worker, the terms or the rules.
func TestExplainPrintsTheAnswer(t *testing.T) {
	var asked []string
	answer := `{"instance":"g","failureDomain":"a","config":7,"route":"r","service":"svc","worker":"w1","leftFor":"load","maxAttempts":3,"retryLeft":true,"nextModel":"l",
 "admission":{"outcome":"run","roomWaitMs":40,"queued":0},"candidates":[{"worker":"w1","failureDomain":"b","score":2.5,"load":2,"leaving":0.5}],"excluded":{"w2":"cold"}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RequestURI())
		_, _ = w.Write([]byte(answer)) // a failed write fails the test below
	}))
	defer server.Close()
	at := strings.TrimPrefix(server.URL, "http://")
	call := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := run(t.Context(), append([]string{"explain", "--at", at}, args...), streams{in: strings.NewReader(""), out: &out, err: &out})
		return code, out.String()
	}
	code, out := call("--route", "r", "--customer", "ada", "--prompt", "5c1e:800", "--deadline", "5s")
	assert.Equal(t, code, exitOK, out)
	for _, part := range []string{"w1, leaves the failure domain for load", "run, 0 waiting, room after 40 ms", "asks l", "2.50", "w2 is left out: cold"} {
		assert.Check(t, strings.Contains(out, part), "%q is missing in\n%s", part, out)
	}
	code, out = call("--route", "r", "--output", "json")
	assert.Check(t, code == exitOK && strings.Contains(out, `"leftFor": "load"`), out)
	answer = `{"reason":"no worker of the service may get the request","candidates":[],"excluded":{"w2":"evacuated"}}`
	code, out = call("--route", "r")
	assert.Check(t, code == exitFailure && strings.Contains(out, "nowhere") && strings.Contains(out, "w2 is left out: evacuated"), out)
	assert.DeepEqual(t, asked, []string{"/explain?customer=ada&deadline=5s&prompt=5c1e%3A800&route=r", "/explain?route=r", "/explain?route=r"})
}
