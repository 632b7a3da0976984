package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// configChanges are changes of the configuration that concern a request on its way.
func configChanges() map[string]func(*forward.Config) {
	eachRoute := func(change func(*forward.Route)) func(*forward.Config) {
		return func(c *forward.Config) {
			for i := range c.Routes {
				change(&c.Routes[i])
			}
		}
	}
	return map[string]func(*forward.Config){
		"key withdrawn":  func(c *forward.Config) { c.Customers = map[string]forward.Customer{"key-2": {Name: "bo"}} },
		"routes removed": func(c *forward.Config) { c.Routes = nil },
		"other service":  eachRoute(func(r *forward.Route) { r.Splits = []forward.Split{{Service: "other", Weight: 1}} }),
		"service gone":   func(c *forward.Config) { c.Services = nil },
		"less time":      eachRoute(func(r *forward.Route) { r.Timeout = 50 * time.Millisecond }),
		"smaller bodies": func(c *forward.Config) { c.Limits.BodyBytes = 1 },
	}
}

// Guards against a whole request that gets neither an answer nor a refusal because the configuration changes while
// its body comes in, while it is at a worker, or between two attempts.
func TestConfigChangeLeavesNoRequestUnanswered(t *testing.T) {
	const body = "the body of the request"
	phases := map[string]string{
		"body comes in": "", "at a worker": "",
		"refused by a worker": fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", DefaultHeaderNames.NotRun),
		"failed by a worker":  "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno",
	}
	for changeName, change := range configChanges() {
		for phase, firstAnswer := range phases {
			for _, route := range []string{"safe", "unsafe", "stream", "once"} {
				t.Run(changeName+"/"+phase+"/"+route, func(t *testing.T) {
					t.Parallel()
					arrived, changed := make(chan struct{}, 10), make(chan struct{})
					script := func(_ int, c net.Conn, r receivedRequest) bool {
						arrived <- struct{}{}
						<-changed
						if firstAnswer != "" && len(arrived) == 0 { // the first arrival has been taken by then
							fmt.Fprint(c, firstAnswer)
							return false
						}
						writeResponse(c, r, http.StatusOK, formatEvent(1))
						return true
					}
					gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
					c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
					assert.NilError(t, err)
					defer func() { _ = c.Close() }()
					fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: r-1\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n%s",
						route, DefaultHeaderNames.RequestID, DefaultHeaderNames.DeadlineMs, len(body), body[:4])
					if phase == "body comes in" {
						time.Sleep(50 * time.Millisecond)
					} else {
						fmt.Fprint(c, body[4:])
						<-arrived
					}
					config := testConfig(2)
					change(config)
					gw.store.PutConfig(config)
					gw.waitFor("configuration is in force", func() bool { return gw.gateway.dispatcher.snapshot.Load().config.Version == 2 })
					close(changed)
					if phase == "body comes in" {
						fmt.Fprint(c, body[4:])
					}
					_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					assert.NilError(t, err, gw.log.String())
					_, err = io.ReadAll(resp.Body)
					assert.NilError(t, err)
					want := http.StatusOK
					switch {
					case phase == "failed by a worker" && (route == "unsafe" || route == "once"):
						want = http.StatusInternalServerError // that of the worker
					case phase == "failed by a worker" && changeName == "key withdrawn":
						want = http.StatusBadGateway
					case phase != "at a worker" && changeName == "key withdrawn":
						want = http.StatusUnauthorized
					}
					assert.Equal(t, resp.StatusCode, want, gw.log.String())
				})
			}
		}
	}
}
