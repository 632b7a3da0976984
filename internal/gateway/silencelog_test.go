package gateway

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log in which a worker that fell silent cannot be told from a connection that broke.
func TestRequestLogTellsSilenceFromBreak(t *testing.T) {
	for want, script := range map[string]func(n int, c net.Conn, r receivedRequest) bool{
		`"silent_ms":[6-9]\d\d,"cause":"out_of_time"`: func(_ int, c net.Conn, r receivedRequest) bool {
			writeStreamHeader(c, r)
			writeChunk(c, formatEvent(1))
			time.Sleep(2 * time.Second)
			return false
		},
		`"silent_ms":\d{1,2},"cause":"broken_off"`: func(_ int, c net.Conn, r receivedRequest) bool {
			writeStreamHeader(c, r)
			writeChunk(c, formatEvent(1))
			return false
		},
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, startWorker(t, "w1", script))
			_ = gw.call("POST", "/once/x", "prompt", DefaultHeaderNames.DeadlineMs, "700")
			gw.waitFor("request is logged", func() bool { return strings.Contains(gw.log.String(), "request has ended") })
			assert.Assert(t, regexp.MustCompile(want).MatchString(gw.log.String()), fmt.Sprintf("%s is missing in %s", want, gw.log.String()))
		})
	}
}
