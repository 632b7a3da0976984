package examples

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/devcluster"
)

const (
	// startLimit bounds the time from the start of dev to the first answer, and
	// stopLimit its stop: a few seconds, with room for a busy machine.
	startLimit = 10 * time.Second
	stopLimit  = 10 * time.Second
)

var curlCommand = regexp.MustCompile(`curl -N (http://\S+) -H 'Authorization: Bearer (\S+)'`)

// syncBuffer takes the output of a process that still runs.
type syncBuffer struct {
	text chan []byte
	seen bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.text <- bytes.Clone(p)
	return len(p), nil
}

// String returns what was written so far.
func (b *syncBuffer) String() string {
	for {
		select {
		case p := <-b.text:
			b.seen.Write(p)
		default:
			return b.seen.String()
		}
	}
}

// Guards against an example that README offers and that does not start, does not
// answer what dev prints, or does not stop.
func TestExamplesRunUnderDev(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "borageflow")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/borageflow").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, name := range []string{"ledsagerhjaelp-nord", "lakeshore"} {
		t.Run(name, func(t *testing.T) { runUnderDev(t, binary, name) })
	}
}

func runUnderDev(t *testing.T, binary, name string) {
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	output := &syncBuffer{text: make(chan []byte, 64)}
	dev := exec.Command(binary, "dev", "--subnet", fmt.Sprint(subnet),
		"--manifest", filepath.Join(name, "manifest.json"), "--topology", filepath.Join(name, "dev.json"))
	dev.Stdout, dev.Stderr = output, os.Stderr
	started := time.Now()
	assert.NilError(t, dev.Start())
	done := make(chan error, 1)
	go func() { done <- dev.Wait() }()
	t.Cleanup(func() { _ = dev.Process.Kill() })

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return askAsPrinted(t, output.String())
	}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
	t.Logf("%s answers after %v", name, time.Since(started).Round(time.Millisecond))

	forwardAsPrinted(t, output.String())

	assert.NilError(t, dev.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(stopLimit):
		t.Fatalf("dev does not stop within %v", stopLimit)
	}
	assert.Assert(t, strings.Contains(output.String(), "stopping"))
}

// askAsPrinted sends the request that dev prints. A refusal that says not_run and
// when to try again is allowed while the deployment starts.
func askAsPrinted(t *testing.T, printed string) poll.Result {
	match := curlCommand.FindStringSubmatch(printed)
	if match == nil {
		return poll.Continue("dev has printed no request yet")
	}
	status, header, body, err := ask(t.Context(), match[1], match[2])
	switch {
	case err != nil:
		return poll.Error(err)
	case status == http.StatusOK:
		return checkAnswer(body)
	case header.Get("X-Borageflow-Run-State") == "not_run" && header.Get("Retry-After") != "":
		return poll.Continue("status %d: %s", status, body)
	default:
		return poll.Error(fmt.Errorf("status %d: %s", status, body))
	}
}

var forwardCommand = regexp.MustCompile(`curl -N (http://\S+)/assist/note -H 'Host: (\S+)' -H 'Authorization: Bearer (\S+)' \\\s+-H '(\S+): (\S+)'`)

// forwardAsPrinted sends the forwarded request that dev prints, and the one that only the
// large model answers.
func forwardAsPrinted(t *testing.T, printed string) {
	t.Helper()
	match := forwardCommand.FindStringSubmatch(printed)
	assert.Assert(t, match != nil, "no forwarded request in %s", printed)
	for path, model := range map[string]string{"/assist/note": "small", "/assist/hard/note": "large"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, match[1]+path, strings.NewReader("x"))
		assert.NilError(t, err)
		request.Host = match[2]
		request.Header.Set("Authorization", "Bearer "+match[3])
		request.Header.Set(match[4], match[5])
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, string(body))
		assert.Equal(t, strings.Count(string(body), model+", event"), 3, string(body))
	}
}

func ask(ctx context.Context, url, key string) (status int, header http.Header, answer []byte, err error) {
	body := strings.NewReader(`{"model":"auto","max_tokens":4,"messages":[{"role":"user","content":"Where does the escort wait?"}]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0, nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, err
}

// checkAnswer expects a whole answer with text.
func checkAnswer(body []byte) poll.Result {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content == "" {
		return poll.Error(fmt.Errorf("answer has no text: %s", body))
	}
	return poll.Success()
}
