package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller that gets a second copy of the answer to another request, whole or in part, which
// a worker sends late on a connection in use again, and against a refusal that is not true.
func TestCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	answer := func(id, body string) string {
		head := "HTTP/1.1 200 OK\r\n"
		if id != "" {
			head += DefaultHeaderNames.RequestID + ": " + id + "\r\n"
		}
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const betweenRequests = 30 * time.Millisecond
	copies := map[string]func(id string) string{
		"whole":                      func(id string) string { return answer(id, "first") },
		"whole, without ID":          func(string) string { return answer("", "first") },
		"refusal, without ID":        func(string) string { return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" },
		"half of the body":           func(id string) string { a := answer(id, strings.Repeat("first", 40)); return a[:len(a)-100] },
		"half of the head":           func(id string) string { return answer(id, "first")[:25] },
		"informational, then whole":  func(id string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + answer(id, "first") },
		"twice":                      func(id string) string { return answer(id, "first") + answer(id, "first") },
		"stream event without frame": func(string) string { return "id: 1\ndata: first\n\n" },
	}
	delays := map[string]time.Duration{"at once": 0, "after 1 ms": time.Millisecond, "after 100 ms": 100 * time.Millisecond, "with the next request": -1}
	for name, copyOf := range copies {
		for when, delay := range delays {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				first := ""
				w := startWorker(t, "w1", func(n int, c net.Conn, r receivedRequest) bool {
					id := r.request.Header.Get(DefaultHeaderNames.RequestID)
					switch {
					case n == 1:
						first = id
						writeResponse(c, r, 200, "answer 1")
						if delay >= 0 {
							time.Sleep(delay)
							fmt.Fprint(c, copyOf(id))
						}
						return true
					case n == 2 && delay < 0:
						fmt.Fprint(c, copyOf(first))
						time.Sleep(5 * time.Millisecond)
					}
					writeResponse(c, r, 200, fmt.Sprint("answer ", n))
					return true
				})
				gw := startGateway(t, w)
				for n := 1; n <= 4; n++ {
					resp := gw.call("POST", "/unsafe/x", "q")
					isOwn := resp.status == 200 && resp.err == nil && strings.HasPrefix(resp.body, "answer ") && (n > 1 || resp.body == "answer 1") && (n == 1 || resp.body != "answer 1")
					// The copy came behind the second request, whose answer may be lost with it: 502 and 504 promise
					// nothing.
					isUnknown := n == 2 && (delay < 0 || delay > betweenRequests) && (resp.status == 502 || resp.status == 504)
					assert.Assert(t, isOwn || isUnknown, "request %d: %d %q", n, resp.status, resp.body)
					time.Sleep(betweenRequests)
				}
				assert.Equal(t, len(w.requests()), 4, "a request that may not run twice did")
			})
		}
	}
}
