package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/platform"
)

const (
	// frontMemoryMb is the memory of the common instances.
	frontMemoryMb = 284
	// longBodyBytes is the longest body that is allowed by default.
	longBodyBytes = 4 << 20
	// longBodyCallers send more than an instance of frontMemoryMb has memory for.
	longBodyCallers = 64
	// longBodyWork is how long a worker keeps a request, so that all are held at once.
	longBodyWork = 4 * time.Second
)

// Guards against bodies without a length that take a gateway beyond its memory: the buffer of each took 8 MiB for
// 4 MiB, while 4 MiB were reserved, and 40 of them ended an instance of 284 MB.
func TestLongBodiesInChunksStayWithinMemory(t *testing.T) {
	for _, length := range []int{longBodyBytes, longBodyBytes/2 + 1, longBodyBytes/4 + 1, 110_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) { sendLongBodies(t, length) })
	}
}

func sendLongBodies(t *testing.T, length int) {
	var taken, whole atomic.Int64
	worker := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		taken.Add(1)
		n, _ := io.Copy(io.Discard, r.Body) // a short body is counted below
		if n == int64(length) {
			whole.Add(1)
		}
		time.Sleep(longBodyWork)
		out.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
	})
	st := newStore()
	config := configForVersion(1)
	for i := range config.Routes {
		config.Routes[i].TimeoutMs, config.Routes[i].TargetLatencyMs, config.Routes[i].GapAimMs = 30_000, 20_000, 20_000
	}
	config.Services[0].MaxConnections = 2 * longBodyCallers
	st.put("config", "main", config)
	st.put("servers", "w1", wireWorker{Service: serviceName, Address: serve(t, worker), Zone: "a", Version: "v1", State: "ready", Slots: 2 * longBodyCallers})
	dir := t.TempDir()
	callers, process := startLimitedProcess(t, dir, buildDaemon(t, dir), serve(t, st), processLimits{memoryMb: frontMemoryMb, descriptors: smallDescriptors})
	process.awaitReady(t)

	var group sync.WaitGroup
	var answered, refused atomic.Int64
	body := bytes.Repeat([]byte("x"), length)
	for n := range longBodyCallers {
		group.Go(func() {
			status, retryAfter, err := sendInChunks(callers, unsafePath, n, body)
			switch {
			case err == nil && status == http.StatusOK:
				answered.Add(1)
			case err == nil && status == http.StatusServiceUnavailable && retryAfter != "":
				refused.Add(1)
			default:
				t.Errorf("caller %d: status %d, Retry-After %q, %v", n, status, retryAfter, err)
			}
		})
	}
	peak := peakWhile(t, process.pid, &group)
	t.Logf("%d bodies of %d bytes: %d answered, %d refused, peak %.1f MB without files, %.1f MB with them",
		longBodyCallers, length, answered.Load(), refused.Load(), float64(peak)/1e6, float64(peakMemory(t, process.pid))/1e6)
	assert.Assert(t, peak <= frontMemoryMb*1e6, "peak memory is %d bytes", peak)
	assert.Assert(t, answered.Load() >= 24, "%d are answered", answered.Load())
	assert.Equal(t, taken.Load(), answered.Load(), "refused requests must not reach a worker")
	assert.Equal(t, whole.Load(), taken.Load())
}

// peakWhile returns the largest memory of a process without what it maps from files, until group is done.
func peakWhile(t *testing.T, pid int, group *sync.WaitGroup) int64 {
	t.Helper()
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	for peak := int64(0); ; {
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
			peak = max(peak, statusBytes(t, pid, "RssAnon:"))
		}
	}
}

// sendInChunks sends a body without a length and returns the status and the advised pause.
func sendInChunks(address, path string, n int, body []byte) (status int, retryAfter string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path+"a", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostname
	req.Header.Set("Authorization", "Bearer key-permanent")
	req.Header.Set("Expect", "100-continue") // a refused body is not sent, so that its refusal can be read
	req.Header.Set(platform.Headers.RequestID, fmt.Sprintf("long-%d", n))
	req.Header.Set(platform.Headers.DeadlineMs, "30000")
	resp, err := (&http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: 10 * time.Second}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After"), err
}
