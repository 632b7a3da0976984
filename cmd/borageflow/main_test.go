package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// runAsCommandVariable is the environment variable that makes the test binary run main.
const runAsCommandVariable = "BORAGEFLOW_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommandVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// commandProcess returns the test binary, set up to run as the command.
func commandProcess(ctx context.Context, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, os.Args[0], args...)
	c.Env = append(os.Environ(), runAsCommandVariable+"=1")
	return c
}

// runCommand runs the command and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	c := commandProcess(t.Context(), args...)
	var stdout, stderr bytes.Buffer
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	if _, ok := err.(*exec.ExitError); err != nil && !ok { //nolint:errorlint // Run returns it unwrapped
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func writeTempFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const manifestText = `{"schemaVersion":1,
 "operators":[{"name":"op","keyHash":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}],
 "customers":[],"models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
 "classes":[{"name":"quick","qualityTarget":0.5,"deadlineMs":1000,"weighting":"latency"}],
 "objectives":[{"class":"quick","target":0.99,"firstTokenMs":800}]}`

// fiveRequestTrace returns a trace of five requests that end with an error kind, or
// without an error when the kind is empty.
func fiveRequestTrace(errorKind string) string {
	return strings.Repeat(`{"at":9,"event":"arrival","request":"r","class":"quick"}
{"at":10,"event":"end","request":"r","class":"quick","totalUs":5,"errorKind":"`+errorKind+`"}
`, 5)
}

// Guards against exit codes that differ from the documented ones, because scripts
// decide by the exit code alone.
func TestExitCodes(t *testing.T) {
	manifest := writeTempFile(t, "manifest.json", manifestText)
	good, bad := writeTempFile(t, "good.jsonl", fiveRequestTrace("")), writeTempFile(t, "bad.jsonl", fiveRequestTrace("internal"))
	outcomes := writeTempFile(t, "outcomes.json", `{"maxErrors":0}`)
	page := filepath.Join(t.TempDir(), "page.html")
	cases := []struct {
		args string
		code int
		want string
	}{
		{"--version", 0, "Version:"},
		{"load --help", 0, "--entry"},
		{"completion zsh", 0, "borageflow"},
		{"", 2, "a subcommand is required"},
		{"nosuch", 2, "No subcommand"},
		{"load --nosuch 1", 2, "Unknown arguments"},
		{"load --rate x --entry http://127.0.0.1:1", 2, "ParseFloat"},
		{"load --plan x", 2, "--entry is required"},
		{"load --plan /nonexistent --entry http://127.0.0.1:1", 1, "no such file"},
		{"standin", 2, "--engine"},
		{"standin --engine 127.0.0.1:0 --version-loaded m --quality m=2", 2, "share from 0 to 1"},
		{"report --manifest " + manifest, 2, "--trace and --counters"},
		{"report --manifest " + manifest + " --trace " + good + " --html " + page, 0, "no rule fires"},
		{"report --manifest " + manifest + " --trace " + bad, 1, "page: burn at least 14.4"},
		{"report --manifest " + good + " --trace " + bad, 1, "is not JSON"},
		{"quarantine", 2, "list, set, lift"},
		{"quarantine set --part 5c1e", 2, "--service and --part"},
		{"quarantine list --address 127.0.0.1:1", 1, "does not answer"},
		{"explain", 2, "--route must be set"},
		{"explain --route r --output xml", 2, "must be table or json"},
		{"explain --route r --at 127.0.0.1:1", 1, "does not answer"},
		{"replay --outcomes " + outcomes, 2, "--trace is required"},
		{"replay --outcomes " + outcomes + " --trace " + manifest, 1, "trace line 1"},
		{"replay --outcomes " + outcomes + " --trace " + bad + " --json", 1, `"outcome": "maxErrors"`},
		{"replay --outcomes " + writeTempFile(t, "o.json", `{"maxErrors":1}`) + " --trace " + good, 0, "met: 0 of 1"},
	}
	for _, c := range cases {
		code, out, errOut := runCommand(t, strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s%s", c.args, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.want), "%s: %s%s", c.args, out, errOut)
	}
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(raw, []byte("<svg")))
}

// Guards against stand-ins that the flags fail to start, engines that do not use the
// --weights stand-in as their weight store, and a process that ignores SIGTERM.
func TestStandinRunsUntilItIsStopped(t *testing.T) {
	c := commandProcess(t.Context(), "standin", "--weights", "127.0.0.1:0", "--weights-per-second", "100",
		"--engine", "127.0.0.1:0", "--service", "127.0.0.1:0", "--rating", "127.0.0.1:0")
	stdout, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	urls := map[string]string{}
	lines := bufio.NewScanner(stdout)
	for len(urls) < 4 && lines.Scan() {
		kind, url, _ := strings.Cut(lines.Text(), " ")
		urls[kind] = url
	}
	assert.Equal(t, len(urls), 4, "%v", urls)
	response, err := http.Post(urls["engine"]+"/v1/orders", "application/json",
		strings.NewReader(`{"fence":1,"kind":"load","version":"m-1"}`))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, c.Wait())
}

// Guards against a load run that loses answers but exits with 0 or reports none of
// them in its JSON.
func TestLoadReportsLostAnswers(t *testing.T) {
	server, err := engine.Start("127.0.0.1:0", "m-1")
	assert.NilError(t, err)
	defer server.Close()
	plan := writeTempFile(t, "plan.json", `{"rate":100,"keys":{"c":"k"},"classes":[{"name":"x","kind":"chat","customer":"c"}]}`)
	// The engine does not serve the entry's API: every call gets 404 without an error kind.
	code, out, errOut := runCommand(t, "load", "--plan", plan, "--entry", server.URL(), "--ledger", server.URL(),
		"--count", "3", "--json", "-")
	assert.Equal(t, code, exitFailure, errOut)
	var result api.LoadResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, result.Classes[1].Lost, 3)
	assert.Equal(t, result.Runs, 0)
}
