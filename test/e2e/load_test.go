package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/callerapi"
)

const (
	// callDeadline is the request deadline that the callers send.
	callDeadline = 4 * time.Second
	// callTimeout is the client timeout of a call; it is longer than freezeTime.
	callTimeout = 15 * time.Second
	// thinkTime is the pause of a caller between two calls.
	thinkTime        = 10 * time.Millisecond
	defaultMaxTokens = 24
)

// call is one request, the response expected for it, and the response received.
type call struct {
	entry     int
	customer  string
	path      string
	body      string
	model     string
	messages  []api.ChatMessage
	stream    bool
	maxTokens int
	// operation and key are set for service calls; key is the idempotency key.
	operation, key string
	// session is the session handle in the request and pinnedVersion the version
	// that the session is bound to.
	session, pinnedVersion string
	deadline               time.Duration

	start, end time.Time
	err        error
	status     int
	header     http.Header
	requestID  string
	version    string
	text       string
	complete   bool
	kind       string
	runState   string
}

func (c *call) ok() bool       { return c.err == nil && c.status == http.StatusOK && c.complete }
func (c *call) repeated() bool { return c.header.Get(callerapi.HeaderRepeated) == "true" }

func (c *call) String() string {
	return fmt.Sprintf("%s%s of %d tokens entry-%d request %q: status %d kind %q run state %q err %v after %v",
		c.path, c.key, c.maxTokens, c.entry, c.requestID, c.status, c.kind, c.runState, c.err, c.end.Sub(c.start).Round(time.Millisecond))
}

// chatCall returns a chat call with the default limit of output tokens.
func chatCall(customer, model, prompt string, stream bool) *call {
	return chatCallWithTokens(customer, model, prompt, stream, defaultMaxTokens)
}

// chatCallWithTokens returns a chat call with a limit of tokens output tokens.
func chatCallWithTokens(customer, model, prompt string, stream bool, tokens int) *call {
	c := &call{customer: customer, model: model, stream: stream, maxTokens: tokens, path: "/v1/chat/completions", deadline: callDeadline}
	c.messages = []api.ChatMessage{{Role: "user", Content: prompt}}
	raw, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "max_tokens": tokens, "messages": c.messages})
	c.body = string(raw)
	return c
}

// serviceCall returns a call of the booking service by customer north.
func serviceCall(operation, key string) *call {
	return &call{
		customer: "north", operation: operation, key: key, deadline: callDeadline,
		path: "/v1/services/booking/" + operation, body: fmt.Sprintf(`{"traveller":%q}`, key),
	}
}

// load is a closed-loop load: callers that each wait for a response before the
// next call, behind a load balancer that sends to the ready entries in turn.
type load struct {
	cluster      *cluster
	client       *http.Client
	cancel       context.CancelFunc
	ctx          context.Context
	group        sync.WaitGroup
	turns        atomic.Uint64
	lastID       atomic.Uint64
	paused       atomic.Bool
	busyCallers  atomic.Int64
	readyEntries atomic.Pointer[[]int]
	startedAt    time.Time

	mu    sync.Mutex
	calls []*call
}

// startLoad starts n callers of each kind: chat, streamed chat, session, idempotent
// and non-idempotent service calls.
func (c *cluster) startLoad(n int) *load {
	l := c.newLoad()
	for range n {
		l.startCaller(func(id string) { l.do(chatCall("south", versionSmall, "lookup "+id, false)) })
		l.startCaller(func(id string) { l.do(chatCall("north", versionLarge, "draft "+id, true)) })
		l.startCaller(l.sessionCaller())
		l.startCaller(func(id string) { l.do(serviceCall("find", id)) })
		l.startCaller(l.confirmRepeatedly)
	}
	return l
}

// newLoad returns a load without callers and starts its readiness checks.
func (c *cluster) newLoad() *load {
	l := &load{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, startedAt: time.Now()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	c.t.Cleanup(l.stop)
	l.refreshReadyEntries()
	l.group.Go(func() {
		for l.ctx.Err() == nil {
			l.refreshReadyEntries()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return l
}

// refreshReadyEntries asks every entry whether it is ready, as a load balancer's
// readiness check does.
func (l *load) refreshReadyEntries() {
	var ready []int
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: l.client.Transport}
	for i := 1; l.cluster.processes[fmt.Sprintf("entry-%d", i)] != nil; i++ {
		address := l.cluster.processes[fmt.Sprintf("entry-%d", i)].settings.Listen.Health
		resp, err := client.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, i)
		}
	}
	l.readyEntries.Store(&ready)
}

// startCaller runs f repeatedly, each time with a new identifier, until the load
// stops. It skips f while the load is paused.
func (l *load) startCaller(f func(id string)) {
	l.group.Go(func() {
		for l.ctx.Err() == nil {
			l.busyCallers.Add(1)
			if !l.paused.Load() {
				f(strconv.FormatUint(l.lastID.Add(1), 10))
			}
			l.busyCallers.Add(-1)
			time.Sleep(thinkTime)
		}
	})
}

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// nextEntry returns the number of the entry for the next request, or 0 if no
// entry is ready.
func (l *load) nextEntry() int {
	ready := *l.readyEntries.Load()
	if len(ready) == 0 {
		return 0
	}
	return ready[l.turns.Add(1)%uint64(len(ready))]
}

// sessionCaller returns a caller that uses one session until its version is
// withdrawn, and then starts a new one.
func (l *load) sessionCaller() func(string) {
	handle, version := "new", ""
	return func(id string) {
		c := chatCall("north", "notes-large", "session "+id, false)
		c.session, c.pinnedVersion = handle, version
		l.do(c)
		if c.ok() {
			handle, version = c.header.Get(callerapi.HeaderSession), c.version
		}
		if c.kind == "version_withdrawn" {
			handle, version = "new", ""
		}
	}
}

// confirmRepeatedly sends a non-idempotent call and repeats it with the same
// idempotency key: about half of the time concurrently, and always afterward.
func (l *load) confirmRepeatedly(id string) {
	first := serviceCall("confirm", "key-"+id)
	var both sync.WaitGroup
	both.Go(func() { l.do(first) })
	if l.lastID.Load()%2 == 0 {
		both.Go(func() { l.do(serviceCall("confirm", "key-"+id)) })
	}
	both.Wait()
	l.do(serviceCall("confirm", "key-"+id))
}

// do sends a call and records it with its response. If the call names no entry,
// the load balancer chooses one; if none is ready, nothing is sent or recorded.
func (l *load) do(c *call) {
	if c.entry == 0 {
		c.entry = l.nextEntry()
	}
	if c.entry == 0 {
		time.Sleep(thinkTime)
		return
	}
	c.start = time.Now()
	c.err = l.send(c)
	c.end = time.Now()
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
}

func (l *load) send(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.cluster.callerURL(c.entry)+c.path, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	// Without GetBody the transport cannot retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer key-"+c.customer)
	req.Header.Set(callerapi.HeaderDeadlineMs, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.operation == "confirm" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, c.key)
	}
	if c.session != "" {
		req.Header.Set(callerapi.HeaderSession, c.session)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.status, c.header = resp.StatusCode, resp.Header
	c.requestID, c.version = resp.Header.Get(callerapi.HeaderRequestID), resp.Header.Get(callerapi.HeaderVersion)
	if c.stream && c.status == http.StatusOK {
		return c.readStream(resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.decode(raw)
	return nil
}

// decode records a response body that is not a stream.
func (c *call) decode(raw []byte) {
	if c.status != http.StatusOK {
		a := response{body: raw}
		c.kind, c.runState = a.kind(), a.runState()
		return
	}
	c.complete = true
	if c.operation != "" {
		c.text = string(raw)
		return
	}
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(raw, &body); err == nil && len(body.Choices) == 1 {
		c.text = body.Choices[0].Message.Content
	}
}

// readStream reads server-sent events. The answer is complete only after the
// event [DONE].
func (c *call) readStream(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			c.complete = true
			continue
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(data, &event); err != nil {
			return err
		}
		for _, choice := range event.Choices {
			c.text += choice.Delta.Content
		}
		if a := (response{body: data}); a.kind() != "" {
			c.kind, c.runState = a.kind(), a.runState()
		}
	}
	return lines.Err()
}

// recordedCalls returns a copy of the list of finished calls.
func (l *load) recordedCalls() []*call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*call{}, l.calls...)
}
