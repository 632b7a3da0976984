// Package e2e runs real daemons as separate processes against stand-ins on
// loopback.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	// The daemon is a dependency of this package so that a cached test result is
	// not used after the daemon changed.
	_ "github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
)

// binary is the daemon built by TestMain.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "borageflow-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "borageflowd")
	build := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "daemon cannot be built: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nextSubnet is the number of the subnet that is tried next.
var nextSubnet atomic.Uint32

// lockPort is bound on the last address of a subnet while a cluster uses it.
const lockPort = 7000

// takeSubnet reserves loopback addresses for a cluster. The bound port keeps two
// clusters, of this or another test process, from sharing a subnet.
func takeSubnet(t *testing.T) [2]byte {
	t.Helper()
	const first, size = 10, 100 * 256
	for range size {
		n := (uint32(os.Getpid())*257 + nextSubnet.Add(1)) % size
		subnet := [2]byte{byte(first + n/256), byte(n % 256)}
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:%d", subnet[0], subnet[1], lockPort))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return subnet
		}
	}
	t.Fatal("every loopback subnet is in use")
	return [2]byte{}
}

// Keys of the test manifest.
const (
	keyNorth = "key-north"
	keySouth = "key-south"
	keyAdmin = "key-operator"
)

// process is one daemon.
type process struct {
	settings api.Settings
	file     string
	mu       sync.Mutex
	cmd      *exec.Cmd
	log      *bytes.Buffer
	exited   chan struct{}
	// wasFrozen excuses late answers of an entry.
	wasFrozen atomic.Bool
}

// cluster is a deployment with its daemons.
type cluster struct {
	*devcluster.Cluster
	t         *testing.T
	processes map[string]*process
	// net is set when the daemons reach each other and the store through relays.
	net *network
}

// startCluster starts the stand-ins and every daemon, and waits until all are ready.
func startCluster(t *testing.T, spec devcluster.Spec) *cluster {
	t.Helper()
	return startOn(t, spec, nil)
}

// running bounds the clusters at once: with 16 on 12 cores, timeouts of one second
// pass because processes wait for a core.
var running = make(chan struct{}, 4)

func startOn(t *testing.T, spec devcluster.Spec, n *network) *cluster {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	spec.Subnet = takeSubnet(t)
	stand, err := devcluster.Start(spec)
	assert.NilError(t, err)
	t.Cleanup(stand.Close)
	c := &cluster{Cluster: stand, t: t, processes: map[string]*process{}, net: n}
	if n != nil {
		n.join(t, stand)
	}
	t.Cleanup(c.stopAll)
	dir := t.TempDir()
	for _, s := range stand.Settings {
		p := &process{settings: s, file: filepath.Join(dir, s.Instance+".json"), log: &bytes.Buffer{}}
		raw, err := json.Marshal(s)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(p.file, raw, 0o600))
		c.processes[s.Instance] = p
		p.start(t)
	}
	for _, p := range c.processes {
		c.waitReady(p)
	}
	c.waitServers(len(spec.Engines) + len(spec.Services))
	return c
}

func (p *process) start(t *testing.T) {
	t.Helper()
	cmd := exec.Command(binary, p.file)
	cmd.Stderr = &lockedWriter{mu: &p.mu, to: p.log}
	assert.NilError(t, cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

type lockedWriter struct {
	mu *sync.Mutex
	to io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(b)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process without a graceful stop.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop ends the process gracefully and reports whether it ended in time.
func (p *process) stop(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (c *cluster) stopAll() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if c.t.Failed() {
		for name, p := range c.processes {
			p.mu.Lock()
			c.t.Logf("log of %s:\n%s", name, tail(p.log.String(), 4000))
			p.mu.Unlock()
		}
	}
}

func tail(s string, n int) string {
	if len(s) > n {
		return s[len(s)-n:]
	}
	return s
}

const readyTimeout = 30 * time.Second

func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	url := "http://" + p.settings.Listen.Health + "/readyz"
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get(url)
		if err != nil {
			return poll.Continue("%s: %v", p.settings.Instance, err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s: %s", p.settings.Instance, body)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
}

// waitServers waits until every entry knows n backend servers.
func (c *cluster) waitServers(n int) {
	c.t.Helper()
	want := fmt.Sprintf("borageflow_entry_backend_servers %d\n", n)
	for _, p := range c.processes {
		if p.settings.Role != api.RoleEntry {
			continue
		}
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			resp, err := http.Get("http://" + p.settings.Listen.Health + "/metrics")
			if err != nil {
				return poll.Continue("%v", err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if !bytes.Contains(body, []byte(want)) {
				return poll.Continue("%s does not know %d backend servers", p.settings.Instance, n)
			}
			return poll.Success()
		}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// entry returns the base URL of the caller API of an entry.
func (c *cluster) entry(n int) string {
	return "http://" + c.processes[fmt.Sprintf("entry-%d", n)].settings.Listen.Callers
}

// answer is a caller's view of one response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

type errorAnswer struct {
	Error struct {
		Kind     string `json:"kind"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

func (a answer) kind() string {
	var e errorAnswer
	_ = json.Unmarshal(a.body, &e)
	return e.Error.Kind
}

func (a answer) runState() string {
	var e errorAnswer
	_ = json.Unmarshal(a.body, &e)
	return e.Error.RunState
}

// post sends one request; err is the transport's.
func post(url, key string, header map[string]string, body string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, raw}, err
}

func hashed(key string) string { return manifest.HashKey(key) }
