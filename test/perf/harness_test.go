// Package perf measures daemon processes on loopback addresses, with stand-ins for
// the platform and the engines. Other load on the machine affects the results, so
// each test logs the load average and gives figures that depend on it as ratios
// within one run or per second of processor time.
package perf

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

var (
	enabled    = flag.Bool("perf", false, "run the performance tests")
	profileDir = flag.String("daemonprofile", "", "directory for processor profiles of the daemons")
)

// Environment variables that make the test binary run a daemon and write a
// processor profile: the file of the profile and the file of the settings.
const (
	profileEnv  = "BORAGEFLOW_PERF_PROFILE"
	settingsEnv = "BORAGEFLOW_PERF_SETTINGS"
)

// daemonBinary is the path of the daemon that TestMain builds.
var daemonBinary string

func TestMain(m *testing.M) {
	if os.Getenv(settingsEnv) != "" {
		os.Exit(runProfiled(os.Getenv(settingsEnv), os.Getenv(profileEnv)))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	flag.Parse()
	if !*enabled {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "borageflow-perf")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonBinary = filepath.Join(dir, "borageflowd")
	build := exec.Command("go", "build", "-o", daemonBinary, "github.com/borageflow/borageflow/cmd/borageflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the daemon failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// requirePerfFlag skips the test unless -perf is set, and logs the load average
// before and after the test.
func requirePerfFlag(t *testing.T) {
	t.Helper()
	if !*enabled {
		t.Skip("the flag -perf is not set")
	}
	load, _ := os.ReadFile("/proc/loadavg")
	t.Logf("load average before: %s", strings.TrimSpace(string(load)))
	t.Cleanup(func() {
		load, _ := os.ReadFile("/proc/loadavg")
		t.Logf("load average after: %s", strings.TrimSpace(string(load)))
	})
}

const (
	callerKey    = "key-north"
	modelVersion = "notes-1"
)

func testManifest() []byte {
	raw, err := json.Marshal(api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: manifest.HashAPIKey("key-operator")}},
		Services:      []api.Service{},
		Customers:     []api.Customer{{Name: "north", KeyHashes: []string{manifest.HashAPIKey(callerKey)}, Versions: []string{modelVersion}}},
		Models: []api.Model{{Name: "notes", Versions: []api.Version{
			{Name: modelVersion, Phase: api.PhaseServing, CostPerKiloToken: 1, PriorQuality: 0.9},
		}}},
		Classes: []api.Class{{Name: "draft", QualityTarget: 0.5, DeadlineMs: 600000, Weighting: api.WeightingLatency, MaxOutputTokens: 4096}},
		Pools:   []api.Pool{{Name: "models", Versions: []string{modelVersion}}},
	})
	if err != nil {
		panic(err)
	}
	if _, err := manifest.Check(raw); err != nil {
		panic(err)
	}
	return raw
}

// deployment is a development cluster and its daemon processes by instance name.
type deployment struct {
	*devcluster.Cluster
	daemons map[string]*process
}

// process is a daemon process.
type process struct {
	settings api.Settings
	cmd      *exec.Cmd
}

// startDeployment starts one entry and the given number of engines with their
// sidecars, and waits until all daemons are ready.
func startDeployment(t *testing.T, engines int, config engine.Config) *deployment {
	t.Helper()
	config.Versions = []string{modelVersion}
	spec := devcluster.Spec{
		Subnet: reserveSubnet(t), Region: "region-1", Manifest: testManifest(), Entries: []string{"fd-a"},
		Timing: api.TimingSettings{BalancerWaitMs: 100}, LogLevel: "error",
	}
	for i := range engines {
		spec.Engines = append(spec.Engines, devcluster.Engine{
			Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: []string{"fd-a", "fd-b"}[i%2], Pool: "models", Config: config,
		})
	}
	cluster, err := devcluster.Start(spec)
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	d := &deployment{Cluster: cluster, daemons: map[string]*process{}}
	dir := t.TempDir()
	for _, s := range cluster.Settings {
		d.daemons[s.Instance] = startDaemon(t, dir, s)
	}
	for _, p := range d.daemons {
		waitFor(t, p, "readyz", "")
	}
	waitFor(t, d.daemons["entry-1"], "metrics", fmt.Sprintf("borageflow_entry_backend_servers %d\n", engines))
	return d
}

// startDaemon starts a daemon, with a processor profile if -daemonprofile is set. An
// entry is limited to four cores.
func startDaemon(t *testing.T, dir string, s api.Settings) *process {
	t.Helper()
	file := filepath.Join(dir, s.Instance+".json")
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, raw, 0o600))
	cmd := exec.Command(daemonBinary, file)
	if *profileDir != "" {
		cmd = exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), settingsEnv+"="+file, profileEnv+"="+filepath.Join(*profileDir, s.Instance+".pprof"))
	}
	if s.Role == api.RoleEntry {
		cmd.Env = append(cmd.Environ(), "GOMAXPROCS=4")
	}
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		if *profileDir != "" {
			_ = cmd.Process.Signal(os.Interrupt)
		} else {
			_ = cmd.Process.Kill()
		}
		_ = cmd.Wait()
	})
	return &process{settings: s, cmd: cmd}
}

// runProfiled runs a daemon with a processor profile until it is interrupted. It
// returns the exit code.
func runProfiled(settingsFile, profileFile string) int {
	settings, err := daemon.ReadSettings(settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	log, err := observe.NewLogger(string(settings.Log.Level), settings.Instance)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return runWithProfile(daemon.New(settings, log), profileFile)
}

// reserveSubnet reserves loopback addresses for a cluster. The bound port prevents
// another test process from using the same subnet.
func reserveSubnet(t *testing.T) [2]byte {
	t.Helper()
	for n := range 1000 {
		subnet := [2]byte{byte(120 + n%100), byte((os.Getpid() + n) % 256)}
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:7000", subnet[0], subnet[1]))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return subnet
		}
	}
	t.Fatal("none of 1000 loopback subnets from 127.120 to 127.219 is free")
	return [2]byte{}
}

// waitFor waits up to 20 s until a path of the health address responds with status
// 200 and a body that contains want.
func waitFor(t *testing.T, p *process, path, want string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		status, body := p.get(path)
		if status == http.StatusOK && strings.Contains(body, want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("response of %s to /%s does not contain %q after 20 s", p.settings.Instance, path, want)
}

// get requests a path of the health address. The status is 0 if no response arrived.
func (p *process) get(path string) (int, string) {
	response, err := http.Get("http://" + p.settings.Listen.Health + "/" + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// metric returns the value of a metric, or 0 if the daemon does not report it.
func (p *process) metric(name string) float64 {
	_, body := p.get("metrics")
	for line := range strings.Lines(body) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			f, _ := strconv.ParseFloat(value, 64)
			return f
		}
	}
	return 0
}

// readProcFile returns the content of a file in the process's directory in /proc.
func (p *process) readProcFile(name string) string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	return string(raw)
}

// residentMB returns the resident memory in MB of 10^6 bytes.
func (p *process) residentMB() float64 {
	for line := range strings.Lines(p.readProcFile("status")) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.ParseFloat(fields[1], 64)
			return kib * 1024 / 1e6
		}
	}
	return 0
}

// cpuTime returns the processor time that the process has used. It is the sum of
// the scheduler's nanosecond counters of all threads, because the ticks in
// /proc/pid/stat are too coarse for an idle daemon.
func (p *process) cpuTime() time.Duration {
	var total time.Duration
	threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid))
	for _, thread := range threads {
		fields := strings.Fields(p.readProcFile("task/" + thread.Name() + "/schedstat"))
		if len(fields) > 0 {
			ns, _ := strconv.ParseInt(fields[0], 10, 64)
			total += time.Duration(ns)
		}
	}
	return total
}
