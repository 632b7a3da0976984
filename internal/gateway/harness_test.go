package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// bench is a gateway with its store.
type bench struct {
	t       *testing.T
	store   *forwarding.Store
	gateway *Gateway
	log     *lockedBuffer
	url     string
	health  string
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testRoutes has a route of each kind on host "test".
func testRoutes() []forward.Route {
	split := []forward.Split{{Service: "svc", Weight: 1}}
	return []forward.Route{
		{Name: "safe", Host: "test", PathPrefix: "/safe/", Kind: forward.Safe, Timeout: 3 * time.Second, Target: 200 * time.Millisecond, Splits: split, MaxAttempts: 3},
		{Name: "unsafe", Host: "test", PathPrefix: "/unsafe/", Kind: forward.Unsafe, Timeout: 3 * time.Second, Target: 200 * time.Millisecond, Splits: split, MaxAttempts: 3},
		{Name: "stream", Host: "test", PathPrefix: "/stream/", Kind: forward.Stream, Timeout: 10 * time.Second, Target: time.Second, GapTarget: 500 * time.Millisecond, Splits: split, MaxAttempts: 3, Resumable: true, Models: []string{"small", "medium", "large"}},
		{Name: "once", Host: "test", PathPrefix: "/once/", Kind: forward.Stream, Timeout: 10 * time.Second, Target: time.Second, GapTarget: 500 * time.Millisecond, Splits: split, MaxAttempts: 3},
	}
}

func testConfig(version int64) *forward.Config {
	return &forward.Config{
		Version: version, Routes: testRoutes(), HasCustomers: true,
		Customers: map[string]forward.Customer{"key-1": {Name: "ada"}},
		Services:  map[string]forward.Service{"svc": {Name: "svc"}},
		Limits:    forward.ClientLimits{BodyBytes: 1 << 20},
	}
}

// startGateway starts a gateway in front of workers and waits until it is ready.
func startGateway(t *testing.T, workers ...*testWorker) *bench {
	t.Helper()
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	for _, w := range workers {
		store.PutWorker(w.worker())
	}
	b := startWith(t, testSettings(t), store)
	b.waitFor("workers are known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return len(b.gateway.core.known) == len(workers)
	})
	return b
}

func testSettings(t *testing.T) Settings {
	t.Helper()
	return Settings{
		Instance: "test", FailureDomain: "a", Callers: freeAddress(t), Health: freeAddress(t), ReadyPath: "/ready",
		StoreTimeout: 300 * time.Millisecond, Watch: 200 * time.Millisecond, LongWatch: time.Second, Revoke: 2 * time.Second, Grace: 4 * time.Second,
		Stable: time.Second, RetryWindow: 10 * time.Second, Session: 5 * time.Second, RetryRatio: 0.9, RetrySlack: 60,
		CanaryShare: 0.15, LogLinesPerSecond: 1000,
	}
}

// startWith starts a gateway and waits until it is ready.
func startWith(t *testing.T, s Settings, store *forwarding.Store) *bench {
	t.Helper()
	out := &lockedBuffer{}
	log, lines, err := newLogger(s, out)
	assert.NilError(t, err)
	g := newGateway(s, Parts{Store: store, Dialect: OwnNames, LogOutput: out}, log, lines)
	assert.NilError(t, g.start(context.Background()))
	b := &bench{t: t, store: store, gateway: g, log: out, url: "http://" + s.Callers, health: "http://" + s.Health}
	t.Cleanup(func() {
		g.cancel()
		g.relaying.close()
		_ = g.callers.Close()
		_ = g.health.Close()
		g.group.Wait()
	})
	b.waitFor("gateway is ready", func() bool {
		ok, _ := g.core.ready(elapsed())
		return ok
	})
	return b
}

func (b *bench) waitFor(what string, done func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	b.t.Fatalf("timed out: %s\n%s", what, b.log.String())
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // a body that ended early
}

// call sends a request with the usual headers; more are name, value pairs.
func (b *bench) call(method, path, body string, headers ...string) answer {
	b.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, b.url+path, reader)
	assert.NilError(b.t, err)
	req.Host = "test"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(OwnNames.RequestID, fmt.Sprintf("r-%d", time.Now().UnixNano()))
	req.Header.Set(OwnNames.DeadlineMs, "5000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), err}
}

func nopLog() *zap.Logger { return zap.NewNop() }
