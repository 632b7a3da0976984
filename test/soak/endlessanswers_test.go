package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/faulty"
	"github.com/borageflow/borageflow/platform"
)

const (
	// endlessCallers have a request at a worker that sends without end, at once.
	endlessCallers = 1000
	// endlessWorkers is large enough that some of them are in use while others are out of it.
	endlessWorkers = 16
	// endlessTime is how long the callers of one form go on, and endlessDeadline the least time limit of their requests.
	endlessTime     = time.Second
	endlessDeadline = time.Second
	// longestWait bounds the wait for a long body that is answered.
	longestWait = 20 * time.Second
	// endlessTimeVariable states another time for longer runs, and endlessFormVariable a single form, or "all".
	endlessTimeVariable = "BORAGEFLOW_ENDLESS_TIME"
	endlessFormVariable = "BORAGEFLOW_ENDLESS_FORM"
	// maxUnreadBytes bounds what waits in the kernel for the gateway to read, a connection.
	maxUnreadBytes = 128 << 10
	soundPath      = "/sound/"
	soundService   = "sound"
)

// shortForms are played by default: one for each part of an answer, those that took the most memory.
var shortForms = []string{
	"bare bytes", "head lines", "one head line", "informational head", "chunk extension", "zeros of a chunk size", "trailers",
	"body up to the end", "one event in chunks", "comments", "refusal", "misdirected", "failure",
}

// endlessCounts is what was seen of one form.
type endlessCounts struct {
	asked, refused              atomic.Int64 // requests of the callers, and those answered with 502 or 503
	atWorkers, mostAtWorkers    atomic.Int64
	sentBytes, received         atomic.Int64
	sound, soundRefused, failed atomic.Int64 // requests of other callers
	bodies                      atomic.Int64 // long bodies that were answered
}

// Guards against a worker that sends bytes without end and takes the memory of the gateway with them, which ends the
// requests of all its callers.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	length := endlessTime
	if value := os.Getenv(endlessTimeVariable); value != "" {
		var err error
		length, err = time.ParseDuration(value)
		assert.NilError(t, err)
	}
	binary := buildDaemon(t, t.TempDir())
	for _, form := range faulty.EndlessAnswers() {
		only := os.Getenv(endlessFormVariable)
		if only == "" && !slices.Contains(shortForms, form.Name) || only != "" && only != "all" && only != form.Name {
			continue
		}
		t.Run(form.Name, func(t *testing.T) { playEndless(t, binary, form, length, 0) })
	}
}

// Guards against memory that holds for answers without end and for long bodies of callers, but not for both at once.
func TestEndlessAnswersBesideLongBodiesStayWithinMemory(t *testing.T) {
	for _, form := range faulty.EndlessAnswers() {
		if form.Name == "one event in chunks" { // it took the most memory
			playEndless(t, buildDaemon(t, t.TempDir()), form, 2*endlessTime, longBodyCallers)
		}
	}
}

// playEndless lets endlessCallers ask workers that answer in the form, beside callers of another service, of which as
// many as bodies send long bodies.
func playEndless(t *testing.T, binary string, form faulty.Endless, length time.Duration, bodies int) {
	t.Helper()
	var counts endlessCounts
	st := newStore()
	config := configForVersion(1)
	for i := range config.Routes {
		config.Routes[i].TimeoutMs, config.Routes[i].TargetLatencyMs, config.Routes[i].GapAimMs = 60_000, 50_000, 50_000
	}
	config.Services[0].MaxConnections = 2 * endlessCallers
	config.Services = append(config.Services, wireService{soundService, 100, 0, 0})
	config.Routes = append(config.Routes, wireRoute{Name: "sound", Hostname: hostname, PathPrefix: soundPath, Kind: "safe", Service: soundService, TimeoutMs: 5000, TargetLatencyMs: 4000, MaxAttempts: 2})
	st.put("config", "main", config)
	ports := map[string]bool{}
	for n := range endlessWorkers {
		id := "w" + strconv.Itoa(n)
		w, err := faulty.Start(id, "127.0.0.1:0", counts.handler(form))
		assert.NilError(t, err)
		t.Cleanup(w.Close)
		ports[hexPort(t, w.Address())] = true
		st.put("servers", id, wireWorker{Service: serviceName, Address: w.Address(), Zone: "a", Version: "v1", State: "ready", Slots: 2 * endlessCallers})
	}
	sound := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if n, _ := io.Copy(io.Discard, r.Body); n == longBodyBytes { // a body that breaks off has no answer
			time.Sleep(endlessTime)
		}
		out.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
	})
	st.put("servers", "sound", wireWorker{Service: soundService, Address: serve(t, sound), Zone: "a", Version: "v1", State: "ready", Slots: 100})
	callers, process := startLimitedProcess(t, t.TempDir(), binary, serve(t, st), processLimits{memoryMb: frontMemoryMb, descriptors: smallDescriptors})
	process.awaitReady(t)

	var group sync.WaitGroup
	end := time.Now().Add(length)
	// On a busy machine, the first long body is answered later.
	isOver := func() bool {
		late := time.Since(end)
		return late > 0 && (bodies == 0 || counts.bodies.Load() > 0) || late > longestWait
	}
	for n := range endlessCallers {
		group.Go(func() {
			for round := 0; !isOver(); round++ {
				counts.readEndless(callers, n, round, max(length, endlessDeadline))
			}
		})
	}
	group.Go(func() {
		for n := 0; !isOver(); n++ {
			counts.askSound(callers, n)
			time.Sleep(20 * time.Millisecond)
		}
	})
	body := make([]byte, min(bodies, 1)*longBodyBytes)
	for n := range bodies {
		group.Go(func() {
			for !isOver() {
				counts.sendLong(callers, n, body)
			}
		})
	}
	stopped := make(chan struct{})
	var unread int64
	var watch sync.WaitGroup
	watch.Go(func() { unread = mostUnread(ports, stopped) })
	anonymous := peakWhile(t, process.pid, &group)
	close(stopped)
	watch.Wait()
	peak := peakMemory(t, process.pid)
	t.Logf("%d requests, %d refused, at most %d at workers, which wrote %d MB, %d MB read; others: %d answered, %d refused, %d failed; peak %.1f MB without files, %.1f MB with them, %.1f MB unread in the kernel; long bodies: %d answered",
		counts.asked.Load(), counts.refused.Load(), counts.mostAtWorkers.Load(), counts.sentBytes.Load()>>20, counts.received.Load()>>20, counts.sound.Load(),
		counts.soundRefused.Load(), counts.failed.Load(), float64(anonymous)/1e6, float64(peak)/1e6, float64(unread)/1e6, counts.bodies.Load())
	assert.Assert(t, peak <= frontMemoryMb*1e6, "peak memory is %d bytes", peak)
	assert.Assert(t, unread <= endlessCallers*maxUnreadBytes, "%d bytes wait in the kernel", unread)
	assert.Assert(t, counts.mostAtWorkers.Load() > 0)
	assert.Assert(t, bodies == 0 || counts.bodies.Load() > 0)
	assert.Equal(t, counts.failed.Load(), int64(0), "requests of other callers have no answer")
	before := counts.sound.Load()
	for n := 0; counts.sound.Load() == before && n < 100; n++ {
		counts.askSound(callers, -1-n)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, counts.sound.Load() > before, "the gateway answers no other caller afterwards")
}

// hexPort returns the port of an address as /proc/net/tcp has it.
func hexPort(t *testing.T, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	n, err := strconv.Atoi(port)
	assert.NilError(t, err)
	return fmt.Sprintf("%04X", n)
}

// mostUnread returns the most bytes that waited in the receive buffers of connections to the ports, until stopped.
func mostUnread(ports map[string]bool, stopped chan struct{}) int64 {
	for most := int64(0); ; {
		select {
		case <-stopped:
			return most
		case <-time.After(100 * time.Millisecond):
		}
		raw, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return most
		}
		most = max(most, sumUnread(string(raw), remoteAddress, ports))
	}
}

// The columns of /proc/net/tcp: number, local address, remote address, state, tx_queue:rx_queue.
const (
	localAddress  = 1
	remoteAddress = 2
	queues        = 4
)

// sumUnread returns the bytes that wait in the receive buffers of connections with one of the ports in a column of
// /proc/net/tcp.
func sumUnread(table string, column int, ports map[string]bool) int64 {
	sum := int64(0)
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		_, port, _ := strings.Cut(fields[column], ":")
		_, waiting, ok := strings.Cut(fields[queues], ":")
		if n, err := strconv.ParseInt(waiting, 16, 64); ok && err == nil && ports[port] {
			sum += n
		}
	}
	return sum
}

// handler answers each request with the form.
func (c *endlessCounts) handler(form faulty.Endless) faulty.Handler {
	return func(_ *faulty.Worker, conn net.Conn, r *http.Request, _ func()) bool {
		now := c.atWorkers.Add(1)
		defer c.atWorkers.Add(-1)
		for most := c.mostAtWorkers.Load(); now > most && !c.mostAtWorkers.CompareAndSwap(most, now); most = c.mostAtWorkers.Load() {
		}
		names := platform.Headers
		id := r.Header.Get(names.RequestID)
		c.sentBytes.Add(form.Play(conn, strings.NewReplacer(
			"{id}", names.RequestID+": "+id+"\r\n", "{other}", names.RequestID+": other\r\n", "{refused}", names.NotRun+": true\r\n")))
		return false
	}
}

// readEndless sends one request and reads its answer slowly.
func (c *endlessCounts) readEndless(address string, caller, round int, deadline time.Duration) {
	path := []string{safePath, streamPath, unsafePath}[caller%3]
	conn, err := ask(address, path, fmt.Sprintf("endless-%d-%d", caller, round), deadline)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	c.asked.Add(1)
	_ = conn.SetReadDeadline(time.Now().Add(2 * deadline)) // fails only on a closed connection
	block := make([]byte, 1<<10)
	for first := true; ; first = false {
		n, err := conn.Read(block)
		c.received.Add(int64(n))
		if first && (strings.HasPrefix(string(block[:n]), "HTTP/1.1 503") || strings.HasPrefix(string(block[:n]), "HTTP/1.1 502")) {
			c.refused.Add(1)
			time.Sleep(50 * time.Millisecond)
			return
		}
		if err != nil {
			return
		}
		if caller%2 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// askSound sends a request to the service without a fault.
func (c *endlessCounts) askSound(address string, n int) {
	conn, err := ask(address, soundPath, fmt.Sprintf("sound-%d", n), 5*time.Second)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second)) // fails only on a closed connection
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.failed.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		c.sound.Add(1)
	case http.StatusServiceUnavailable:
		c.soundRefused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// sendLong sends a long body to the service without a fault.
func (c *endlessCounts) sendLong(address string, n int, body []byte) {
	status, _, err := sendInChunks(address, soundPath, n, body)
	switch {
	case err == nil && status == http.StatusOK:
		c.bodies.Add(1)
	case err == nil && status == http.StatusServiceUnavailable:
		time.Sleep(100 * time.Millisecond)
	default:
		c.failed.Add(1)
	}
}

// ask opens a connection with small buffers and sends a request.
func ask(address, path, id string, deadline time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	names := platform.Headers
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on a closed connection
	_, err = fmt.Fprintf(conn, "POST %sa HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-permanent\r\n%s: %s\r\n%s: %d\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
		path, hostname, names.RequestID, id, names.DeadlineMs, deadline.Milliseconds())
	return conn, err
}
