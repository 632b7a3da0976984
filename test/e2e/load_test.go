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
	// callDeadline is the deadline that the background load states.
	callDeadline = 4 * time.Second
	// callTimeout is when a caller hangs up; it is longer than every freeze.
	callTimeout = 15 * time.Second
	thinkTime   = 10 * time.Millisecond
	loadTokens  = 24
)

// call is one request with its caller's expectation and what the caller saw.
type call struct {
	entry    int
	customer string
	path     string
	body     string
	model    string
	messages []api.ChatMessage
	stream   bool
	tokens   int
	// operation and key belong to service calls.
	operation, key string
	// session is the handle sent, pinned the version that it names.
	session, pinned string
	deadline        time.Duration

	start, end time.Time
	err        error
	status     int
	header     http.Header
	request    string
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
		c.path, c.key, c.tokens, c.entry, c.request, c.status, c.kind, c.runState, c.err, c.end.Sub(c.start).Round(time.Millisecond))
}

func chatCall(customer, model, prompt string, stream bool) *call {
	return longCall(customer, model, prompt, stream, loadTokens)
}

func longCall(customer, model, prompt string, stream bool, tokens int) *call {
	c := &call{customer: customer, model: model, stream: stream, tokens: tokens, path: "/v1/chat/completions", deadline: callDeadline}
	c.messages = []api.ChatMessage{{Role: "user", Content: prompt}}
	raw, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "max_tokens": tokens, "messages": c.messages})
	c.body = string(raw)
	return c
}

func serviceCall(operation, key string) *call {
	return &call{
		customer: "north", operation: operation, key: key, deadline: callDeadline,
		path: "/v1/services/booking/" + operation, body: fmt.Sprintf(`{"traveller":%q}`, key),
	}
}

// load is a set of callers in a closed loop behind a load balancer.
type load struct {
	c       *cluster
	client  *http.Client
	cancel  context.CancelFunc
	ctx     context.Context
	group   sync.WaitGroup
	turn    atomic.Uint64
	serial  atomic.Uint64
	paused  atomic.Bool
	busy    atomic.Int64
	balance atomic.Pointer[[]int]
	began   time.Time

	mu    sync.Mutex
	calls []*call
}

// startLoad starts n callers of each kind.
func (c *cluster) startLoad(n int) *load {
	l := c.newLoad()
	for range n {
		l.loop(func(id string) { l.do(chatCall("south", versionSmall, "lookup "+id, false)) })
		l.loop(func(id string) { l.do(chatCall("north", versionLarge, "draft "+id, true)) })
		l.loop(l.sessionCaller())
		l.loop(func(id string) { l.do(serviceCall("find", id)) })
		l.loop(l.confirm)
	}
	return l
}

func (c *cluster) newLoad() *load {
	l := &load{c: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, began: time.Now()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	c.t.Cleanup(l.stop)
	l.check()
	l.group.Go(func() {
		for l.ctx.Err() == nil {
			l.check()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return l
}

// check finds the entries that the load balancer sends to.
func (l *load) check() {
	var ready []int
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: l.client.Transport}
	for i := 1; l.c.processes[fmt.Sprintf("entry-%d", i)] != nil; i++ {
		address := l.c.processes[fmt.Sprintf("entry-%d", i)].settings.Listen.Health
		resp, err := client.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, i)
		}
	}
	l.balance.Store(&ready)
}

// loop runs f with a new identifier until the load stops.
func (l *load) loop(f func(id string)) {
	l.group.Go(func() {
		for l.ctx.Err() == nil {
			l.busy.Add(1)
			if !l.paused.Load() {
				f(strconv.FormatUint(l.serial.Add(1), 10))
			}
			l.busy.Add(-1)
			time.Sleep(thinkTime)
		}
	})
}

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// next returns the entry for the next request, 0 when none is ready.
func (l *load) next() int {
	ready := *l.balance.Load()
	if len(ready) == 0 {
		return 0
	}
	return ready[l.turn.Add(1)%uint64(len(ready))]
}

// sessionCaller returns a caller that keeps one session until it is refused.
func (l *load) sessionCaller() func(string) {
	handle, version := "new", ""
	return func(id string) {
		c := chatCall("north", "notes-large", "session "+id, false)
		c.session, c.pinned = handle, version
		l.do(c)
		if c.ok() {
			handle, version = c.header.Get(callerapi.HeaderSession), c.version
		}
		if c.kind == "version_withdrawn" {
			handle, version = "new", ""
		}
	}
}

// confirm sends a non-idempotent call, at once and later again under the same key.
func (l *load) confirm(id string) {
	first := serviceCall("confirm", "key-"+id)
	var both sync.WaitGroup
	both.Go(func() { l.do(first) })
	if l.serial.Load()%2 == 0 {
		both.Go(func() { l.do(serviceCall("confirm", "key-"+id)) })
	}
	both.Wait()
	l.do(serviceCall("confirm", "key-"+id))
}

// do sends a call to an entry, of the load balancer's choice unless the call
// names one, and records what comes back.
func (l *load) do(c *call) {
	if c.entry == 0 {
		c.entry = l.next()
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.c.entry(c.entry)+c.path, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	// Without GetBody the transport cannot send a request a second time.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer key-"+c.customer)
	req.Header.Set(callerapi.HeaderDeadlineMs, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.operation == "confirm" {
		req.Header.Set(callerapi.HeaderIdempotency, c.key)
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
	c.request, c.version = resp.Header.Get(callerapi.HeaderRequest), resp.Header.Get(callerapi.HeaderVersion)
	if c.stream && c.status == http.StatusOK {
		return c.readStream(resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.read(raw)
	return nil
}

func (c *call) read(raw []byte) {
	if c.status != http.StatusOK {
		a := answer{body: raw}
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

// readStream reads server-sent events; only [DONE] makes the answer complete.
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
		if a := (answer{body: data}); a.kind() != "" {
			c.kind, c.runState = a.kind(), a.runState()
		}
	}
	return lines.Err()
}

// done returns a copy of the recorded calls.
func (l *load) done() []*call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*call{}, l.calls...)
}
