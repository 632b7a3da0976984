package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/platform"
)

// workerIDVariable makes the test program run as a worker with that ID.
const workerIDVariable = "BORAGEFLOW_TEST_WORKER_ID"

// earlyFatalPart and lateFatalPart are parts of prompts that end a worker process before and after the header of its
// answer.
const (
	earlyFatalPart = "dead0"
	lateFatalPart  = "dead1"
)

func TestMain(m *testing.M) {
	if id := os.Getenv(workerIDVariable); id != "" {
		runWorkerProcess(id)
	}
	os.Exit(m.Run())
}

// runWorkerProcess writes its address and serves until a fatal request ends the process.
func runWorkerProcess(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // the parent sees no address
	}
	fmt.Println(listener.Addr())
	names := platform.Headers
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		request, prompt := r.Header.Get(names.RequestID), r.Header.Get(names.Prompt)
		out.Header().Set(names.RequestID, request)
		if r.Header.Get(names.ExpectWorker) != id {
			out.Header().Set(names.WorkerID, id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		out.Header().Set("X-Signature", signature(id, request))
		out.Header().Set("Content-Type", "text/event-stream")
		if strings.Contains(prompt, earlyFatalPart) {
			os.Exit(1)
		}
		_ = http.NewResponseController(out).Flush() // on an error the caller receives a truncated response
		for n := range eventsPerStream {
			time.Sleep(processingTime)
			if strings.Contains(prompt, lateFatalPart) {
				os.Exit(1)
			}
			fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n+1, request)
			_ = http.NewResponseController(out).Flush() // on an error the caller receives a truncated response
		}
	})}
	panic(server.Serve(listener))
}

// workerProcesses starts worker processes and starts another one for each that ends.
type workerProcesses struct {
	t     *testing.T
	store *store

	mu      sync.Mutex
	started int
	ends    []time.Time
	running map[*exec.Cmd]struct{}
	closed  bool
}

func startWorkerProcesses(t *testing.T, st *store, n int) *workerProcesses {
	t.Helper()
	w := &workerProcesses{t: t, store: st, running: map[*exec.Cmd]struct{}{}}
	t.Cleanup(w.close)
	for range n {
		w.start()
	}
	return w
}

func (w *workerProcesses) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.started++
	id := fmt.Sprintf("worker-%d", w.started)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), workerIDVariable+"="+id)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		w.t.Errorf("worker cannot be started: %v", err)
		return
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		w.t.Errorf("worker has no address: %v", err)
	}
	w.running[cmd] = struct{}{}
	w.store.put("servers", id, wireWorker{Service: serviceName, Address: strings.TrimSpace(address), Zone: "a", Version: "v1", State: "ready", Slots: 16})
	go w.awaitEnd(id, cmd)
}

// awaitEnd starts the next worker some seconds after one has ended.
func (w *workerProcesses) awaitEnd(id string, cmd *exec.Cmd) {
	_ = cmd.Wait() // it ends with an error
	w.mu.Lock()
	delete(w.running, cmd)
	w.ends = append(w.ends, time.Now())
	w.mu.Unlock()
	time.Sleep(workerRestartDelay)
	w.store.remove("servers", id)
	w.start()
}

func (w *workerProcesses) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for cmd := range w.running {
		_ = cmd.Process.Kill() // it may have ended
	}
}

// lateEnds returns the number of workers that ended, and that of those later than quietTime after the third.
func (w *workerProcesses) lateEnds() (ends, late int, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, at := range w.ends {
		if i >= maxFreePathEnds && at.Sub(w.ends[maxFreePathEnds-1]) > quietTime {
			late++
		}
		last = at
	}
	return len(w.ends), late, last
}

// Guards against a stream that its caller repeats and that ends one worker process after the other, and against sound
// streams with the same parts that are refused in its place.
func TestRepeatedStreamStopsEndingProcesses(t *testing.T) {
	for name, prompt := range map[string]string{
		"after header": "a0:500,b0:200," + lateFatalPart + ":50", "before header": "a0:500,b0:200," + earlyFatalPart + ":50",
	} {
		t.Run(name, func(t *testing.T) {
			st := newStore()
			st.put("config", "main", configForVersion(1))
			workers := startWorkerProcesses(t, st, 6)
			sc := &scenario{store: st}
			dir := t.TempDir()
			startGatewaysOfOneRelay(t, sc, dir, serve(t, st))
			for _, g := range sc.gateways {
				limitedProcess{health: g.healthAddress}.awaitReady(t)
			}
			sound := playRepeatedStream(sc, prompt)
			ends, late, last := workers.lateEnds()
			served, asked, refused := 0, 0, 0
			for _, c := range sound {
				if c.status == http.StatusServiceUnavailable && c.retryAfter == "" {
					refused++
				}
				if c.sentAt.After(last.Add(workerRestartDelay + time.Second)) {
					asked++
					if c.status == http.StatusOK && c.complete {
						served++
					}
				}
			}
			t.Logf("%d worker processes ended, %d late; %d of %d sound streams served, %d refused", ends, late, served, asked, refused)
			assert.Check(t, ends >= 2, "the fatal stream reached no worker")
			assert.Check(t, late <= maxLateArrivals, "%d ended late", late)
			assert.Check(t, refused == 0, "%d sound streams were refused as condemned", refused)
			assert.Check(t, asked > 0 && served*10 >= asked*9, "%d of %d sound streams were served", served, asked)
			if t.Failed() {
				logQuarantine(t, dir)
			}
		})
	}
}

// startGatewaysOfOneRelay starts three gateways that exchange what they know through the first one. The relays of a
// scenario do not all know each other.
func startGatewaysOfOneRelay(t *testing.T, sc *scenario, dir, storeAddress string) {
	t.Helper()
	binary := buildDaemon(t, dir)
	t.Cleanup(sc.closeGateways)
	bounds := boundsForSeed(relaySeed)
	for n := range 3 {
		g, err := newGateway(dir, binary, n, storeAddress, sc.gateways[:min(n, 1)], bounds)
		assert.NilError(t, err)
		sc.gateways = append(sc.gateways, g)
		bounds.useRelays = false
	}
}

// playRepeatedStream sends sound streams, and from the second second on one fatal stream again and again. It returns
// the sound ones.
func playRepeatedStream(sc *scenario, fatal string) []call {
	client := &http.Client{Timeout: callTimeout}
	until := time.Now().Add(11 * time.Second)
	fatalFrom := time.Now().Add(time.Second)
	var group sync.WaitGroup
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		group.Go(func() {
			c := call{id: fmt.Sprintf("sound-%d", n), path: streamPath, key: "key-permanent", body: "body", gateway: n % 3, prompt: fmt.Sprintf("a0:500,b%x:200,%x:50", n%4, 1<<32+n)}
			sc.send(client, &c)
			sc.calls.add(c)
		})
		if n%8 == 0 && time.Now().After(fatalFrom) {
			group.Go(func() {
				c := call{id: fmt.Sprintf("fatal-%d", n), path: streamPath, key: "key-permanent", body: "body", gateway: n / 8 % 3, prompt: fatal}
				sc.send(client, &c)
			})
		}
		<-ticker.C
	}
	group.Wait()
	return sc.calls.list
}

// logQuarantine writes what the gateways logged on ends of workers and verdicts.
func logQuarantine(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "gateway-*.log"))
	assert.NilError(t, err)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		assert.NilError(t, err)
		for line := range strings.SplitSeq(string(raw), "\n") {
			if strings.Contains(line, `"part":"quarantine"`) {
				t.Log(line)
			}
		}
	}
}
