package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
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

// deadPeer is a connection whose peer acknowledges nothing: the kernel reports that once, and then an end in order.
type deadPeer struct {
	net.Conn
	reads int
}

func (d *deadPeer) Read([]byte) (int, error) {
	if d.reads++; d.reads == 1 {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	return 0, io.EOF
}

func (d *deadPeer) SetReadDeadline(time.Time) error { return nil }

// Guards against a worker that cannot be reached and counts as silent, and against the end in order that follows on
// its connection: a stream that ends with its connection would look complete.
func TestUnreachablePeerIsNotSilent(t *testing.T) {
	c := &conn{Conn: &deadPeer{}, guard: &overloadGuard{}}
	c.onReadTimeout = func() time.Time { return time.Now().Add(time.Second) }
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), "%v", err)
}
