package callerapi

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/netutil"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/httpdrain"
)

// heldListener accepts nothing until release is closed, like the listener of a paused process.
type heldListener struct {
	net.Listener
	release chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// Guards against requests that are worked on although their callers left while the entry was paused.
func TestBacklogOfCallersThatLeftIsNotSubmitted(t *testing.T) {
	const callers = 100
	var mu sync.Mutex
	submitted := map[string]int{}
	backend := &fakeBackend{onSubmit: func(r entry.RequestArrived, s *Stream) {
		mu.Lock()
		submitted[r.Operation]++
		mu.Unlock()
		s.Finish(entry.Answer{Request: r.Request, Text: "{}"})
	}}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := httpdrain.NewListener(inner)
	held := &heldListener{Listener: netutil.LimitListener(listener, 1000), release: make(chan struct{})}
	server := &http.Server{Handler: NewHandler(backend, Options{MaxBodyBytes: 1024, ReadTimeout: time.Second, WriteTimeout: time.Second}), ReadHeaderTimeout: time.Second}
	listener.Prepare(server)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(held) }()
	call := func(operation string) net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		fmt.Fprintf(c, "POST /v1/services/s/%s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}", operation)
		return c
	}
	for range callers {
		assert.NilError(t, call("left").Close())
	}
	stays := call("stays")
	defer func() { _ = stays.Close() }()
	close(held.release)
	assert.NilError(t, stays.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = stays.Read(make([]byte, 1))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // the requests before it have been read, too
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, submitted, map[string]int{"stays": 1})
}
