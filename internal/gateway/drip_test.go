package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that sends a byte now and then but no event: one that never ends, one that goes on at
// another worker while the first one is still at work on it, and one that does not go on once that has ended.
func TestDrippingStreamGoesOnOnceItsWorkerHasEnded(t *testing.T) {
	drips := map[string]func(c net.Conn) error{
		"comments":         func(c net.Conn) error { _, err := fmt.Fprint(c, "3\r\n:\n\n\r\n"); return err },
		"comment bytes":    func(c net.Conn) error { _, err := fmt.Fprint(c, "1\r\n:\r\n"); return err },
		"blank lines":      func(c net.Conn) error { _, err := fmt.Fprint(c, "1\r\n\n\r\n"); return err },
		"half a field":     func(c net.Conn) error { _, err := fmt.Fprint(c, "1\r\nd\r\n"); return err },
		"chunk size alone": func(c net.Conn) error { _, err := fmt.Fprint(c, "0"); return err },
	}
	for name, drip := range drips {
		for _, begun := range []bool{false, true} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, begun %v, ends %v", name, begun, ends), func(t *testing.T) {
					t.Parallel()
					var arrivals, endedAt, resumedAt atomic.Int64
					script := func(_ int, c net.Conn, r receivedRequest) bool {
						writeStreamHeader(c, r)
						if arrivals.Add(1) > 1 {
							resumedAt.Store(time.Now().UnixNano())
							if r.request.Header.Get("Last-Event-Id") == "" {
								writeChunk(c, formatEvent(1))
							}
							writeChunk(c, formatEvent(2))
							fmt.Fprint(c, "0\r\n\r\n")
							return true
						}
						if begun {
							writeChunk(c, formatEvent(1))
						}
						for n := 0; n < 25 || !ends; n++ {
							if drip(c) != nil {
								return false
							}
							time.Sleep(100 * time.Millisecond)
						}
						endedAt.Store(time.Now().UnixNano())
						return false
					}
					gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
					started := time.Now()
					resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.DeadlineMs, "4000")
					if !ends {
						assert.Assert(t, resp.err != nil || resp.status == http.StatusGatewayTimeout, "%+v", resp)
						assert.Assert(t, time.Since(started) < 4500*time.Millisecond, "took %v", time.Since(started))
						assert.Equal(t, arrivals.Load(), int64(1))
						return
					}
					assert.NilError(t, resp.err)
					assert.Equal(t, withoutComments(resp.body), formatEvent(1)+formatEvent(2))
					after := time.Duration(resumedAt.Load() - endedAt.Load())
					assert.Assert(t, after > 0 && after < time.Second, "resumed %v after its worker had ended it", after)
				})
			}
		}
	}
}

// withoutComments returns the events of a stream without comments and blank lines between them.
func withoutComments(body string) string {
	out := ""
	for block := range strings.SplitSeq(body, "\n\n") {
		if block = strings.TrimLeft(block, "\n"); block != "" && !strings.HasPrefix(block, ":") {
			out += block + "\n\n"
		}
	}
	return out
}

// Guards against a slow but sound stream that is cut or sent to another worker although its pauses are within
// the bound of the route.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			script := func(_ int, c net.Conn, r receivedRequest) bool {
				writeStreamHeader(c, r)
				for id := range 3 {
					writeChunk(c, formatEvent(id+1))
					time.Sleep(pause)
				}
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			}
			w1, w2 := startWorker(t, "w1", script), startWorker(t, "w2", script)
			gw := startGateway(t, w1, w2)
			resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.DeadlineMs, "9000")
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.body, formatEvent(1)+formatEvent(2)+formatEvent(3))
			assert.Equal(t, len(w1.requests())+len(w2.requests()), 1)
		})
	}
}

// Guards against comments before the first event that do not reach the caller: they are a part of the body.
func TestCommentsBeforeTheFirstEventAreDelivered(t *testing.T) {
	for _, events := range []string{"", formatEvent(1)} {
		w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
			writeStreamHeader(c, r)
			writeChunk(c, ": hello\n\n\n")
			if events != "" {
				writeChunk(c, events)
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		})
		resp := startGateway(t, w).call("POST", "/stream/x", "prompt")
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.body, ": hello\n\n\n"+events)
	}
}
