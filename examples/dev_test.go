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
	// startTimeout limits the time from the start of dev to its first answer, stopTimeout
	// that from SIGTERM to its exit. Either takes a few seconds, or longer on a busy machine.
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

var chatCommandPattern = regexp.MustCompile(`curl -N (http://\S+) -H 'Authorization: Bearer (\S+)'`)

// outputBuffer collects the output of a running process. One goroutine may call String
// while the process writes.
type outputBuffer struct {
	chunks  chan []byte
	content bytes.Buffer
}

// Write queues a copy of p. It blocks while the queue of chunks is full.
func (b *outputBuffer) Write(p []byte) (int, error) {
	b.chunks <- bytes.Clone(p)
	return len(p), nil
}

// String returns the output so far.
func (b *outputBuffer) String() string {
	for {
		select {
		case p := <-b.chunks:
			b.content.Write(p)
		default:
			return b.content.String()
		}
	}
}

// Guards against an example in README.md that does not start under borageflow dev, does
// not answer the requests that dev prints, or does not stop on SIGTERM.
func TestExamplesRunUnderDev(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "borageflow")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/borageflow").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, name := range []string{"ledsagerhjaelp-nord", "lakeshore"} {
		t.Run(name, func(t *testing.T) { runUnderDev(t, binary, name) })
	}
}

// runUnderDev runs dev with the files of an example and sends the requests that it prints.
func runUnderDev(t *testing.T, binary, name string) {
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	output := &outputBuffer{chunks: make(chan []byte, 64)}
	dev := exec.Command(binary, "dev", "--subnet", fmt.Sprint(subnet),
		"--manifest", filepath.Join(name, "manifest.json"), "--topology", filepath.Join(name, "dev.json"))
	dev.Stdout, dev.Stderr = output, os.Stderr
	started := time.Now()
	assert.NilError(t, dev.Start())
	done := make(chan error, 1)
	go func() { done <- dev.Wait() }()
	t.Cleanup(func() { _ = dev.Process.Kill() })

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return sendPrintedRequest(t, output.String())
	}, poll.WithTimeout(startTimeout), poll.WithDelay(100*time.Millisecond))
	t.Logf("%s answered after %v", name, time.Since(started).Round(time.Millisecond))

	sendPrintedForwardRequests(t, output.String())

	assert.NilError(t, dev.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(stopTimeout):
		t.Fatalf("dev did not stop within %v of SIGTERM", stopTimeout)
	}
	assert.Assert(t, strings.Contains(output.String(), "stopping"))
}

// sendPrintedRequest sends the chat request that dev prints. While the deployment starts, a
// refusal with run state not_run and a Retry-After header is allowed.
func sendPrintedRequest(t *testing.T, printed string) poll.Result {
	match := chatCommandPattern.FindStringSubmatch(printed)
	if match == nil {
		return poll.Continue("dev has not printed a chat request yet")
	}
	status, header, body, err := sendChatRequest(t.Context(), match[1], match[2])
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

var forwardCommandPattern = regexp.MustCompile(`curl -N (http://\S+)/assist/note -H 'Host: (\S+)' -H 'Authorization: Bearer (\S+)' \\\s+-H '(\S+): (\S+)'`)

// sendPrintedForwardRequests sends the forwarded request that dev prints, and one below
// /assist/hard/, which only the large model answers.
func sendPrintedForwardRequests(t *testing.T, printed string) {
	t.Helper()
	match := forwardCommandPattern.FindStringSubmatch(printed)
	assert.Assert(t, match != nil, "dev printed no forwarded request: %s", printed)
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

// sendChatRequest sends a chat request and returns the response.
func sendChatRequest(ctx context.Context, url, key string) (status int, header http.Header, answer []byte, err error) {
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

// checkAnswer succeeds when body is a chat completion with one choice that has text.
func checkAnswer(body []byte) poll.Result {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content == "" {
		return poll.Error(fmt.Errorf("answer is not a chat completion with text: %s", body))
	}
	return poll.Success()
}
