package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/platform"
)

const (
	// smallMemoryMb and smallDescriptors are the limits of the smallest instances that are deployed.
	smallMemoryMb    = 136
	smallDescriptors = 2870
	slowReaders      = 400
	// slowAnswerEvents events of slowEventBytes are far more than all buffers on the way hold.
	slowAnswerEvents = 64
	slowEventBytes   = 8 << 10
	// slowReadPause is how long the callers read nothing.
	slowReadPause = 3 * time.Second
)

// Guards against an instance with 136 MB that ends by 400 callers that read slowly, refuses them
// although they fit, or drops answers that are ready.
func TestSlowReadersFitIntoSmallInstance(t *testing.T) {
	dir := t.TempDir()
	binary := buildDaemon(t, dir)
	st := newStore()
	storeAddress := serve(t, st)
	config := configForVersion(1)
	for i := range config.Routes {
		config.Routes[i].TimeoutMs, config.Routes[i].TargetLatencyMs, config.Routes[i].GapAimMs = 60_000, 20_000, 20_000
	}
	config.Services[0].MaxConnections = 2 * slowReaders
	st.put("config", "main", config)
	st.put("servers", "w1", wireWorker{Service: serviceName, Address: serve(t, http.HandlerFunc(serveLongStream)), Zone: "a", Version: "v1", State: "ready", Slots: 2 * slowReaders})
	callers, health := startLimitedProcess(t, dir, binary, storeAddress, processLimits{memoryMb: smallMemoryMb, descriptors: smallDescriptors})
	pid := health.pid
	health.awaitReady(t)

	var group sync.WaitGroup
	results := make([]error, slowReaders)
	for n := range slowReaders {
		group.Go(func() { results[n] = readSlowly(callers, n) })
	}
	group.Wait()
	failed := 0
	for _, err := range results {
		if err != nil {
			failed++
			t.Log(err)
		}
	}
	peak := peakMemory(t, pid)
	t.Logf("%d slow readers, %d failed, peak memory %.1f MB", slowReaders, failed, float64(peak)/1e6)
	assert.Equal(t, failed, 0)
	assert.Assert(t, peak <= smallMemoryMb*1e6, "peak memory is %d bytes", peak)
}

// serve serves a handler on a loopback address and returns the address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	return serveOn(t, "127.0.0.1:0", h)
}

// serveOn serves a handler on an address and returns the address.
func serveOn(t *testing.T, address string, h http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func serveLongStream(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range slowAnswerEvents {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", slowEventBytes))
	}
}

// limitedProcess is a gateway process with limits.
type limitedProcess struct {
	health  string
	pid     int
	command *exec.Cmd
}

// processLimits are the limits in the settings of a process.
type processLimits struct {
	memoryMb, descriptors int
	// relay is the address for other instances if the process is a relay.
	relay string
}

// buildDaemon builds the program of the gateway in dir and returns its path.
func buildDaemon(t *testing.T, dir string) string {
	t.Helper()
	binary := filepath.Join(dir, "borageflowd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return binary
}

// startLimitedProcess starts a gateway with limits and returns the address for callers.
func startLimitedProcess(t *testing.T, dir, binary, store string, limits processLimits) (string, limitedProcess) {
	t.Helper()
	var addresses [2]string
	var err error
	for i := range addresses {
		addresses[i], err = freeAddress()
		assert.NilError(t, err)
	}
	file := filepath.Join(dir, "limited.json")
	peers := ""
	if limits.relay != "" {
		peers = fmt.Sprintf(`"peers":{"listen":%q,"relays":[%q]},`, limits.relay, limits.relay)
	}
	text := fmt.Sprintf(`{"role":"gateway","instance":"small","failureDomain":"a","listen":{"callers":%q,"health":%q},"store":{"address":%q},%s
 "bounds":{"revokeMs":60000,"graceSeconds":8},"limits":{"memoryMb":%d,"descriptors":%d},"log":{"level":"warn"}}`, addresses[0], addresses[1], store, peers, limits.memoryMb, limits.descriptors)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(binary, file)
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = cmd.Wait()
	})
	return addresses[0], limitedProcess{addresses[1], cmd.Process.Pid, cmd}
}

func (p limitedProcess) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + p.health + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("gateway is not ready")
}

// readSlowly requests a long stream, reads nothing for slowReadPause, and then the whole answer.
func readSlowly(address string, n int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	names := platform.Headers
	fmt.Fprintf(c, "POST %sa HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-permanent\r\n%s: slow-%d\r\n%s: 60000\r\nContent-Length: 4\r\n\r\nbody",
		streamPath, hostname, names.RequestID, n, names.DeadlineMs)
	time.Sleep(slowReadPause)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("caller %d has no answer: %w", n, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || strings.Count(string(raw), "data: ") != slowAnswerEvents {
		return fmt.Errorf("caller %d got status %d and %d bytes: %w", n, resp.StatusCode, len(raw), err)
	}
	return nil
}

// peakMemory returns the largest resident memory of a process so far, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	return statusBytes(t, pid, "VmHWM:")
}

// statusBytes returns a size from the status of a process, in bytes.
func statusBytes(t *testing.T, pid int, name string) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name {
			kB, err := strconv.ParseInt(fields[1], 10, 64)
			assert.NilError(t, err)
			return kB * 1024
		}
	}
	t.Fatalf("the process has no %s", name)
	return 0
}
