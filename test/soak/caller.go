package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// call is one request and the response that its caller received.
type call struct {
	id, path, key, body string
	prompt              string
	gateway             int
	incarnation         int
	sentAt, endedAt     time.Time
	status              int // HTTP status; 0 if no response header arrived
	retryAfter          string
	signature           string
	answer              string
	complete            bool // the body was read to its end without an error
}

// callLog collects the finished calls of all callers.
type callLog struct {
	mu   sync.Mutex
	list []call
}

func (l *callLog) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

// runCaller sends random requests one after another over persistent connections until the
// scenario is stopped. The caller number n selects the random sequence.
func (sc *scenario) runCaller(n int) {
	rng := rand.New(rand.NewPCG(sc.seed, uint64(n)))                                 //nolint:gosec // a seed is not negative
	prompts := rand.New(rand.NewPCG(sc.seed, 1<<32+uint64(n)))                       //nolint:gosec // a seed is not negative
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Hour} // longer than a scenario, so that connections stay open
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for i := 0; !sc.isStopped(); i++ {
		c := call{id: fmt.Sprintf("%d-%d-%d", sc.seed, n, i), gateway: rng.IntN(len(sc.gateways)), body: "body"}
		c.path = []string{safePath, unsafePath, streamPath}[rng.IntN(3)]
		if c.path == streamPath {
			c.prompt = sc.fatal.prompt(prompts, fmt.Sprintf("%x", 1<<32+n<<20+i))
		}
		c.key = "key-permanent"
		if rng.IntN(4) == 0 {
			c.key = keyForVersion(int(sc.configVersion.Load()))
		}
		if sc.fatal.path != "" && prompts.Float64() < pathShare {
			c.path, c.prompt, c.key = sc.fatal.path, "", "key-permanent"
		}
		sc.send(client, &c)
		sc.calls.add(c)
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

const (
	// callDeadline is the deadline of a call and the timeout of its route.
	callDeadline = 4 * time.Second
	// callTimeout is the client timeout of a call. It is longer than callDeadline.
	callTimeout = 5 * time.Second
)

// send sends c to its gateway and records the response in it.
func (sc *scenario) send(client *http.Client, c *call) {
	g := sc.gateways[c.gateway]
	c.incarnation = g.currentIncarnation()
	method, body := http.MethodPost, io.Reader(strings.NewReader(c.body))
	if strings.HasPrefix(c.path, safePath) {
		method, body, c.body = http.MethodGet, http.NoBody, ""
	}
	req, err := http.NewRequest(method, "http://"+g.callerAddress+c.path, body)
	if err != nil {
		panic(err) // the URL is built by this program
	}
	req.Host = hostname
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(platform.Headers.RequestID, c.id)
	req.Header.Set(platform.Headers.DeadlineMs, strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if c.prompt != "" {
		req.Header.Set(platform.Headers.Prompt, c.prompt)
	}
	c.sentAt = time.Now()
	defer func() { c.endedAt = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.signature, c.retryAfter = resp.StatusCode, resp.Header.Get("X-Signature"), resp.Header.Get("Retry-After")
	raw, err := io.ReadAll(resp.Body)
	c.answer, c.complete = string(raw), err == nil
}
