package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// earlyAnswer is an answer without a length that a worker sends, in part, before it has read a long upload.
type earlyAnswer struct {
	method, path string
	upload       int
	// end is how the connection ends: "fin", "reset" or "fin, reset". delay is the time before that.
	end   string
	delay time.Duration
}

func (c earlyAnswer) String() string {
	return fmt.Sprintf("%s%s/%d/%s/%v", c.method, c.path, c.upload, c.end, c.delay)
}

// serve reads the head of a request alone and answers it.
func (c earlyAnswer) serve(t *testing.T, conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 4<<10))
	if err != nil {
		return // the gateway has left, or looked whether the worker lives
	}
	part := "a par"
	if strings.HasPrefix(c.path, "/stream") {
		part = formatEvent(1)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\n\r\n%s", request.Header.Get(DefaultHeaderNames.RequestID), part)
	time.Sleep(c.delay)
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	if c.end != "reset" {
		_ = tcp.CloseWrite() // fails if the gateway has left
	}
	if c.end == "fin" {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(2 * time.Millisecond)
	_ = tcp.SetLinger(0) // fails if the gateway has left
}

// Guards against a part of an answer that is delivered as whole because its worker ended the connection in order, or
// reset it, while a long upload was still being written or unread.
func TestPartOfEarlyAnswerIsNotWhole(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		for _, upload := range []int{200 << 10, 6 << 20} {
			for _, end := range []string{"fin", "reset", "fin, reset"} {
				for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
					c := earlyAnswer{"POST", path, upload, end, delay}
					if c.end == "fin" && c.upload < 1<<20 {
						continue // the kernel takes the whole upload, and nothing shows that the worker does not read it
					}
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						got := c.play(t)
						assert.Assert(t, got.status != http.StatusOK || got.err != nil, "delivered as whole: %q", got.body)
					})
				}
			}
		}
	}
}

func (c earlyAnswer) play(t *testing.T) callResult {
	t.Helper()
	listener, err := net.Listen("tcp", ownHost()+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				c.serve(t, conn)
			}()
		}
	}()
	config := testConfig(1)
	config.Limits.BodyBytes = 8 << 20
	store := forwarding.NewStore()
	store.PutConfig(config)
	store.PutWorker(forward.Worker{ID: "w1", Service: "svc", Address: listener.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 8})
	gw := startGatewayWith(t, testSettings(t), store)
	return gw.call(c.method, c.path, strings.Repeat("x", c.upload))
}
